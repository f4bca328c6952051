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

// The kinds of file that the check command accepts.
const (
	kindQuestionnaire = "questionnaire"
	kindConfig        = "configuration"
	kindSettings      = "settings"
	kindStandIns      = "stand"
)

type checkCommand struct {
	File string `arg:"positional,required" help:"the file to check"`
	Kind string `arg:"--kind" help:"questionnaire, configuration, settings or stand; found out from the file when not given"`
}

func (c *checkCommand) run(_ context.Context, out io.Writer) error {
	data, err := settings.ReadFile(c.File)
	if err != nil {
		return err
	}
	kind := c.Kind
	if kind == "" {
		kind = detectKind(data)
	}
	if err := checkFile(kind, c.File, data); err != nil {
		return mistakesError(err)
	}
	_, err = fmt.Fprintf(out, "%s: no mistakes (%s)\n", c.File, kind)
	return trace.Wrap(err)
}

func checkFile(kind, file string, data []byte) error {
	var err error
	switch kind {
	case kindQuestionnaire:
		_, err = operator.ParseAnswers(file, data)
	case kindConfig:
		_, err = operator.ParseConfig(file, data)
	case kindSettings:
		_, err = settings.Parse(file, data)
	case kindStandIns:
		_, err = settings.ParseStandIns(file, data)
	default:
		return exitErrorf(exitUsage, "%q is no kind; write questionnaire, configuration, settings or stand", kind)
	}
	return err
}

// detectKind returns the kind of a file, based on a field that only this kind has. A file without such a field is a
// configuration.
func detectKind(data []byte) string {
	_, root := yaml.Parse("", data)
	switch {
	case root.Has("listeners"):
		return kindSettings
	case root.Has("engines"):
		return kindStandIns
	case root.Has("callers") || root.Has("worse") || root.Has("delay"):
		return kindQuestionnaire
	}
	return kindConfig
}
