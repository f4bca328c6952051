package commands

import (
	"context"
	"io"
	"time"

	"github.com/gravitational/trace"

	"github.com/azurepond/azurepond/internal/gateway"
	"github.com/azurepond/azurepond/platform"
)

type gatewayVerb struct {
	Config string `arg:"--config,env:AZUREPOND_NODE_FILE" placeholder:"FILE" help:"the platform's settings file of this instance"`
}

func (v *gatewayVerb) run(ctx context.Context, out io.Writer) error {
	if v.Config == "" {
		return trace.BadParameter("no settings file: give --config FILE or set %s", platform.SettingsVariable)
	}
	output := gateway.NewOutput(out)
	if err := output.Redirect(); err != nil {
		return err
	}
	loaded, err := platform.Load(v.Config, time.Now())
	if err != nil {
		return err
	}
	ctx, stop := untilSignal(ctx)
	defer stop()
	d, err := gateway.New(loaded.Daemon(), platform.New(loaded), output)
	if err != nil {
		return err
	}
	return d.Run(ctx)
}
