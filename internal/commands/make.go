package commands

import (
	"context"
	"io"

	"github.com/azurepond/azurepond/internal/settings"
	"github.com/azurepond/azurepond/pkg/operator"
)

type makeCommand struct {
	File   string `arg:"positional,required" help:"the filled-in questionnaire"`
	Output string `arg:"-o,--output" help:"write to this new file instead of the terminal"`
	Base   uint64 `arg:"--base" help:"the revision that the configuration builds on, 0 for a new team"`
}

func (c *makeCommand) run(_ context.Context, out io.Writer) error {
	data, err := settings.ReadFile(c.File)
	if err != nil {
		return err
	}
	config, explanations, err := generate(c.File, data)
	if err != nil {
		return err
	}
	return writeOutput(out, c.Output, config.WithRevision(operator.Revision(c.Base)).AnnotatedYAML(explanations))
}
