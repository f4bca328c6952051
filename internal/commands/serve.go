package commands

import (
	"context"
	"flag"
	"io"
	"strconv"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/azurepond/azurepond/internal/daemon"
	"github.com/azurepond/azurepond/internal/settings"
)

type serveCommand struct {
	Config string `arg:"--config,required" placeholder:"FILE" help:"the settings file of the daemon"`
}

func (c *serveCommand) run(ctx context.Context, _ io.Writer) error {
	loaded, err := settings.Load(c.Config)
	if err != nil {
		return mistakesError(err)
	}
	if err := setVerbosity(loaded.Verbosity()); err != nil {
		return err
	}
	defer klog.Flush()
	ctx, stop := withStopSignals(ctx)
	defer stop()
	d, err := daemon.New(loaded, daemon.ListenTCP)
	if err != nil {
		return err
	}
	return d.Run(ctx)
}

// setVerbosity sets the verbosity of the log, from 0 to 9.
func setVerbosity(verbosity int) error {
	flags := flag.NewFlagSet("log", flag.ContinueOnError)
	klog.InitFlags(flags)
	return trace.Wrap(flags.Set("v", strconv.Itoa(verbosity)))
}
