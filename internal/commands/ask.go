package commands

import (
	"context"
	"io"
	"os"

	"github.com/azurepond/azurepond/internal/settings"
	"github.com/azurepond/azurepond/pkg/operator"
	"github.com/gravitational/trace"
)

// fileMode is the mode of the files that commands write.
const fileMode = 0o644

type askCommand struct {
	Output string `arg:"-o,--output" help:"write to this new file instead of the terminal"`
}

func (c *askCommand) run(_ context.Context, out io.Writer) error {
	return writeOutput(out, c.Output, operator.Questionnaire())
}

// writeOutput writes data to a new file at path, or to out if path is empty.
func writeOutput(out io.Writer, path string, data []byte) error {
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

// loadConfig reads the configuration in the file at path. From a questionnaire, it generates the configuration.
func loadConfig(path string) (operator.Config, error) {
	data, err := settings.ReadFile(path)
	if err != nil {
		return operator.Config{}, err
	}
	if detectKind(data) == kindQuestionnaire {
		config, _, err := generate(path, data)
		return config, err
	}
	config, err := operator.ParseConfig(path, data)
	if err != nil {
		return operator.Config{}, mistakesError(err)
	}
	return config, nil
}

// generate returns the configuration generated from the answers in data, with an explanation of each value.
func generate(path string, data []byte) (operator.Config, []operator.Explanation, error) {
	answers, err := operator.ParseAnswers(path, data)
	if err != nil {
		return operator.Config{}, nil, mistakesError(err)
	}
	config, explanations := operator.Generate(answers)
	return config, explanations, nil
}
