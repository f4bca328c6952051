package metrics_test

import (
	"bytes"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/azurepond/azurepond/internal/metrics"
	registry "github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"
)

const text = `# TYPE azurepond_answer_seconds summary
azurepond_answer_seconds{target="notices",quantile="0.5"} 0.25
azurepond_answer_seconds{target="notices",quantile="0.95"} 0.25
azurepond_answer_seconds{target="notices",quantile="0.99"} 0.25
azurepond_answer_seconds_sum{target="notices"} 0.25
azurepond_answer_seconds_count{target="notices"} 1
# TYPE azurepond_calls_total counter
azurepond_calls_total{organisation="a\"b\\c",outcome="answered",target="notices"} 2
azurepond_calls_total{organisation="odeon",outcome="answered",target="notices"} 3
# TYPE azurepond_link_bytes_sent counter
azurepond_link_bytes_sent 9
# TYPE azurepond_revision gauge
azurepond_revision 7
`

func TestWrite(t *testing.T) {
	Convey("Given a registry", t, func() {
		r := registry.NewRegistry()
		registry.GetOrRegisterCounter(metrics.Calls.Key("odeon", "notices", "answered"), r).Inc(3)
		registry.GetOrRegisterCounter(metrics.Calls.Key(`a"b\c`, "notices", "answered"), r).Inc(2)
		registry.GetOrRegisterGauge(metrics.ConfigRevision.Key(), r).Update(7)
		registry.GetOrRegisterCounter("link.bytes.sent", r).Inc(9)
		timer := registry.NewCustomTimer(registry.NewHistogram(registry.NewUniformSample(8)), registry.NilMeter{})
		timer.Update(250 * time.Millisecond)
		So(r.Register(metrics.AnswerTime.Key("notices"), timer), ShouldBeNil)

		Convey("it is written in the text form, in order", func() {
			var out bytes.Buffer
			So(metrics.WriteText(&out, r, nil), ShouldBeNil)
			So(out.String(), ShouldEqual, text)
		})
		Convey("it is written as JSON with the same numbers", func() {
			var out bytes.Buffer
			So(metrics.WriteJSON(&out, r, nil), ShouldBeNil)
			So(out.String(), ShouldContainSubstring, `"azurepond_revision": 7`)
			So(strings.Count(out.String(), "azurepond"), ShouldEqual, strings.Count(text, "azurepond")-strings.Count(text, "#"))
		})
		Convey("what is not admitted stays out", func() {
			var out bytes.Buffer
			keep := func(name string) bool { return name == metrics.ConfigRevision.Key() }
			So(metrics.WriteText(&out, r, keep), ShouldBeNil)
			So(out.String(), ShouldEqual, "# TYPE azurepond_revision gauge\nazurepond_revision 7\n")
		})
		Convey("labels are read back as they were given", func() {
			labels := metrics.ParseLabels(metrics.Calls.Key(`a"b\c`, "x,y", "}"))
			So(labels, ShouldResemble, []metrics.Label{
				metrics.NewLabel("organisation", `a"b\c`), metrics.NewLabel("outcome", "}"), metrics.NewLabel("target", "x,y"),
			})
		})
	})
}

func TestCatalog(t *testing.T) {
	Convey("The operators' page lists every metric with its labels, unit and meaning", t, func() {
		page, err := os.ReadFile("../../docs/operators/metrics.md")
		So(err, ShouldBeNil)
		for _, m := range metrics.Catalog() {
			row := "| `" + m.Name() + "` | " + strings.Join(m.Labels(), ", ") + " | " + m.Unit() + " | " + m.Help() + " |"
			So(string(page), ShouldContainSubstring, row)
		}
	})
}
