package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/azurepond/azurepond/internal/link"
	named "github.com/azurepond/azurepond/internal/metrics"
	"github.com/azurepond/azurepond/internal/transport"
	"github.com/azurepond/azurepond/pkg/dispatch"
	"github.com/azurepond/azurepond/pkg/gateway"
	"github.com/azurepond/azurepond/pkg/peer"
	"github.com/azurepond/azurepond/pkg/route"
)

// The intervals of the driver.
const (
	tickPeriod  = 25 * time.Millisecond // a tenth of the shortest objective of a caller that is known
	sweepPeriod = time.Second           // idle connections are kept for seconds
)

// queueLength is how many events may wait for the reducer before those who bring more have to wait.
const queueLength = 4096

// Daemon is one gateway daemon with its listeners and connections.
type Daemon struct {
	settings  Settings
	adapter   Adapter
	log       *journal
	recorder  *named.Recorder
	registry  metrics.Registry
	hub       *link.Hub
	pool      transport.Pool
	events    chan gateway.Event
	state     gateway.State
	ready     atomic.Bool
	addresses atomic.Pointer[[]string]
	config    atomic.Pointer[route.Config]
	last      atomic.Uint64 // request id
	work      context.Context
	cancel    context.CancelFunc
	refuse    chan struct{}
	unfollow  context.CancelFunc // ends reading the list of upstreams, nil while it is not read
	stopped   chan struct{}

	mutex    sync.Mutex
	watches  context.Context // of all watches of objects, nil while there are none
	unwatch  context.CancelFunc
	calls    map[dispatch.ID]*exchange
	attempts map[dispatch.AttemptID]context.CancelFunc
}

// New returns the daemon that settings describe, on the platform behind adapter.
func New(s Settings, adapter Adapter, log *LogWriter) (*Daemon, error) {
	work, cancel := context.WithCancel(context.Background())
	registry := metrics.NewRegistry()
	d := &Daemon{
		settings: s, adapter: adapter, log: &journal{log}, registry: registry, recorder: named.NewRecorder(registry),
		events: make(chan gateway.Event, queueLength),
		work:   work, cancel: cancel, refuse: make(chan struct{}), stopped: make(chan struct{}),
		calls: map[dispatch.ID]*exchange{}, attempts: map[dispatch.AttemptID]context.CancelFunc{},
	}
	d.addresses.Store(&[]string{})
	d.config.Store(&route.Config{})
	hub, err := link.New(s.Name, s.Peers, link.Files{}, registry, func(e peer.Event) { d.feed(gateway.NewPeerEvent(e)) })
	if err != nil {
		cancel()
		return nil, trace.Wrap(err)
	}
	d.hub = hub
	return d, nil
}

// Reload puts other settings in force; addresses stay as they are while the process runs.
func (d *Daemon) Reload(s Settings) {
	d.log.Line("daemon", "reload", "name", s.Name)
	d.feed(gateway.NewReloaded(s.Gateway))
}

// Run serves until ctx ends, and then stops gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.cancel()
	listeners, err := d.listen()
	if err != nil {
		return err
	}
	d.log.Line("daemon", "start", "name", d.settings.Name, "callers", d.settings.Callers, "peers", d.settings.Peers)
	group, serving := errgroup.WithContext(d.work)
	d.feed(gateway.NewStarted(d.settings.Gateway))
	group.Go(func() error { return d.reduce(serving) })
	group.Go(func() error { return d.hub.Run(serving, listeners[peersAt]) })
	group.Go(func() error { return d.tick(serving) })
	group.Go(func() error { return d.sweep(serving) })
	d.serve(serving, group, d.callerServer(), listeners[callersAt])
	d.serve(serving, group, &http.Server{Handler: d.adapter.Entry.Ready(d.ready.Load)}, listeners[checksAt])
	d.serve(serving, group, &http.Server{Handler: d.adapter.Entry.Addresses(d.told)}, listeners[answersAt])
	d.serve(serving, group, &http.Server{Handler: metricsHandler(d.registry)}, listeners[metricsAt])
	group.Go(func() error { return d.waitForStop(ctx, serving) })
	err = group.Wait()
	d.log.Line("daemon", "stop", "name", d.settings.Name)
	return trace.Wrap(err)
}

// The listeners of a daemon.
const (
	callersAt = iota
	peersAt
	checksAt
	answersAt
	metricsAt
)

func (d *Daemon) listen() ([]net.Listener, error) {
	s := d.settings
	var opened []net.Listener
	for _, address := range []string{s.Callers, s.Peers, s.Checks, s.Answers, s.Metrics} {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			for _, other := range opened {
				_ = other.Close() // the error that matters is returned
			}
			return nil, trace.Wrap(err, "listen on %s", address)
		}
		opened = append(opened, listener)
	}
	return opened, nil
}

func (d *Daemon) told() []string { return *d.addresses.Load() }

// feed brings an event to the reducer.
func (d *Daemon) feed(e gateway.Event) {
	select {
	case d.events <- e:
	case <-d.work.Done():
	}
}

func (d *Daemon) feedDispatch(e dispatch.Event) { d.feed(gateway.NewDispatchEvent(e)) }

// reduce owns the state: it applies one event after the other and carries out the effects.
func (d *Daemon) reduce(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-d.events:
			for _, effect := range d.state.Reduce(time.Now(), e) {
				d.execute(effect)
			}
		}
	}
}

func (d *Daemon) tick(ctx context.Context) error {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			d.feed(gateway.NewTicked())
		}
	}
}

func (d *Daemon) sweep(ctx context.Context) error {
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			d.pool.Sweep(now)
			d.recorder.SetGauge(named.Connections, d.pool.Opened())
			d.recorder.SetGauge(named.LinesDropped, d.log.Dropped())
		}
	}
}

// serve runs an HTTP server as part of group until ctx ends.
func (d *Daemon) serve(ctx context.Context, group *errgroup.Group, server *http.Server, listener net.Listener) {
	group.Go(func() error {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
			return nil
		}
		return trace.Wrap(err)
	})
	group.Go(func() error {
		<-ctx.Done()
		return trace.Wrap(server.Close())
	})
}

// waitForStop begins the planned stop when ctx ends, and ends the daemon when nothing is left to wait for.
func (d *Daemon) waitForStop(ctx, serving context.Context) error {
	defer d.cancel()
	select {
	case <-serving.Done():
		return nil
	case <-ctx.Done():
	}
	d.log.Line("daemon", "stopping", "grace", d.settings.Grace)
	d.feed(gateway.NewStopping())
	grace := time.NewTimer(d.settings.Grace)
	defer grace.Stop()
	select {
	case <-serving.Done():
	case <-d.stopped:
	case <-grace.C:
		d.log.Line("daemon", "grace over")
	}
	return nil
}
