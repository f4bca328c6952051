package commands

import (
	"context"
	"io"
	"math"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/azurepond/azurepond/internal/gateway"
	"github.com/azurepond/azurepond/platform"
)

// settingsPollInterval is the interval between checks of the modification time of the settings file. The file is
// polled because it can change without a signal.
const settingsPollInterval = time.Second

type gatewayCommand struct {
	Config string `arg:"--config,env:AZUREPOND_NODE_FILE" placeholder:"FILE" help:"the platform's settings file of this instance"`
}

func (c *gatewayCommand) run(ctx context.Context, out io.Writer) error {
	if c.Config == "" {
		return trace.BadParameter("no settings file: give --config FILE or set %s", platform.SettingsFileEnv)
	}
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	defer signal.Stop(reloads)
	logs := gateway.NewLogWriter(out)
	if err := logs.RedirectKlog(); err != nil {
		return err
	}
	start := time.Now()
	loaded, err := platform.Load(c.Config, start)
	if err != nil {
		return err
	}
	limitMemory(loaded.Daemon())
	ctx, stop := withStopSignals(ctx)
	defer stop()
	d, err := gateway.New(loaded.Daemon(), platform.New(loaded), logs)
	if err != nil {
		return err
	}
	go c.reloadOnChange(ctx, d, start, reloads)
	defer flushLog(logs)
	return d.Run(ctx)
}

// flushTimeout limits the wait for the last log lines, which is part of the grace period of a shutdown.
const flushTimeout = 100 * time.Millisecond

// flushLog writes the last log lines before the process exits.
func flushLog(logs *gateway.LogWriter) {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	logs.Flush(ctx)
}

// reloadOnChange reloads the settings on each SIGHUP and when the modification time of the file changes.
func (c *gatewayCommand) reloadOnChange(ctx context.Context, d *gateway.Daemon, start time.Time,
	reloads <-chan os.Signal,
) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastModTime := c.modTime()
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloads:
		case <-ticker.C:
			if now := c.modTime(); now.Equal(lastModTime) {
				continue
			}
		}
		lastModTime = c.modTime()
		loaded, err := platform.Load(c.Config, start)
		if err != nil {
			klog.ErrorS(err, "daemon: settings not reloaded, the previous settings remain in effect")
			continue
		}
		limitMemory(loaded.Daemon())
		d.Reload(loaded.Daemon())
	}
}

// runtimeMemoryShare is the part of an instance's memory at which the Go runtime collects garbage more often. The rest is for the
// program itself, for stacks, and for what is allocated while garbage is collected.
const runtimeMemoryShare = 0.65

// limitMemory sets the memory limit of the Go runtime by that of the instance.
func limitMemory(s gateway.Settings) {
	limit := int64(math.MaxInt64) // none
	if s.MemoryBytes > 0 {
		limit = int64(runtimeMemoryShare * float64(s.MemoryBytes))
	}
	debug.SetMemoryLimit(limit)
}

// modTime returns the modification time of the settings file, or the zero time if it can't be read.
func (c *gatewayCommand) modTime() time.Time {
	info, err := os.Stat(c.Config)
	if err != nil {
		klog.InfoS("daemon: settings file can't be read", "err", err.Error())
		return time.Time{}
	}
	return info.ModTime()
}
