package commands

import (
	"context"
	"io"

	"github.com/azurepond/azurepond/internal/settings"
	"github.com/azurepond/azurepond/pkg/operator"
)

type makeVerb struct {
	File   string `arg:"positional,required" help:"the filled-in questionnaire"`
	Output string `arg:"-o,--output" help:"write to this new file instead of the terminal"`
	Base   uint64 `arg:"--base" help:"the revision that the configuration builds on, 0 for a new team"`
}

func (v *makeVerb) run(_ context.Context, out io.Writer) error {
	data, err := settings.ReadFile(v.File)
	if err != nil {
		return err
	}
	config, explanations, err := generate(v.File, data)
	if err != nil {
		return err
	}
	return emit(out, v.Output, config.WithRevision(operator.Revision(v.Base)).AnnotatedYAML(explanations))
}
