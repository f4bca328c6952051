package operator_test

import (
	"errors"
	"reflect"
	"testing"

	"github.com/azurepond/azurepond/pkg/operator"
	"github.com/azurepond/azurepond/pkg/yaml"
)

// FuzzParseAnswers parses arbitrary text as answers. Valid answers must generate a configuration whose annotated YAML
// parses without mistakes to the same configuration.
func FuzzParseAnswers(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		answers, err := operator.ParseAnswers("fuzz.yaml", data)
		var mistakes yaml.Mistakes
		if errors.As(err, &mistakes) && len(mistakes) > 0 {
			return
		}
		if err != nil {
			t.Fatalf("error is a %T, not yaml.Mistakes: %v", err, err)
		}
		config, explanations := operator.Generate(answers)
		parsed, err := operator.ParseConfig("generated.yaml", config.AnnotatedYAML(explanations))
		if err != nil {
			t.Fatalf("generated configuration has mistakes: %v", err)
		}
		if !reflect.DeepEqual(parsed, config) {
			t.Fatalf("parsed annotated YAML is %+v, want %+v", parsed, config)
		}
	})
}

// FuzzParseConfig parses arbitrary text as a configuration. A valid configuration must survive a round trip through
// JSON and through YAML.
func FuzzParseConfig(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		config, err := operator.ParseConfig("fuzz.yaml", data)
		if err != nil {
			return
		}
		stored, err := operator.ParseConfigJSON(config.JSON())
		if err != nil || !reflect.DeepEqual(stored, config) {
			t.Fatalf("parsed JSON is %+v, want %+v: %v", stored, config, err)
		}
		parsed, err := operator.ParseConfig("written.yaml", config.YAML())
		if err != nil || !reflect.DeepEqual(parsed, config) {
			t.Fatalf("parsed YAML is %+v, want %+v: %v", parsed, config, err)
		}
	})
}
