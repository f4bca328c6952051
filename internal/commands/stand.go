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

// standInHeaderTimeout limits the time in which a client of a stand-in sends its request headers.
const standInHeaderTimeout = 10 * time.Second

type standCommand struct {
	Config string `arg:"--config,required" placeholder:"FILE" help:"the settings file of the stand-ins"`
}

func (c *standCommand) run(ctx context.Context, out io.Writer) error {
	config, err := settings.LoadStandIns(c.Config)
	if err != nil {
		return err
	}
	ctx, stop := withStopSignals(ctx)
	defer stop()
	group, ctx := errgroup.WithContext(ctx)
	if _, err := startStandIns(ctx, group, config, daemon.ListenTCP); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(out, "stand: platform on %s, %d engines, %d services\n",
		config.Platform(), len(config.Engines()), len(config.Services()))
	return trace.Wrap(group.Wait())
}

// standIns are the stand-ins of one process.
type standIns struct {
	platform *standin.Platform
	engines  []*standin.Engine
	services []*standin.Service
}

// startStandIns serves the stand-ins in config, as parts of group, until ctx ends.
func startStandIns(ctx context.Context, group *errgroup.Group, config settings.StandIns, listen daemon.ListenFunc,
) (standIns, error) {
	started := standIns{platform: &standin.Platform{}}
	handlers := map[netip.AddrPort]http.Handler{config.Platform(): started.platform}
	cluster := &standin.Cluster{}
	var instances []standin.Instance
	for _, e := range config.Engines() {
		engine := cluster.SetAddress(instance.ID(e.Name()), e.Address().String())
		engine.SetIgnoresFencing(!e.EnforcesFencing())
		handlers[e.Address()] = engine
		started.engines = append(started.engines, engine)
		listedInstance := standin.NewInstance(e.Name(), e.Domain(), e.Centre(), e.Accelerators(), e.Address())
		instances = append(instances, listedInstance.WithPool(e.Pool()))
	}
	started.platform.SetInstances(instances...)
	for _, s := range config.Services() {
		service := &standin.Service{}
		handlers[s.Address()] = service
		started.services = append(started.services, service)
	}
	for address, handler := range handlers {
		listener, err := listen(address.String())
		if err != nil {
			return started, trace.Wrap(err, "listen on %s", address)
		}
		serveHTTP(ctx, group, listener, handler)
	}
	return started, nil
}
