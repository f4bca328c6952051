package commands

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/azurepond/azurepond/internal/admin"
	"github.com/azurepond/azurepond/pkg/operator"
)

// planOptions are the options of the commands that plan an action.
type planOptions struct {
	entryOptions
	changeOptions
	Kind   string `arg:"positional,required" help:"replica, instance, entry or upstream"`
	Target string `arg:"positional,required" help:"its name, or the address of an upstream"`
}

type drainCommand struct {
	planOptions
	waitOptions
}

func (c *drainCommand) run(ctx context.Context, out io.Writer) error {
	return planAndWait(ctx, out, &c.planOptions, &c.waitOptions, operator.VerbDrain)
}

type stopCommand struct {
	planOptions
	waitOptions
}

func (c *stopCommand) run(ctx context.Context, out io.Writer) error {
	return planAndWait(ctx, out, &c.planOptions, &c.waitOptions, operator.VerbStop)
}

type undrainCommand struct{ planOptions }

func (c *undrainCommand) run(ctx context.Context, out io.Writer) error {
	_, err := c.plan(ctx, out, operator.VerbUndrain)
	return err
}

func planAndWait(ctx context.Context, out io.Writer, o *planOptions, w *waitOptions, verb operator.Verb) error {
	revision, err := o.plan(ctx, out, verb)
	if err != nil {
		return err
	}
	if !w.Wait {
		return nil
	}
	entry := ""
	if o.kind() == operator.KindEntry {
		entry = o.Target
	}
	return w.wait(ctx, out, &o.entryOptions, entry, targetDrained(o.kind(), o.Target, revision))
}

func (o *planOptions) kind() operator.Kind { return operator.Kind(strings.ToLower(o.Kind)) }

func (o *planOptions) plan(ctx context.Context, out io.Writer, verb operator.Verb) (operator.Revision, error) {
	action := operator.NewAction(verb, o.kind(), o.Target)
	revision, err := sendChange(out, &o.entryOptions, o.idempotencyKey(),
		func(c *admin.Client, key admin.IdempotencyKey) (operator.Outcome, error) {
			return c.Plan(ctx, key, action)
		})
	if err != nil {
		return 0, err
	}
	return revision, printMessage(out, o.JSON, "planned: %s, revision %d", action, revision)
}

// targetDrained holds when the target is drained and runs no requests, is dead, or is gone. A missing target counts as
// gone only if revision is in force on the entry, as an entry with an older revision may not know the target.
func targetDrained(kind operator.Kind, target string, revision operator.Revision) waitCondition {
	return func(status admin.Status) (bool, string) {
		state, running, found := findTarget(status, kind, target)
		switch {
		case !found && status.Revision() < revision:
			return false, fmt.Sprintf("%s does not hold revision %d yet", status.Entry(), revision)
		case !found:
			return true, fmt.Sprintf("%s %s is gone", kind, target)
		case state == admin.StateDead:
			return true, fmt.Sprintf("%s %s is dead", kind, target)
		case state == admin.StateDrained && running == 0:
			return true, fmt.Sprintf("%s %s is drained", kind, target)
		}
		return false, fmt.Sprintf("%s %s is %s, %d running", kind, target, state, running)
	}
}

// findTarget returns the state of the target. An instance has the state of its replica.
func findTarget(status admin.Status, kind operator.Kind, target string) (state admin.State, running int, found bool) {
	switch kind {
	case operator.KindEntry:
		for _, e := range status.Entries() {
			if e.Name() == target {
				return e.State(), e.ActiveCalls(), true
			}
		}
	case operator.KindUpstream:
		for _, u := range status.Upstreams() {
			if u.Address() == target {
				return u.State(), u.ActiveRequests(), true
			}
		}
	case operator.KindReplica:
		for _, r := range status.Replicas() {
			if r.Name() == target {
				return r.State(), r.ActiveRequests(), true
			}
		}
	case operator.KindInstance:
		return findInstance(status, target)
	}
	return "", 0, false
}

func findInstance(status admin.Status, target string) (state admin.State, running int, found bool) {
	for _, r := range status.Replicas() {
		for _, instance := range r.Instances() {
			if instance == target {
				return r.State(), r.ActiveRequests(), true
			}
		}
	}
	return "", 0, false
}
