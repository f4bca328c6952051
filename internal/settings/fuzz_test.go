package settings_test

import (
	"errors"
	"testing"

	"github.com/azurepond/azurepond/internal/settings"
	"github.com/azurepond/azurepond/pkg/yaml"
)

// FuzzParse reads any text as settings of a daemon and of the stand-ins; what is not read is explained.
func FuzzParse(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := settings.Parse("fuzz.yaml", data)
		explained(t, err)
		_, err = settings.ParseStandIns("fuzz.yaml", data)
		explained(t, err)
	})
}

func explained(t *testing.T, err error) {
	if err == nil {
		return
	}
	var mistakes yaml.Mistakes
	if !errors.As(err, &mistakes) || len(mistakes) == 0 {
		t.Fatalf("%T is not made of mistakes: %v", err, err)
	}
	for _, mistake := range mistakes {
		if mistake.File() != "fuzz.yaml" || mistake.Problem() == "" || mistake.Remedy() == "" {
			t.Fatalf("not explained: %+v", mistake)
		}
	}
}
