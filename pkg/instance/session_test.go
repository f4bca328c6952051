package instance

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/tools/txtar"
)

var updateGolden = flag.Bool("update", false, "write the golden sessions anew")

// TestSessions runs the scripts under testdata. "fleet" holds the sizes, "script" one command per line with its time,
// "effects" the expected trace of commands and effects.
func TestSessions(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatal("no sessions", err)
	}
	for _, file := range files {
		Convey(file, t, func() {
			archive, err := txtar.ParseFile(file)
			So(err, ShouldBeNil)
			h := playSession(string(archive.Files[0].Data), string(archive.Files[1].Data))
			So(h.violations, ShouldBeEmpty)
			got := strings.Join(h.trace, "\n") + "\n"
			if *updateGolden {
				archive.Files[2].Data = []byte(got)
				So(os.WriteFile(file, txtar.Format(archive), 0o644), ShouldBeNil)
			}
			So(got, ShouldEqual, string(archive.Files[2].Data))
		})
	}
}

func playSession(fleet, script string) *harness {
	var perDomain, replicas, surplus, load, maxLoads int
	var checksFencing bool
	_, err := fmt.Sscanf(fleet, "instances %d replicas %d surplus %d load %d max-loads %d fencing %t",
		&perDomain, &replicas, &surplus, &load, &maxLoads, &checksFencing)
	if err != nil {
		panic(err)
	}
	models := []Model{
		NewModel("m", "p", 2, replicas).WithBytes(int64(load)),
		NewModel("s", "p", 1, 0).WithSurplus(surplus).WithBytes(int64(load)).WithCostWeights(1, 1),
	}
	s := NewSettings("", 1, models).WithWeightStore(int64(maxLoads), 1)
	h := newHarness(s, 2, smallFleet(perDomain)[:perDomain], checksFencing, time.Duration(load)*time.Second)
	h.requestTime, h.tracing = 4*time.Second, true
	for _, line := range strings.Split(strings.TrimSpace(script), "\n") {
		at, command, _ := strings.Cut(line, " ")
		due, err := time.ParseDuration(at)
		if err != nil {
			panic(err)
		}
		h.run(due-h.now.Sub(harnessStart), nil)
		h.play(command)
	}
	return h
}

// summary returns a record as one line: its revision, each replica with fencing token, state and members, and the load
// permits.
func summary(r *record) string {
	line := fmt.Sprintf("%d", r.revision)
	for _, e := range r.entries {
		line += fmt.Sprintf(" %s@%d", e.replica, e.fencingToken)
		if e.draining {
			line += " draining"
		}
		if e.retiring {
			line += " retiring"
		}
		var members []string
		for _, s := range e.slots {
			member := string(s.boot)
			if s.substitute.id != "" {
				member += ">" + string(s.substitute.boot)
			}
			members = append(members, member)
		}
		line += " [" + strings.Join(members, " ") + "]"
	}
	for _, l := range r.loadPermits {
		line += " load " + string(l.boot)
	}
	return line
}
