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

var update = flag.Bool("update", false, "write the output of the sessions to their files")

// requestID matches generated request IDs. The output of a session has at most one.
var requestID = regexp.MustCompile(`[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}`)

// TestSessions runs each session in testdata: a script, the files that it reads, and the expected output.
func TestSessions(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(paths) == 0 {
		t.Fatal("no sessions", err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) { runSession(t, path) })
	}
}

func runSession(t *testing.T, path string) {
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
	got := runScript(t, files["script"])
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
	Convey("the output of the session is as expected", t, func() { So(got, ShouldEqual, files["output"]) })
}

// runScript runs a script line by line against a new daemon and returns the output of all commands.
func runScript(t *testing.T, script string) string {
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
	var output bytes.Buffer
	for _, text := range strings.Split(strings.TrimSpace(script), "\n") {
		fmt.Fprintln(&output, "$", text)
		words := strings.Fields(strings.ReplaceAll(text, "REQUEST", requestID.FindString(output.String())))
		switch words[0] {
		case "azurepond":
			code := commands.Execute(words[1:], &output, &output)
			fmt.Fprintf(&output, "[%d]\n", code)
		case "token":
			t.Setenv("AZUREPOND_TOKEN", words[1])
		case "entry":
			t.Setenv("AZUREPOND_ENTRY", words[1])
		case "cat":
			data, err := os.ReadFile(words[1])
			fmt.Fprintf(&output, "%s", data)
			if err != nil {
				t.Fatal(err)
			}
		default:
			if err := daemon.runDirective(words); err != nil {
				t.Fatal(err)
			}
		}
	}
	return requestID.ReplaceAllString(output.String(), "REQUEST")
}
