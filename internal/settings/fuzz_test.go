package settings_test

import (
	"errors"
	"testing"

	"github.com/azurepond/azurepond/internal/settings"
	"github.com/azurepond/azurepond/pkg/yaml"
)

// FuzzParse parses arbitrary text as both kinds of settings; each error must name the file, the problem and the remedy.
func FuzzParse(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := settings.Parse("fuzz.yaml", data)
		checkExplained(t, err)
		_, err = settings.ParseStandIns("fuzz.yaml", data)
		checkExplained(t, err)
	})
}

func checkExplained(t *testing.T, err error) {
	if err == nil {
		return
	}
	var mistakes yaml.Mistakes
	if !errors.As(err, &mistakes) || len(mistakes) == 0 {
		t.Fatalf("error of type %T is no list of mistakes: %v", err, err)
	}
	for _, mistake := range mistakes {
		if mistake.File() != "fuzz.yaml" || mistake.Problem() == "" || mistake.Remedy() == "" {
			t.Fatalf("mistake without file, problem or remedy: %+v", mistake)
		}
	}
}
