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
	// section is the name of the part that holds the events and effects; a part called settings goes before it.
	section = "session"
	// mark begins the line of an effect.
	mark = "> "
	// update is the environment variable that makes Run write what it saw instead of comparing.
	update = "GOLDEN_UPDATE"
)

// Epoch is the time that the times of a session, in seconds, are added to.
var Epoch = time.Unix(1_700_000_000, 0).UTC()

// Handler feeds one event of a session, as words, to the decisions and returns the effects, one line for each. The
// lines of the settings part come first, each as an event at Epoch.
type Handler func(now time.Time, words []string) []string

// Run plays every session below testdata with a player of its own and compares the effects.
func Run(t *testing.T, start func(t *testing.T) Handler) {
	t.Helper()
	paths, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no sessions: %v", err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			runFile(t, path, start(t))
		})
	}
}

func runFile(t *testing.T, path string, play Handler) {
	t.Helper()
	archive, err := txtar.ParseFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for i, file := range archive.Files {
		if file.Name != section {
			for _, line := range lines(file.Data) {
				play(Epoch, strings.Fields(line))
			}
			continue
		}
		seen := playAll(t, lines(file.Data), play)
		if os.Getenv(update) != "" {
			archive.Files[i].Data = []byte(seen)
			if err := os.WriteFile(path, txtar.Format(archive), 0o600); err != nil {
				t.Fatal(err)
			}
			continue
		}
		if seen != string(file.Data) {
			t.Errorf("%s differs; seen:\n%s", path, seen)
		}
	}
}

func lines(data []byte) []string { return strings.Split(strings.TrimRight(string(data), "\n"), "\n") }

// playAll plays the events among lines and returns them with the effects that they caused.
func playAll(t *testing.T, lines []string, play Handler) string {
	t.Helper()
	var seen strings.Builder
	for _, line := range lines {
		if strings.HasPrefix(line, mark) {
			continue
		}
		seen.WriteString(line + "\n")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		seconds, err := strconv.ParseFloat(words[0], 64)
		if err != nil {
			t.Fatalf("%q doesn't begin with its time in seconds", line)
		}
		for _, effect := range play(Epoch.Add(time.Duration(seconds*float64(time.Second))), words[1:]) {
			seen.WriteString(mark + effect + "\n")
		}
	}
	return seen.String()
}
