package commands_test

import (
	"bytes"
	"flag"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/azurepond/azurepond/internal/admin"
	"github.com/azurepond/azurepond/internal/commands"
	"github.com/azurepond/azurepond/internal/settings"
	"github.com/azurepond/azurepond/pkg/operator"
	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/tools/txtar"
)

var update = flag.Bool("update", false, "write what the sessions print into their files")

// request is the form of the request IDs that the command line makes; a session has at most one in its output.
var request = regexp.MustCompile(`[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}`)

// TestSessions replays each session of testdata: a script of commands, the files that they read, and what they print.
func TestSessions(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(paths) == 0 {
		t.Fatal("no sessions", err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) { replay(t, path) })
	}
}

func replay(t *testing.T, path string) {
	archive, err := txtar.ParseFile(path)
	if err != nil {
		t.Fatal(err)
	}
	absolute, err := filepath.Abs(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Chdir(t.TempDir())
	files := map[string]string{}
	for _, file := range archive.Files {
		files[file.Name] = string(file.Data)
		if err := os.WriteFile(file.Name, file.Data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	got := play(t, files["script"])
	if *update {
		for i := range archive.Files {
			if archive.Files[i].Name == "output" {
				archive.Files[i].Data = []byte(got)
			}
		}
		if err := os.WriteFile(absolute, txtar.Format(archive), 0o600); err != nil {
			t.Fatal(err)
		}
		return
	}
	Convey("the session prints what it should", t, func() { So(got, ShouldEqual, files["output"]) })
}

// play runs a script line by line against a daemon of its own, and returns all that is printed.
func play(t *testing.T, script string) string {
	daemon := newFakeDaemon()
	tokens := []settings.Token{
		settings.NewToken("maria", "koinonia", operator.NewHash("maria-token")),
		settings.NewToken("luca", "bellandi", operator.NewHash("luca-token")),
		settings.NewToken("root", operator.FleetTeam, operator.NewHash("root-token")),
	}
	server := httptest.NewServer(admin.NewHandler(daemon, tokens, daemon.registry))
	defer server.Close()
	t.Setenv("AZUREPOND_ENTRY", strings.TrimPrefix(server.URL, "http://"))
	t.Setenv("AZUREPOND_TOKEN", "maria-token")
	var all bytes.Buffer
	for _, text := range strings.Split(strings.TrimSpace(script), "\n") {
		fmt.Fprintln(&all, "$", text)
		words := strings.Fields(strings.ReplaceAll(text, "REQUEST", request.FindString(all.String())))
		switch words[0] {
		case "azurepond":
			code := commands.Execute(words[1:], &all, &all)
			fmt.Fprintf(&all, "[%d]\n", code)
		case "token":
			t.Setenv("AZUREPOND_TOKEN", words[1])
		case "entry":
			t.Setenv("AZUREPOND_ENTRY", words[1])
		case "cat":
			data, err := os.ReadFile(words[1])
			fmt.Fprintf(&all, "%s", data)
			if err != nil {
				t.Fatal(err)
			}
		default:
			if err := daemon.order(words); err != nil {
				t.Fatal(err)
			}
		}
	}
	return request.ReplaceAllString(all.String(), "REQUEST")
}
