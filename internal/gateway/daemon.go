package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	gometrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/azurepond/azurepond/internal/link"
	"github.com/azurepond/azurepond/internal/metrics"
	hop "github.com/azurepond/azurepond/internal/relay"
	"github.com/azurepond/azurepond/internal/transport"
	"github.com/azurepond/azurepond/pkg/dispatch"
	"github.com/azurepond/azurepond/pkg/gateway"
	"github.com/azurepond/azurepond/pkg/peer"
	"github.com/azurepond/azurepond/pkg/route"
)

// sweepInterval is the time between two sweeps of idle connections, which time out after seconds.
const sweepInterval = time.Second

// maxQueuedEvents is the capacity of the reducer's queue; when it is full, senders block.
const maxQueuedEvents = 4096

// Daemon is one gateway daemon with its listeners and connections.
type Daemon struct {
	settings          Settings
	adapter           Adapter
	log               *logger
	recorder          *metrics.Recorder
	registry          gometrics.Registry
	hub               *link.Hub
	pool              transport.Pool
	events            chan gateway.Event
	state             gateway.State
	ready             atomic.Bool
	addresses         atomic.Pointer[[]gateway.Address]
	config            atomic.Pointer[route.Config]
	lastRequestID     atomic.Uint64
	lastRelayID       atomic.Uint64
	memory            memoryPools
	bodies            bodyReads
	conns             connLimiters
	scarce            scarcity // used by recordResources only
	ctx               context.Context
	cancel            context.CancelFunc
	servers           []httpServer       // those that Run started
	stopUpstreamWatch context.CancelFunc // nil while no watch runs
	stopEnds          chan time.Time     // the end of the graceful shutdown
	stopped           chan struct{}

	mutex       sync.Mutex
	watchCtx    context.Context // of all object watches, nil while there are none
	watchCancel context.CancelFunc
	exchanges   map[dispatch.ID]*exchange
	attempts    map[dispatch.AttemptID]attemptWork
	relayed     map[gateway.RelayID]chan gateway.RelayDecided // requests of peers
}

// New returns the daemon with settings s, which reaches the platform through adapter.
func New(s Settings, adapter Adapter, log *LogWriter) (*Daemon, error) {
	ctx, cancel := context.WithCancel(context.Background())
	registry := gometrics.NewRegistry()
	d := &Daemon{
		settings: s, adapter: adapter, log: &logger{log}, registry: registry, recorder: metrics.NewRecorder(registry),
		events: make(chan gateway.Event, maxQueuedEvents),
		ctx:    ctx, cancel: cancel, stopEnds: make(chan time.Time, 1), stopped: make(chan struct{}),
		exchanges: map[dispatch.ID]*exchange{}, attempts: map[dispatch.AttemptID]attemptWork{},
		relayed: map[gateway.RelayID]chan gateway.RelayDecided{},
	}
	d.addresses.Store(&[]gateway.Address{})
	d.config.Store(&route.Config{})
	hub, err := link.New(s.Name, s.PeerAddress, link.TLSFiles{}, registry, func(e peer.Event) {
		d.enqueue(gateway.NewPeerEvent(e))
	})
	if err != nil {
		cancel()
		return nil, trace.Wrap(err)
	}
	d.hub = hub
	d.limitResources(s)
	return d, nil
}

// Reload applies new settings, except the addresses, which are fixed while the process runs.
func (d *Daemon) Reload(s Settings) {
	d.log.Info("daemon", "reload", "name", s.Name)
	d.limitResources(s)
	d.enqueue(gateway.NewReloaded(s.Gateway))
}

// Run serves until ctx is cancelled, and then shuts down gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.cancel()
	listeners, err := d.listen()
	if err != nil {
		return err
	}
	d.log.Info("daemon", "start", "name", d.settings.Name, "callers", d.settings.CallerAddress, "peers", d.settings.PeerAddress)
	group, serveCtx := errgroup.WithContext(d.ctx)
	d.enqueue(gateway.NewStarted(d.settings.Gateway))
	group.Go(func() error { return d.reduce(serveCtx) })
	group.Go(func() error { return d.hub.Run(serveCtx, listeners[peerListener]) })
	group.Go(func() error { return d.tick(serveCtx) })
	group.Go(func() error { return d.sweepConnections(serveCtx) })
	callers := &callerServer{daemon: d, listener: d.acceptHTTP(listeners[callerListener])}
	d.runServer(serveCtx, group, callers, callers.Serve)
	for index, handler := range map[int]http.Handler{
		readinessListener: d.adapter.Endpoints.ReadinessHandler(d.ready.Load),
		directoryListener: d.adapter.Endpoints.AddressHandler(d.selectAddresses),
		metricsListener:   metricsHandler(d.registry),
	} {
		server := &http.Server{Handler: handler, ReadHeaderTimeout: defaultHeaderTimeout, MaxHeaderBytes: defaultMaxHeaderBytes}
		d.serveHTTP(serveCtx, group, d.conns.administration.apply(server), listeners[index])
	}
	d.serveHTTP(serveCtx, group, d.conns.peers.apply(hop.NewServer(&d.pool, relayDriver{d}).HTTP()), listeners[relayListener])
	group.Go(func() error { return d.waitForStop(ctx, serveCtx) })
	err = group.Wait()
	d.log.Info("daemon", "stop", "name", d.settings.Name)
	return trace.Wrap(err)
}

// The indexes of the daemon's listeners.
const (
	callerListener = iota
	peerListener
	readinessListener
	directoryListener
	metricsListener
	relayListener
)

func (d *Daemon) listen() ([]net.Listener, error) {
	s := d.settings
	var opened []net.Listener
	for _, address := range []string{
		s.CallerAddress, s.PeerAddress, s.ReadinessAddress, s.DirectoryAddress, s.MetricsAddress, s.RelayAddress,
	} {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			for _, other := range opened {
				_ = other.Close() // the error of Listen is returned instead
			}
			return nil, trace.Wrap(err, "listen on %s", address)
		}
		opened = append(opened, listener)
	}
	return opened, nil
}

// selectAddresses returns the addresses for a caller.
func (d *Daemon) selectAddresses(caller, centre string, limit int) []string {
	return gateway.SelectAddresses(d.settings.Gateway.InRegion(*d.addresses.Load(), centre), caller, centre, limit)
}

// enqueue sends an event to the reducer.
func (d *Daemon) enqueue(e gateway.Event) {
	select {
	case d.events <- e:
	case <-d.ctx.Done():
	}
}

func (d *Daemon) enqueueDispatch(e dispatch.Event) { d.enqueue(gateway.NewDispatchEvent(e)) }

// reduce owns the state: it applies the events one by one and executes their effects.
func (d *Daemon) reduce(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-d.events:
			for _, effect := range d.apply(time.Now(), e) {
				d.execute(effect)
			}
		}
	}
}

// apply applies an event and returns the effects to execute. If it panics, the call that the event is about is ended alone, and the panic goes
// on if there is none.
func (d *Daemon) apply(now time.Time, e gateway.Event) (effects []gateway.Effect) {
	defer func() {
		reason := recover()
		if reason == nil {
			return
		}
		var isFound bool
		effects, isFound = d.state.Abandon(now)
		d.log.Info("daemon", "panic", "event", fmt.Sprintf("%T", e), "reason", fmt.Sprint(reason), "callAbandoned", isFound, "stack", string(debug.Stack()))
		if !isFound {
			panic(reason)
		}
		d.recorder.CallAbandoned()
	}()
	return d.state.Reduce(now, e)
}

func (d *Daemon) tick(ctx context.Context) error {
	ticker := time.NewTicker(gateway.TickInterval)
	defer ticker.Stop()
	due := time.Now().Add(gateway.TickInterval)
	clock := suspensionClock{read: readClock}
	for {
		select {
		case <-ctx.Done():
			return nil
		case fired := <-ticker.C:
			d.reportSuspension(&clock)
			d.enqueue(gateway.NewTicked(due))
			due = fired.Add(gateway.TickInterval)
		}
	}
}

// reportSuspension reports a suspension of the instance. Without readable clocks the daemon works on, and suspensions stay unnoticed.
func (d *Daemon) reportSuspension(clock *suspensionClock) {
	suspended, err := clock.suspended()
	if err != nil {
		d.log.Info("daemon", "cannot read the clocks, suspensions are not noticed", "err", err.Error())
		*clock = suspensionClock{read: func(int32) (time.Duration, error) { return 0, nil }}
		return
	}
	if suspended > 0 {
		d.log.Info("daemon", "instance was suspended", "for", suspended)
		d.enqueue(gateway.NewSuspended(suspended))
	}
}

func (d *Daemon) sweepConnections(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			d.pool.Sweep(now)
			d.bodies.haltSlow(now, d.memory.requests.Usage().Waiting())
			d.conns.closeIdle(now, d.config.Load().Limits().IdleTimeout())
			d.recordResources(now)
			d.recorder.UnregisterGone(now)
			d.recorder.SetGauge(metrics.UpstreamConnections, d.pool.Opened())
			d.recorder.SetGauge(metrics.DroppedLogLines, d.log.DroppedLines())
		}
	}
}

// httpServer is what serves the connections of one listener.
type httpServer interface {
	Shutdown(ctx context.Context) error
	Close() error
}

// serveHTTP runs an HTTP server in group until ctx is cancelled.
func (d *Daemon) serveHTTP(ctx context.Context, group *errgroup.Group, server *http.Server, listener net.Listener) {
	listener = d.acceptHTTP(listener)
	d.runServer(ctx, group, server, func() error { return server.Serve(listener) })
}

// runServer runs serve in group, and closes the server when ctx is cancelled.
func (d *Daemon) runServer(ctx context.Context, group *errgroup.Group, server httpServer, serve func() error) {
	d.servers = append(d.servers, server)
	group.Go(func() error {
		err := serve()
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

// acceptHTTP returns the listener of an HTTP server, which accepts again after temporary errors, and takes the memory for heads.
func (d *Daemon) acceptHTTP(listener net.Listener) net.Listener {
	return headListener{d.retryAccept(listener), &d.memory.heads}
}

// retryAccept returns the listener, which accepts again after temporary errors.
func (d *Daemon) retryAccept(listener net.Listener) net.Listener {
	return transport.Retry(listener, func(err error) {
		d.log.Info("daemon", "cannot accept connections, trying again", "address", listener.Addr(), "err", err.Error())
		d.recorder.AcceptFailed()
	})
}

// waitForStop begins the graceful shutdown when ctx is cancelled. It ends the daemon when all answers were sent or the grace
// period is over.
func (d *Daemon) waitForStop(ctx, serveCtx context.Context) error {
	defer d.cancel()
	select {
	case <-serveCtx.Done():
		return nil
	case <-ctx.Done():
	}
	signalledAt := time.Now()
	d.enqueue(gateway.NewStopping(signalledAt))
	var ends time.Time
	select {
	case <-serveCtx.Done():
		return nil
	case ends = <-d.stopEnds:
	}
	d.log.Info("daemon", "stopping", "grace", ends.Sub(signalledAt))
	graceCtx, endGrace := context.WithDeadline(serveCtx, ends)
	defer endGrace()
	select {
	case <-graceCtx.Done():
	case <-d.stopped:
		d.closeServers(graceCtx)
	}
	if graceCtx.Err() != nil {
		d.log.Info("daemon", "grace period over, aborting requests in progress")
	}
	return nil
}

// closeServers closes the listeners and waits until all answers were sent or ctx ends. The reducer knows neither requests that
// are still arriving nor when the last bytes of an answer leave, so it can't say when a connection may be closed.
func (d *Daemon) closeServers(ctx context.Context) {
	var group sync.WaitGroup
	for _, server := range d.servers {
		group.Go(func() {
			if err := server.Shutdown(ctx); err != nil {
				d.log.Info("daemon", "connections not closed in time", "err", err.Error())
			}
		})
	}
	group.Wait()
}
