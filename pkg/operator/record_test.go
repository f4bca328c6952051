package operator

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// largeRecord returns a record with the given number of teams and a full history. Each team has 5 models and 20
// organisations.
func largeRecord(teams int) record {
	r := record{}
	for i := range max(teams, maxHistoryChanges) {
		team := fmt.Sprintf("team-%d", i%teams)
		r = r.withChange(Change{
			revision: Revision(i + 1), team: team, author: "maria", request: RequestID(fmt.Sprint(i)),
			acceptedAt: time.Date(2026, 12, 3, 9, 0, i, 0, time.UTC), config: largeConfig(team).WithRevision(Revision(i + 1)),
		})
	}
	return r
}

func largeConfig(team string) Config {
	c := Config{team: team, deadlines: Deadlines{time.Second, time.Minute}, costWeights: CostWeights{1, 1}}
	for i := range 5 {
		c.models = append(c.models, Model{fmt.Sprintf("%s-model-%d", team, i), "main", 32, 8, 40_000_000_000, 4, true})
	}
	for i := range 20 {
		c.organisations = append(c.organisations, Organisation{
			fmt.Sprintf("%s-organisation-%d", team, i), 10, []string{c.models[0].name, c.models[1].name}, NewHash(team), 3, 40,
		})
	}
	return c
}

func TestRecord(t *testing.T) {
	Convey("A record of maximum history fits into the object and keeps the newest changes", t, func() {
		r := largeRecord(40)
		So(len(r.json()), ShouldBeLessThan, maxRecordBytes)
		So(len(r.history), ShouldBeGreaterThan, 1)
		So(r.history[len(r.history)-1].revision, ShouldEqual, r.fleet.revision)
		parsed, err := parseRecord(r.json())
		So(err, ShouldBeNil)
		So(parsed, ShouldResemble, r)
	})
	Convey("A request whose change may have been trimmed from the history has an unknown outcome", t, func() {
		r := record{}
		for i := range maxHistoryChanges + 2 {
			r = r.withChange(Change{
				revision: Revision(i + 1), base: Revision(i), team: "koinonia", request: RequestID(fmt.Sprint(i)),
				config: largeConfig("koinonia").WithRevision(Revision(i + 1)),
			})
		}
		repeat := job{change: Change{team: "koinonia", request: "0", base: 0, config: largeConfig("koinonia")}}
		So(repeat.evaluate(r), ShouldHaveSameTypeAs, Unknown{})
		repeat.change.request, repeat.change.base = "65", 65
		So(repeat.evaluate(r), ShouldResemble, Accepted{66})
		repeat.change.request, repeat.change.base = "new", 60
		So(repeat.evaluate(r), ShouldHaveSameTypeAs, Conflict{})
	})
}

func BenchmarkRecord(b *testing.B) {
	for _, teams := range []int{1, 10, 40} {
		r := largeRecord(teams)
		data := r.json()
		b.Run(fmt.Sprintf("write/teams=%d", teams), func(b *testing.B) {
			for b.Loop() {
				data = r.json()
			}
			b.ReportMetric(float64(len(data)), "bytes")
			b.ReportMetric(float64(len(r.fleet.JSON())), "spread-bytes")
		})
		b.Run(fmt.Sprintf("read/teams=%d", teams), func(b *testing.B) {
			for b.Loop() {
				if _, err := parseRecord(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
