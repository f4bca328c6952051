package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/azurepond/azurepond/pkg/operator"
	"github.com/gravitational/trace"
)

type diffCommand struct {
	entryOptions
	File    string `arg:"positional,required" help:"the new configuration, or the questionnaire to generate it from"`
	Against string `arg:"--against" help:"compare with this file instead of the configuration in force"`
}

func (c *diffCommand) run(ctx context.Context, out io.Writer) error {
	next, err := loadConfig(c.File)
	if err != nil {
		return err
	}
	current, err := c.current(ctx, next.Team())
	if err != nil {
		return err
	}
	differences := operator.Diff(current, next)
	if c.JSON {
		err = printJSON(out, formatDifferences(differences))
	} else {
		err = c.print(out, current, differences)
	}
	if err != nil || len(differences) == 0 {
		return err
	}
	return exitErrorf(exitDifferent, "they differ")
}

func (c *diffCommand) current(ctx context.Context, team string) (operator.Config, error) {
	if c.Against != "" {
		return loadConfig(c.Against)
	}
	client, err := c.client()
	if err != nil {
		return operator.Config{}, err
	}
	return client.Configuration(ctx, team)
}

func (c *diffCommand) print(out io.Writer, current operator.Config, differences []operator.Difference) error {
	if c.Against == "" {
		if _, err := fmt.Fprintf(out, "against revision %d, in force:\n", current.Revision()); err != nil {
			return trace.Wrap(err)
		}
	}
	if len(differences) == 0 {
		_, err := fmt.Fprintln(out, "no differences")
		return trace.Wrap(err)
	}
	return printLines(out, "", formatDifferences(differences))
}

func formatDifferences(differences []operator.Difference) []string {
	texts := make([]string, 0, len(differences))
	for _, d := range differences {
		texts = append(texts, d.String())
	}
	return texts
}

func printLines(out io.Writer, indent string, texts []string) error {
	for _, text := range texts {
		if _, err := fmt.Fprintln(out, indent+text); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return trace.Wrap(encoder.Encode(value))
}
