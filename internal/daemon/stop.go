package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/azurepond/azurepond/pkg/reducer"
)

// shutdownTimeout limits the wait for an HTTP server to close its connections.
const shutdownTimeout = 5 * time.Second

// finalAnswerTime is the time after the grace period in which the calls that still run are ended and answered.
const finalAnswerTime = time.Second

// serve runs an HTTP server as part of group until ctx ends.
func serve(ctx context.Context, group *errgroup.Group, server *http.Server, listener net.Listener) {
	group.Go(func() error {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return trace.Wrap(err)
	})
	group.Go(func() error {
		<-ctx.Done()
		limited, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if err := server.Shutdown(limited); err != nil {
			return trace.Wrap(server.Close())
		}
		return nil
	})
}

// waitForStop begins the graceful shutdown when ctx ends, and stops the daemon when the reducer reports that the shutdown
// is complete, or after the grace period.
func (d *Daemon) waitForStop(ctx, serving context.Context) error {
	select {
	case <-serving.Done():
		return nil
	case <-d.stopped:
		klog.InfoS("daemon: Stopped by a planned action")
		d.cancel()
		return nil
	case <-ctx.Done():
	}
	klog.InfoS("daemon: Stopping", "running", d.callers.ActiveCalls())
	gracePeriod := d.settings.Timings().GracePeriod()
	_ = d.loop.feed(reducer.NewStopping(gracePeriod))
	end := time.NewTimer(gracePeriod + finalAnswerTime)
	defer end.Stop()
	select {
	case <-serving.Done():
	case <-d.stopped:
		klog.InfoS("daemon: Stopped")
	case <-end.C:
		klog.InfoS("daemon: Stopped with calls in progress", "running", d.callers.ActiveCalls())
	}
	d.cancel()
	return nil
}
