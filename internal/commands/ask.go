package commands

import (
	"context"
	"io"
	"os"

	"github.com/azurepond/azurepond/internal/settings"
	"github.com/azurepond/azurepond/pkg/operator"
	"github.com/gravitational/trace"
)

// fileMode is the mode of files that verbs write.
const fileMode = 0o644

type askVerb struct {
	Output string `arg:"-o,--output" help:"write to this new file instead of the terminal"`
}

func (v *askVerb) run(_ context.Context, out io.Writer) error {
	return emit(out, v.Output, operator.Questionnaire())
}

// emit writes data to the new file at path, or to out when path is empty.
func emit(out io.Writer, path string, data []byte) error {
	if path == "" {
		_, err := out.Write(data)
		return trace.Wrap(err)
	}
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, fileMode)
	if os.IsExist(err) {
		return trace.AlreadyExists("%s: exists already; give another name or remove it", path)
	}
	if err != nil {
		return trace.BadParameter("%s: can't be written: %v", path, err)
	}
	_, err = file.Write(data)
	return trace.NewAggregate(err, file.Close())
}

// loadConfig reads the configuration in the file at path, or generates it from the questionnaire there.
func loadConfig(path string) (operator.Config, error) {
	data, err := settings.ReadFile(path)
	if err != nil {
		return operator.Config{}, err
	}
	if guess(data) == kindAnswers {
		config, _, err := generate(path, data)
		return config, err
	}
	config, err := operator.ParseConfig(path, data)
	if err != nil {
		return operator.Config{}, mistaken(err)
	}
	return config, nil
}

// generate returns the configuration that follows from the answers in data, and why.
func generate(path string, data []byte) (operator.Config, []operator.Explanation, error) {
	answers, err := operator.ParseAnswers(path, data)
	if err != nil {
		return operator.Config{}, nil, mistaken(err)
	}
	config, explanations := operator.Generate(answers)
	return config, explanations, nil
}
