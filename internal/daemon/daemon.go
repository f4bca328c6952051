package daemon

import (
	"context"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	gometrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/azurepond/azurepond/internal/admin"
	"github.com/azurepond/azurepond/internal/callers"
	"github.com/azurepond/azurepond/internal/link"
	"github.com/azurepond/azurepond/internal/metrics"
	"github.com/azurepond/azurepond/internal/platform"
	"github.com/azurepond/azurepond/internal/settings"
	"github.com/azurepond/azurepond/internal/upstream"
	"github.com/azurepond/azurepond/pkg/engine"
	"github.com/azurepond/azurepond/pkg/operator"
	"github.com/azurepond/azurepond/pkg/peer"
	"github.com/azurepond/azurepond/pkg/reducer"
)

// Daemon is one azurepond daemon with its listeners and clients.
type Daemon struct {
	settings        settings.Settings
	reducerSettings reducer.Settings
	listeners       listeners
	registry        gometrics.Registry
	recorder        *metrics.Recorder
	loop            *loop
	hub             *link.Hub
	platform        *platform.Client
	upstreams       *upstream.Client
	cache           *cacheReader
	callers         *callers.Server
	fleet           atomic.Pointer[operator.Fleet]
	stopped         chan struct{} // closed when the reducer emits Stopped
	stopOnce        sync.Once
	work            context.Context    // of all work in the background
	cancel          context.CancelFunc // ends work

	mutex          sync.Mutex
	outcomeWaiters map[operator.RequestID][]chan operator.Outcome
}

// listeners are the open sockets of one daemon.
type listeners struct{ caller, peer, operator net.Listener }

// ListenFunc opens a listener on address (host:port).
type ListenFunc func(address string) (net.Listener, error)

// ListenTCP opens a TCP listener on address (host:port).
func ListenTCP(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// New opens the listeners of the settings with listen and returns the daemon that serves them in Run.
func New(s settings.Settings, listen ListenFunc) (*Daemon, error) {
	opened, err := openListeners(s.Listeners(), listen)
	if err != nil {
		return nil, err
	}
	secured, err := admin.WithTLS(opened.operator, s.HTTPS())
	if err != nil {
		opened.close()
		return nil, err
	}
	opened.operator = secured
	work, cancel := context.WithCancel(context.Background())
	d := &Daemon{
		settings:       s,
		listeners:      opened,
		registry:       gometrics.NewRegistry(),
		platform:       platform.New("http://"+s.Platform().String(), s.Timings().RequestTimeout(), ""),
		upstreams:      upstream.New(),
		stopped:        make(chan struct{}),
		work:           work,
		cancel:         cancel,
		outcomeWaiters: map[operator.RequestID][]chan operator.Outcome{},
	}
	d.fleet.Store(&operator.Fleet{})
	d.loop = newLoop(time.Now, d.execute)
	d.cache = newCacheReader(d.upstreams.CacheEvents, d.feedEngine)
	d.reducerSettings = newReducerSettings(s, time.Now())
	d.recorder = metrics.NewRecorder(d.registry)
	d.callers = callers.New(d.reducerSettings.StartID(), d, d.upstreams).WithRecorder(d.recorder)
	files := link.TLSFiles{}
	if !s.TLS().IsZero() {
		files = link.NewTLSFiles(s.TLS().Certificate(), s.TLS().Key(), s.TLS().Authority())
	}
	advertised := s.Advertised().Peer().String()
	d.hub, err = link.New(s.Name(), advertised, files, d.registry, d.feedPeer)
	return d, trace.Wrap(err)
}

func openListeners(wanted settings.Listeners, listen ListenFunc) (listeners, error) {
	var opened listeners
	for _, wantedListener := range []struct {
		clients  string
		address  string
		listener *net.Listener
	}{
		{"callers", wanted.Caller().String(), &opened.caller},
		{"peers", wanted.Peer().String(), &opened.peer},
		{"operators", wanted.Operator().String(), &opened.operator},
	} {
		listener, err := listen(wantedListener.address)
		if err != nil {
			opened.close()
			return listeners{}, trace.Wrap(err, "listen for %s on %s", wantedListener.clients, wantedListener.address)
		}
		*wantedListener.listener = listener
	}
	return opened, nil
}

func (l listeners) close() {
	for _, listener := range []net.Listener{l.caller, l.peer, l.operator} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// Run serves until ctx ends, and then shuts down gracefully: it accepts no new calls, waits for the running ones, and
// returns.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.cancel()
	group, serving := errgroup.WithContext(d.work)
	if err := d.loop.feed(reducer.NewStarted(d.reducerSettings)); err != nil {
		return trace.Wrap(err)
	}
	group.Go(func() error { return d.loop.run(serving) })
	group.Go(func() error { return d.hub.Run(serving, d.listeners.peer) })
	group.Go(func() error { return d.tick(serving) })
	group.Go(func() error { return d.updateMetrics(serving) })
	serve(serving, group, d.callers.HTTP(), d.listeners.caller)
	api := admin.NewHandler(d, d.settings.Tokens(), d.registry)
	serve(serving, group, admin.NewServer(api), d.listeners.operator)
	group.Go(func() error { return d.waitForStop(ctx, serving) })
	klog.InfoS("daemon: Serving", "name", d.settings.Name(), "callers", d.listeners.caller.Addr().String())
	return trace.Wrap(group.Wait())
}

// newReducerSettings returns the reducer's settings of a daemon that starts at now.
func newReducerSettings(s settings.Settings, now time.Time) reducer.Settings {
	start := now.UnixNano()
	var seeds []string
	for _, seed := range s.Seeds() {
		seeds = append(seeds, seed.String())
	}
	return reducer.NewSettings(s.Name(), strconv.FormatInt(start, incarnationBase), s.Centre(), uint64(start)).
		WithAddresses(s.Advertised().Caller().String(), s.Advertised().Peer().String()).
		WithSeeds(seeds...).
		WithIntervals(s.Timings().HeartbeatInterval(), s.Timings().ProbeInterval(), s.Timings().ListInterval()).
		WithWeightStore(s.WeightStore().MaxTotalRate(), s.WeightStore().MaxInstanceRate())
}

// incarnationBase is the numeric base in which the incarnation, the start time in nanoseconds, is written.
const incarnationBase = 36

// Feed queues an event for the reducer.
func (d *Daemon) Feed(e reducer.Event) error { return d.loop.feed(e) }

func (d *Daemon) feedEngine(e engine.Event) error { return d.loop.feed(reducer.NewEngineEvent(e)) }

func (d *Daemon) feedPeer(e peer.Event) { _ = d.loop.feed(reducer.NewPeerEvent(e)) }

// tick feeds Ticked at each tick interval until ctx ends.
func (d *Daemon) tick(ctx context.Context) error {
	ticker := time.NewTicker(d.settings.Timings().TickInterval())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			_ = d.loop.feed(reducer.NewTicked())
		}
	}
}
