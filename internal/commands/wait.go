package commands

import (
	"context"
	"io"
	"time"

	"github.com/azurepond/azurepond/internal/admin"
)

// waitOptions are the options of commands that can wait for their effect.
type waitOptions struct {
	Wait     bool          `arg:"--wait" help:"wait until it is done everywhere"`
	Timeout  time.Duration `arg:"--patience" default:"5m" help:"how long to wait at most"`
	Interval time.Duration `arg:"--interval" default:"500ms" help:"time between two looks"`
}

// waitCondition reports whether status meets a condition, with a line of text on the progress.
type waitCondition func(status admin.Status) (done bool, text string)

// wait polls the status until condition holds, and prints each new line of progress. It prefers the status of the entry
// called entry, as only that one knows its own calls; an empty name means any entry.
func (o *waitOptions) wait(ctx context.Context, out io.Writer, options *entryOptions, entry string,
	condition waitCondition,
) error {
	client, err := options.client()
	if err != nil {
		return err
	}
	lastText := ""
	lastPoll := int(o.Timeout / max(o.Interval, time.Millisecond))
	for i := 0; ; i++ {
		status, err := client.StatusOf(ctx, entry)
		text := "no entry answers"
		done := false
		if err == nil {
			done, text = condition(status)
		}
		if done {
			return printMessage(out, options.JSON, "done: %s", text)
		}
		if text != lastText {
			if err := printMessage(out, options.JSON, "waiting: %s", text); err != nil {
				return err
			}
			lastText = text
		}
		if i >= lastPoll {
			return exitErrorf(exitUnfinished, "not finished after %v: %s", o.Timeout, text)
		}
		if err := sleep(ctx, o.Interval); err != nil {
			return err
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return exitErrorf(exitUnfinished, "interrupted; what was begun goes on")
	case <-timer.C:
		return nil
	}
}
