package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/azurepond/azurepond/internal/admin"
	"github.com/gravitational/trace"
)

// tablePadding is the number of spaces between two columns of a table.
const tablePadding = 2

type statusCommand struct{ entryOptions }

func (c *statusCommand) run(ctx context.Context, out io.Writer) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	status, err := client.Status(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(out, json.RawMessage(status.JSON()))
	}
	_, _ = fmt.Fprintf(out, "revision %d, as %s knows it\n", status.Revision(), status.Entry())
	table := tabwriter.NewWriter(out, 0, 0, tablePadding, ' ', 0)
	printModels(table, status.Models())
	printReplicas(table, status.Replicas())
	printUpstreams(table, status.Upstreams())
	printEntries(table, status.Entries())
	return trace.Wrap(table.Flush())
}

func printReplicas(table *tabwriter.Writer, replicas []admin.Replica) {
	if len(replicas) == 0 {
		return
	}
	_, _ = fmt.Fprintln(table, "\nREPLICA\tMODEL\tSTATE\tRUNNING\tINSTANCES\tREASON")
	for _, r := range replicas {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%s\n",
			r.Name(), r.Model(), r.State(), r.ActiveRequests(), len(r.Instances()), orDash(r.Reason()))
	}
}

func printUpstreams(table *tabwriter.Writer, upstreams []admin.Upstream) {
	if len(upstreams) == 0 {
		return
	}
	_, _ = fmt.Fprintln(table, "\nUPSTREAM\tSERVICE\tSTATE\tRUNNING\tCENTRE")
	for _, u := range upstreams {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\n", u.Address(), u.Service(), u.State(), u.ActiveRequests(), u.Centre())
	}
}

func printEntries(table *tabwriter.Writer, entries []admin.Entry) {
	if len(entries) == 0 {
		return
	}
	_, _ = fmt.Fprintln(table, "\nENTRY\tSTATE\tREVISION\tRUNNING\tCENTRE")
	for _, e := range entries {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%s\n", e.Name(), e.State(), e.Revision(), e.ActiveCalls(), e.Centre())
	}
}

func printModels(table *tabwriter.Writer, models []admin.Model) {
	if len(models) == 0 {
		return
	}
	_, _ = fmt.Fprintln(table, "\nMODEL\tWANTED\tWHOLE\tGROUP DOWNTIME\tSTRANDED ACCELERATORS")
	for _, m := range models {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%v\t%v\n", orDash(m.Name()), m.WantedReplicas(), m.AvailableReplicas(),
			m.Downtime().Round(time.Second), m.StrandedTime().Round(time.Second))
	}
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
