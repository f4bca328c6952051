package commands_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/azurepond/azurepond/internal/commands"
	. "github.com/smartystreets/goconvey/convey"
)

// TestBadInputs makes each edit of a good file and compares the output of the check command.
func TestBadInputs(t *testing.T) {
	good := map[string]string{}
	for _, kind := range []string{"settings", "stand", "questionnaire", "configuration"} {
		data, err := os.ReadFile(filepath.Join("testdata", "good", kind+".yaml"))
		if err != nil {
			t.Fatal(err)
		}
		good[kind] = string(data)
	}
	t.Chdir(t.TempDir())
	Convey("Good files have no mistakes", t, func() {
		for kind, text := range good {
			code, output := check(kind, text)
			So(output, ShouldEqual, "file.yaml: no mistakes ("+kind+")\n")
			So(code, ShouldEqual, 0)
		}
	})
	Convey("Each mistake is reported with its line, field and remedy", t, func() {
		for _, input := range badInputs {
			So(strings.Count(good[input.kind], input.old), ShouldEqual, 1)
			code, output := check(input.kind, strings.Replace(good[input.kind], input.old, input.new, 1))
			So(output, ShouldEqual, input.want)
			So(code, ShouldEqual, 4)
		}
	})
}

// check runs the check command on text and returns the exit code and the mistakes, or all output if there are none.
func check(kind, text string) (int, string) {
	if err := os.WriteFile("file.yaml", []byte(text), 0o600); err != nil {
		return -1, err.Error()
	}
	var output bytes.Buffer
	code := commands.Execute([]string{"check", "file.yaml", "--kind", kind}, &output, &output)
	_, mistakes, found := strings.Cut(output.String(), "mistake")
	if !found || code == 0 {
		return code, output.String()
	}
	_, mistakes, _ = strings.Cut(mistakes, "\n")
	return code, strings.TrimSuffix(mistakes, "\n")
}
