package commands

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"
)

const demoTimeout = 10 * time.Minute

type demoCommand struct {
	Log bool `arg:"--log" help:"show the log of the daemons"`
}

// demoStep is one step of the demo. run returns what the step observed, or an error if that is not as expected.
type demoStep struct {
	title string
	run   func(context.Context, *demoFleet) (result string, err error)
}

var demoSteps = []demoStep{
	{"apply the configuration", applyConfiguration},
	{"wait for two whole replicas", waitForReplicas},
	{"ask which addresses to use", fetchAddresses},
	{"stream a model's answer", streamAnswer},
	{"book a ticket", bookTicket},
	{"send the same ticket through the other entry", repeatBooking},
	{"drain one replica", drainReplica},
	{"call the model again", repeatStream},
	{"stop both entries", stopEntries},
}

func (c *demoCommand) run(ctx context.Context, out io.Writer) error {
	if !c.Log {
		klog.LogToStderr(false)
		klog.SetOutput(io.Discard)
	}
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	fleet, err := startDemo(ctx, group)
	if err != nil {
		return err
	}
	failedSteps := runDemoSteps(ctx, out, fleet)
	cancel()
	if err := group.Wait(); err != nil && failedSteps == 0 {
		return trace.Wrap(err)
	}
	if failedSteps > 0 {
		return trace.CompareFailed("%d of %d steps failed", failedSteps, len(demoSteps))
	}
	return nil
}

// runDemoSteps runs all steps, prints the result of each, and returns the number of failed steps.
func runDemoSteps(ctx context.Context, out io.Writer, fleet *demoFleet) int {
	table := tabwriter.NewWriter(out, 0, 0, tablePadding, ' ', 0)
	defer func() { _ = table.Flush() }()
	_, _ = fmt.Fprintln(table, "STEP\tHELD\tSEEN")
	failedSteps := 0
	for _, step := range demoSteps {
		passed := "yes"
		result, err := step.run(ctx, fleet)
		if err != nil {
			failedSteps++
			passed, result = "NO", err.Error()
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\n", step.title, passed, result)
	}
	return failedSteps
}
