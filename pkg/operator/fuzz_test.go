package operator_test

import (
	"errors"
	"reflect"
	"testing"

	"github.com/azurepond/azurepond/pkg/operator"
	"github.com/azurepond/azurepond/pkg/yaml"
)

// FuzzParseAnswers reads any text as answers; what is read makes a configuration without mistakes, explained throughout.
func FuzzParseAnswers(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		answers, err := operator.ParseAnswers("fuzz.yaml", data)
		var mistakes yaml.Mistakes
		if errors.As(err, &mistakes) && len(mistakes) > 0 {
			return
		}
		if err != nil {
			t.Fatalf("%T is not made of mistakes: %v", err, err)
		}
		config, explanations := operator.Generate(answers)
		again, err := operator.ParseConfig("made.yaml", config.AnnotatedYAML(explanations))
		if err != nil {
			t.Fatalf("the configuration has mistakes: %v", err)
		}
		if !reflect.DeepEqual(again, config) {
			t.Fatalf("the configuration reads as %+v, not as %+v", again, config)
		}
	})
}

// FuzzParseConfig reads any text as a configuration; what is read is stored and written without loss.
func FuzzParseConfig(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		config, err := operator.ParseConfig("fuzz.yaml", data)
		if err != nil {
			return
		}
		stored, err := operator.ParseConfigJSON(config.JSON())
		if err != nil || !reflect.DeepEqual(stored, config) {
			t.Fatalf("stored as %+v, not as %+v: %v", stored, config, err)
		}
		again, err := operator.ParseConfig("again.yaml", config.YAML())
		if err != nil || !reflect.DeepEqual(again, config) {
			t.Fatalf("written as %+v, not as %+v: %v", again, config, err)
		}
	})
}
