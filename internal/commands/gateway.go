package commands

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/azurepond/azurepond/internal/gateway"
	"github.com/azurepond/azurepond/platform"
)

// settingsPeriod is how often the settings file is looked at, since it may change without a signal.
const settingsPeriod = time.Second

type gatewayVerb struct {
	Config string `arg:"--config,env:AZUREPOND_NODE_FILE" placeholder:"FILE" help:"the platform's settings file of this instance"`
}

func (v *gatewayVerb) run(ctx context.Context, out io.Writer) error {
	if v.Config == "" {
		return trace.BadParameter("no settings file: give --config FILE or set %s", platform.SettingsFileEnv)
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	output := gateway.NewLogWriter(out)
	if err := output.RedirectKlog(); err != nil {
		return err
	}
	start := time.Now()
	loaded, err := platform.Load(v.Config, start)
	if err != nil {
		return err
	}
	ctx, stop := untilSignal(ctx)
	defer stop()
	d, err := gateway.New(loaded.Daemon(), platform.New(loaded), output)
	if err != nil {
		return err
	}
	go v.follow(ctx, d, start, hangups)
	return d.Run(ctx)
}

// follow reloads the settings at each hangup signal and when the file changes.
func (v *gatewayVerb) follow(ctx context.Context, d *gateway.Daemon, start time.Time, hangups <-chan os.Signal) {
	ticker := time.NewTicker(settingsPeriod)
	defer ticker.Stop()
	changed := v.changed()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
			if now := v.changed(); now.Equal(changed) {
				continue
			}
		}
		changed = v.changed()
		loaded, err := platform.Load(v.Config, start)
		if err != nil {
			klog.ErrorS(err, "daemon: settings not reloaded, those before stay in force")
			continue
		}
		d.Reload(loaded.Daemon())
	}
}

// changed returns when the settings file was last written, the zero time if that can't be told.
func (v *gatewayVerb) changed() time.Time {
	info, err := os.Stat(v.Config)
	if err != nil {
		klog.InfoS("daemon: settings file not found", "err", err.Error())
		return time.Time{}
	}
	return info.ModTime()
}
