package commands

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/azurepond/azurepond/internal/daemon"
	"github.com/azurepond/azurepond/internal/settings"
	"github.com/azurepond/azurepond/internal/standin"
	"github.com/azurepond/azurepond/pkg/instance"
)

// headerTimeout bounds the time in which a client of a stand-in sends its headers.
const headerTimeout = 10 * time.Second

type standVerb struct {
	Config string `arg:"--config,required" placeholder:"FILE" help:"the settings file of the stand-ins"`
}

func (v *standVerb) run(ctx context.Context, out io.Writer) error {
	stand, err := settings.LoadStandIns(v.Config)
	if err != nil {
		return err
	}
	ctx, stop := untilSignal(ctx)
	defer stop()
	group, ctx := errgroup.WithContext(ctx)
	if _, err := startStand(ctx, group, stand, daemon.ListenTCP); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(out, "stand: platform on %s, %d engines, %d services\n",
		stand.Platform(), len(stand.Engines()), len(stand.Services()))
	return trace.Wrap(group.Wait())
}

// standIns are the stand-ins that one process runs.
type standIns struct {
	platform *standin.Platform
	engines  []*standin.Engine
	services []*standin.Service
}

// startStand serves all stand-ins of stand as parts of group until ctx ends.
func startStand(ctx context.Context, group *errgroup.Group, stand settings.StandIns, listen daemon.ListenFunc,
) (standIns, error) {
	all := standIns{platform: &standin.Platform{}}
	handlers := map[netip.AddrPort]http.Handler{stand.Platform(): all.platform}
	fabric := &standin.Cluster{}
	var instances []standin.Instance
	for _, e := range stand.Engines() {
		engine := fabric.SetAddress(instance.ID(e.Name()), e.Address().String())
		engine.SetIgnoresFencing(!e.EnforcesFencing())
		handlers[e.Address()] = engine
		all.engines = append(all.engines, engine)
		listed := standin.NewInstance(e.Name(), e.Domain(), e.Centre(), e.Accelerators(), e.Address())
		instances = append(instances, listed.WithPool(e.Pool()))
	}
	all.platform.SetInstances(instances...)
	for _, s := range stand.Services() {
		service := &standin.Service{}
		handlers[s.Address()] = service
		all.services = append(all.services, service)
	}
	for address, handler := range handlers {
		listener, err := listen(address.String())
		if err != nil {
			return all, trace.Wrap(err, "listen on %s", address)
		}
		serveHTTP(ctx, group, listener, handler)
	}
	return all, nil
}
