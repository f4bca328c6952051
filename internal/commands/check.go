package commands

import (
	"context"
	"fmt"
	"io"

	"github.com/azurepond/azurepond/internal/settings"
	"github.com/azurepond/azurepond/pkg/operator"
	"github.com/azurepond/azurepond/pkg/yaml"
	"github.com/gravitational/trace"
)

// The kinds of file that the check verb knows.
const (
	kindAnswers  = "questionnaire"
	kindConfig   = "configuration"
	kindSettings = "settings"
	kindStand    = "stand"
)

type checkVerb struct {
	File string `arg:"positional,required" help:"the file to check"`
	Kind string `arg:"--kind" help:"questionnaire, configuration, settings or stand; found out from the file when not given"`
}

func (v *checkVerb) run(_ context.Context, out io.Writer) error {
	data, err := settings.ReadFile(v.File)
	if err != nil {
		return err
	}
	kind := v.Kind
	if kind == "" {
		kind = guess(data)
	}
	if err := checkKind(kind, v.File, data); err != nil {
		return mistaken(err)
	}
	_, err = fmt.Fprintf(out, "%s: no mistakes (%s)\n", v.File, kind)
	return trace.Wrap(err)
}

func checkKind(kind, file string, data []byte) error {
	var err error
	switch kind {
	case kindAnswers:
		_, err = operator.ParseAnswers(file, data)
	case kindConfig:
		_, err = operator.ParseConfig(file, data)
	case kindSettings:
		_, err = settings.Parse(file, data)
	case kindStand:
		_, err = settings.ParseStandIns(file, data)
	default:
		return fail(exitUsage, "%q is no kind; write questionnaire, configuration, settings or stand", kind)
	}
	return err
}

// guess returns the kind of a file by a field that only this kind has.
func guess(data []byte) string {
	_, root := yaml.Parse("", data)
	switch {
	case root.Has("listeners"):
		return kindSettings
	case root.Has("engines"):
		return kindStand
	case root.Has("callers") || root.Has("worse") || root.Has("delay"):
		return kindAnswers
	}
	return kindConfig
}
