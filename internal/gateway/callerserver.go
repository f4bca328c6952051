package gateway

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/azurepond/azurepond/pkg/route"
)

// The limits of heads of requests without a configuration that states them.
const (
	defaultHeaderTimeout  = 5 * time.Second
	defaultMaxHeaderBytes = 64 << 10
)

// headLimits are the limits of a configuration that an HTTP server can't change while it runs.
type headLimits struct {
	maxBytes int
	timeout  time.Duration
}

func headLimitsOf(l route.Limits) headLimits {
	return headLimits{cmp.Or(l.MaxHeaderBytes(), defaultMaxHeaderBytes), cmp.Or(l.HeaderTimeout(), defaultHeaderTimeout)}
}

// callerServer serves the connections of callers. When the limits of heads change, new connections get an HTTP server of their own, and
// earlier ones are closed after their next answer.
type callerServer struct {
	daemon   *Daemon
	listener net.Listener

	mutex   sync.Mutex
	closed  bool
	current *handoff
	servers []*http.Server
}

// handoff is the listener of one HTTP server, which gets connections that were accepted elsewhere.
type handoff struct {
	net.Listener // for its address
	limits       headLimits
	conns        chan net.Conn
	done         chan struct{}
	closeOnce    sync.Once
}

// Accept returns the next connection.
func (h *handoff) Accept() (net.Conn, error) {
	select {
	case c := <-h.conns:
		return c, nil
	case <-h.done:
		return nil, net.ErrClosed
	}
}

// Close ends the handoff. The listener stays open for the next one.
func (h *handoff) Close() error {
	h.closeOnce.Do(func() { close(h.done) })
	return nil
}

// Serve accepts connections until the server is closed.
func (s *callerServer) Serve() error {
	for {
		c, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		h := s.handoffFor(headLimitsOf(s.daemon.config.Load().Limits()))
		select {
		case h.conns <- c:
		case <-h.done:
			_ = c.Close() // it was not read
		}
	}
}

// handoffFor returns the handoff to a server with these limits.
func (s *callerServer) handoffFor(limits headLimits) *handoff {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.current != nil && (s.current.limits == limits || s.closed) {
		return s.current
	}
	h := &handoff{Listener: s.listener, limits: limits, conns: make(chan net.Conn), done: make(chan struct{})}
	if s.closed {
		_ = h.Close() // never fails
		return h
	}
	if s.current != nil {
		_ = s.current.Close() // never fails
	}
	server := s.daemon.conns.callers.apply(&http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if headLimitsOf(s.daemon.config.Load().Limits()) != limits {
				w.Header().Set("Connection", "close")
			}
			s.daemon.serveCaller(w, r)
		}),
		ReadHeaderTimeout: limits.timeout,
		MaxHeaderBytes:    limits.maxBytes,
		ConnContext:       withCallerConn,
	})
	s.current, s.servers = h, append(s.servers, server)
	go func() { _ = server.Serve(h) }() // it ends when the handoff does, and its connections later
	return h
}

// stopAccepting closes the listener and returns all HTTP servers.
func (s *callerServer) stopAccepting() ([]*http.Server, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed = true
	if s.current != nil {
		_ = s.current.Close() // never fails
	}
	return s.servers, s.listener.Close()
}

// Shutdown closes the listener and the idle connections, and waits until all answers were sent or ctx ends.
func (s *callerServer) Shutdown(ctx context.Context) error {
	servers, err := s.stopAccepting()
	errs := []error{ignoreClosed(err)}
	var mutex sync.Mutex
	var group sync.WaitGroup
	for _, server := range servers {
		group.Go(func() {
			err := server.Shutdown(ctx)
			mutex.Lock()
			defer mutex.Unlock()
			errs = append(errs, err)
		})
	}
	group.Wait()
	return errors.Join(errs...)
}

// Close closes the listener and all connections.
func (s *callerServer) Close() error {
	servers, err := s.stopAccepting()
	errs := []error{ignoreClosed(err)}
	for _, server := range servers {
		errs = append(errs, server.Close())
	}
	return errors.Join(errs...)
}

// ignoreClosed returns nil if a listener was closed before.
func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
