package golden

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/tools/txtar"
)

const (
	// sessionPart is the name of the txtar part with the events and effects; the parts before it contain settings.
	sessionPart = "session"
	// effectPrefix is the prefix of a line with an effect.
	effectPrefix = "> "
	// updateEnv is the environment variable that makes Run write the actual effects to the file instead of comparing.
	updateEnv = "GOLDEN_UPDATE"
)

// Epoch is time 0 of a session, whose times are in seconds.
var Epoch = time.Unix(1_700_000_000, 0).UTC()

// Handler applies one event of a session, split into words, and returns one line for each effect. The lines of the
// other parts are events at Epoch, whose effects are ignored.
type Handler func(now time.Time, words []string) []string

// Run runs each session in testdata with a new handler and compares the effects.
func Run(t *testing.T, newHandler func(t *testing.T) Handler) {
	t.Helper()
	paths, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no sessions in testdata: %v", err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			runFile(t, path, newHandler(t))
		})
	}
}

func runFile(t *testing.T, path string, handle Handler) {
	t.Helper()
	archive, err := txtar.ParseFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for i, file := range archive.Files {
		if file.Name != sessionPart {
			for _, line := range splitLines(file.Data) {
				handle(Epoch, strings.Fields(line))
			}
			continue
		}
		actual := runEvents(t, splitLines(file.Data), handle)
		if os.Getenv(updateEnv) != "" {
			archive.Files[i].Data = []byte(actual)
			if err := os.WriteFile(path, txtar.Format(archive), 0o600); err != nil {
				t.Fatal(err)
			}
			continue
		}
		if actual != string(file.Data) {
			t.Errorf("%s: effects differ, got:\n%s", path, actual)
		}
	}
}

func splitLines(data []byte) []string {
	return strings.Split(strings.TrimRight(string(data), "\n"), "\n")
}

// runEvents runs the events in lines and returns the events, each followed by its actual effects.
func runEvents(t *testing.T, lines []string, handle Handler) string {
	t.Helper()
	var transcript strings.Builder
	for _, line := range lines {
		if strings.HasPrefix(line, effectPrefix) {
			continue
		}
		transcript.WriteString(line + "\n")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		seconds, err := strconv.ParseFloat(words[0], 64)
		if err != nil {
			t.Fatalf("%q does not begin with a time in seconds", line)
		}
		for _, effect := range handle(Epoch.Add(time.Duration(seconds*float64(time.Second))), words[1:]) {
			transcript.WriteString(effectPrefix + effect + "\n")
		}
	}
	return transcript.String()
}
