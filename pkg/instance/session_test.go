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

// TestSessions plays the scripts under testdata: "fleet" holds the sizes, "script" one command a line after its time in
// seconds, "effects" what the daemons must do.
func TestSessions(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatal("no sessions", err)
	}
	for _, file := range files {
		Convey(file, t, func() {
			archive, err := txtar.ParseFile(file)
			So(err, ShouldBeNil)
			r := playSession(string(archive.Files[0].Data), string(archive.Files[1].Data))
			So(r.violations, ShouldBeEmpty)
			got := strings.Join(r.trace, "\n") + "\n"
			if *updateGolden {
				archive.Files[2].Data = []byte(got)
				So(os.WriteFile(file, txtar.Format(archive), 0o644), ShouldBeNil)
			}
			So(got, ShouldEqual, string(archive.Files[2].Data))
		})
	}
}

func playSession(fleet, script string) *harness {
	var perDomain, replicas, surplus, load, slots int
	var checks bool
	_, err := fmt.Sscanf(fleet, "instances %d replicas %d surplus %d load %d slots %d checks %t",
		&perDomain, &replicas, &surplus, &load, &slots, &checks)
	if err != nil {
		panic(err)
	}
	models := []Model{
		NewModel("m", "p", 2, replicas).WithBytes(int64(load)),
		NewModel("s", "p", 1, 0).WithSurplus(surplus).WithBytes(int64(load)).WithCostWeights(1, 1),
	}
	s := NewSettings("", 1, models).WithWeightStore(int64(slots), 1)
	r := newHarness(s, 2, smallFleet(perDomain)[:perDomain], checks, time.Duration(load)*time.Second)
	r.workTime, r.tracing = 4*time.Second, true
	for _, line := range strings.Split(strings.TrimSpace(script), "\n") {
		at, command, _ := strings.Cut(line, " ")
		due, err := time.ParseDuration(at)
		if err != nil {
			panic(err)
		}
		r.run(due-r.now.Sub(harnessStart), nil)
		r.play(command)
	}
	return r
}

// brief returns a record in one line: its number, each replica with fencing number, state and members, and the loads.
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
