package metrics_test

import (
	"bytes"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/azurepond/azurepond/internal/metrics"
	gometrics "github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"
)

const wantText = `# TYPE azurepond_answer_seconds summary
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
		r := gometrics.NewRegistry()
		gometrics.GetOrRegisterCounter(metrics.Calls.RegistryName("odeon", "notices", "answered"), r).Inc(3)
		gometrics.GetOrRegisterCounter(metrics.Calls.RegistryName(`a"b\c`, "notices", "answered"), r).Inc(2)
		gometrics.GetOrRegisterGauge(metrics.ConfigRevision.RegistryName(), r).Update(7)
		gometrics.GetOrRegisterCounter("link.bytes.sent", r).Inc(9)
		timer := gometrics.NewCustomTimer(gometrics.NewHistogram(gometrics.NewUniformSample(8)), gometrics.NilMeter{})
		timer.Update(250 * time.Millisecond)
		So(r.Register(metrics.AnswerTime.RegistryName("notices"), timer), ShouldBeNil)

		Convey("WriteText writes all metrics in order", func() {
			var out bytes.Buffer
			So(metrics.WriteText(&out, r, nil), ShouldBeNil)
			So(out.String(), ShouldEqual, wantText)
		})
		Convey("WriteJSON writes the same numbers", func() {
			var out bytes.Buffer
			So(metrics.WriteJSON(&out, r, nil), ShouldBeNil)
			So(out.String(), ShouldContainSubstring, `"azurepond_revision": 7`)
			So(strings.Count(out.String(), "azurepond"), ShouldEqual,
				strings.Count(wantText, "azurepond")-strings.Count(wantText, "#"))
		})
		Convey("metrics that the filter rejects are omitted", func() {
			var out bytes.Buffer
			include := func(name string) bool { return name == metrics.ConfigRevision.RegistryName() }
			So(metrics.WriteText(&out, r, include), ShouldBeNil)
			So(out.String(), ShouldEqual, "# TYPE azurepond_revision gauge\nazurepond_revision 7\n")
		})
		Convey("ParseLabels returns the labels of a registry name", func() {
			labels := metrics.ParseLabels(metrics.Calls.RegistryName(`a"b\c`, "x,y", "}"))
			So(labels, ShouldResemble, []metrics.Label{
				metrics.NewLabel("organisation", `a"b\c`), metrics.NewLabel("outcome", "}"), metrics.NewLabel("target", "x,y"),
			})
		})
	})
}

// declaredMetrics returns the names of the variables that hold a Metric.
func declaredMetrics(t *testing.T, files ...string) []string {
	var names []string
	for _, file := range files {
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		for name, object := range parsed.Scope.Objects {
			spec, isValue := object.Decl.(*ast.ValueSpec)
			if !isValue || len(spec.Values) != 1 {
				continue
			}
			literal, isLiteral := spec.Values[0].(*ast.CompositeLit)
			if !isLiteral {
				continue
			}
			if kind, isName := literal.Type.(*ast.Ident); isName && kind.Name == "Metric" {
				names = append(names, name)
			}
		}
	}
	return names
}

func TestCatalog(t *testing.T) {
	Convey("The catalog contains every metric that is declared", t, func() {
		linkMetrics := 0
		for _, m := range metrics.Catalog() {
			if strings.HasPrefix(m.Name(), "azurepond_link_") {
				linkMetrics++
			}
		}
		declared := declaredMetrics(t, "catalog.go", "gateway.go")
		So(len(declared), ShouldBeGreaterThan, 0)
		So(len(metrics.Catalog())-linkMetrics, ShouldEqual, len(declared))
	})

	Convey("The operators' documentation lists every metric of the catalog with its labels, unit and help text", t, func() {
		page, err := os.ReadFile("../../docs/operators/metrics.md")
		So(err, ShouldBeNil)
		for _, m := range metrics.Catalog() {
			row := "| `" + m.Name() + "` | " + strings.Join(m.Labels(), ", ") + " | " + m.Unit() + " | " + m.Help() + " |"
			So(string(page), ShouldContainSubstring, row)
		}
	})
}
