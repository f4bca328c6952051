package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/azurepond/azurepond/pkg/operator"
	"github.com/gravitational/trace"
)

type historyCommand struct {
	entryOptions
	Show uint64 `arg:"--show" help:"print the configuration that this revision brought"`
}

func (c *historyCommand) run(ctx context.Context, out io.Writer) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	key := newIdempotencyKey()
	outcome, err := client.History(ctx, key)
	if err != nil {
		return err
	}
	result, ok := outcome.(operator.ReadResult)
	if !ok {
		_, err := reportOutcome(out, c.JSON, key, outcome)
		return err
	}
	switch {
	case c.Show > 0:
		return printConfiguration(out, result.Changes(), operator.Revision(c.Show))
	case c.JSON:
		return printJSON(out, json.RawMessage(operator.MarshalChanges(result.Changes())))
	}
	return printHistory(out, result.Changes())
}

func printConfiguration(out io.Writer, changes []operator.Change, revision operator.Revision) error {
	for _, change := range changes {
		if change.Revision() == revision && !change.IsAction() {
			_, err := out.Write(change.Config().YAML())
			return trace.Wrap(err)
		}
	}
	return trace.NotFound("revision %d is not a kept configuration of your team; \"azurepond history\" lists those", revision)
}

func printHistory(out io.Writer, changes []operator.Change) error {
	if len(changes) == 0 {
		return printMessage(out, false, "no changes yet")
	}
	table := tabwriter.NewWriter(out, 0, 0, tablePadding, ' ', 0)
	_, _ = fmt.Fprintln(table, "REVISION\tBASE\tAT\tTEAM\tWHO\tCHANGE")
	previousByTeam := map[string]operator.Config{}
	for _, change := range changes {
		_, _ = fmt.Fprintf(table, "%d\t%d\t%s\t%s\t%s\t%s\n",
			change.Revision(), change.Base(), formatTime(change.AcceptedAt()), change.Team(), change.Author(),
			summariseChange(previousByTeam[change.Team()], change))
		if !change.IsAction() {
			previousByTeam[change.Team()] = change.Config()
		}
	}
	return trace.Wrap(table.Flush())
}

// summariseChange returns the planned action, or a short form of the differences from before.
func summariseChange(before operator.Config, change operator.Change) string {
	if change.IsAction() {
		return change.Action().String()
	}
	if before.IsEmpty() {
		return fmt.Sprintf("models: %d, services: %d, organisations: %d", len(change.Config().Models()),
			len(change.Config().Services()), len(change.Config().Organisations()))
	}
	differences := operator.Diff(before, change.Config())
	switch len(differences) {
	case 0:
		return "nothing"
	case 1:
		return differences[0].String()
	}
	return fmt.Sprintf("%s, and %d more", differences[0], len(differences)-1)
}
