package commands

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os/signal"
	"syscall"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"
)

// withStopSignals returns a context that is cancelled on SIGTERM or SIGINT.
func withStopSignals(ctx context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
}

// serveHTTP serves handler on listener, as part of group, until ctx ends.
func serveHTTP(ctx context.Context, group *errgroup.Group, listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: standInHeaderTimeout}
	group.Go(func() error {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return trace.Wrap(err)
	})
	group.Go(func() error {
		<-ctx.Done()
		return trace.Wrap(server.Close())
	})
}
