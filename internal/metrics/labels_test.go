package metrics_test

import (
	"fmt"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/internal/metrics"
	"github.com/azurepond/azurepond/pkg/caller"
)

// countMetrics returns the number of registered metrics.
func countMetrics(r gometrics.Registry) int {
	count := 0
	r.Each(func(string, any) { count++ })
	return count
}

// This guards against memory that grows with each route that was ever used.
func TestMetricsOfRemovedRoutes(t *testing.T) {
	Convey("Given requests on the routes of one configuration after the other", t, func() {
		registry := gometrics.NewRegistry()
		r := metrics.NewRecorder(registry)
		now := time.Unix(1_700_000_000, 0)
		use := func(route string) {
			r.RequestDecided(route, "answered", "")
			r.RequestSent(route, time.Millisecond)
			r.RequestAnswered(route, time.Second)
			r.StreamAttemptEnded(route, time.Millisecond, time.Millisecond)
		}
		const metricsPerRoute = 5
		Convey("the metrics of a bounded number of removed routes are kept", func() {
			most := 0
			for version := range 1000 {
				names := []string{"first"}
				for i := range 20 {
					names = append(names, fmt.Sprintf("r-%d-%d", version, i))
				}
				r.SetConfigured("route", names)
				for _, name := range names {
					use(name)
				}
				now = now.Add(time.Second)
				r.UnregisterGone(now)
				most = max(most, countMetrics(registry))
			}
			So(most, ShouldBeLessThanOrEqualTo, (21+64)*metricsPerRoute)
		})
		Convey("those of a removed route can be scraped for a minute, and a request that ends later adds none for good", func() {
			r.SetConfigured("route", []string{"first", "second"})
			use("first")
			use("second")
			r.RequestDecided("", "refused", "no route")
			r.SetConfigured("route", []string{"first"})
			r.UnregisterGone(now)
			So(countMetrics(registry), ShouldEqual, 2*metricsPerRoute+1)
			r.UnregisterGone(now.Add(59 * time.Second))
			So(countMetrics(registry), ShouldEqual, 2*metricsPerRoute+1)
			r.UnregisterGone(now.Add(time.Minute))
			So(countMetrics(registry), ShouldEqual, metricsPerRoute+1)
			use("second")
			r.UnregisterGone(now.Add(2 * time.Minute))
			r.UnregisterGone(now.Add(3 * time.Minute))
			So(countMetrics(registry), ShouldEqual, metricsPerRoute+1)
		})
		Convey("those of a route that comes back are kept", func() {
			r.SetConfigured("route", []string{"first"})
			use("first")
			r.SetConfigured("route", nil)
			r.UnregisterGone(now)
			r.SetConfigured("route", []string{"first"})
			r.UnregisterGone(now.Add(50 * time.Second))
			r.SetConfigured("route", nil)
			r.UnregisterGone(now.Add(70 * time.Second))
			r.UnregisterGone(now.Add(80 * time.Second))
			So(countMetrics(registry), ShouldEqual, metricsPerRoute)
		})
		Convey("nothing is unregistered before the first configuration", func() {
			use("first")
			r.UnregisterGone(now.Add(time.Hour))
			So(countMetrics(registry), ShouldEqual, metricsPerRoute)
		})
	})
}

func call(organisation, target string) caller.Call {
	return caller.NewCall(1, caller.Model, target, organisation, time.Time{})
}

// This guards against memory that grows with each name of a caller, a service, a data centre, an organisation or a model.
func TestMetricsOfRemovedLabels(t *testing.T) {
	Convey("Given a recorder", t, func() {
		registry := gometrics.NewRegistry()
		r := metrics.NewRecorder(registry)
		now := time.Unix(1_700_000_000, 0)
		const lives = 1000
		Convey("metrics of services and data centres that are gone end", func() {
			for life := range lives {
				name := fmt.Sprint("name-", life)
				r.SetConfigured("service", []string{name})
				r.SetGauge(metrics.RetriesLeft, 1, name)
				r.CentreEvacuated(name, 1)
				r.CentreEvacuated(name, 2)
				r.CentreEvacuated(name, 0)
				r.UnregisterGone(now)
			}
			So(countMetrics(registry), ShouldBeLessThanOrEqualTo, 2*65)
			r.UnregisterGone(now.Add(2 * time.Minute))
			So(countMetrics(registry), ShouldEqual, 1)
		})
		Convey("metrics of an organisation, a target and a model that are gone end, also those with another label that stays", func() {
			for life := range lives {
				name := fmt.Sprint("name-", life)
				r.SetConfigured("organisation", []string{"one", name})
				r.SetConfigured("target", []string{"m", name})
				r.SetConfigured("model", []string{"m", name})
				for _, c := range []caller.Call{call("one", name), call(name, "m"), call("one", "m")} {
					r.CallEnded(c, caller.Answered{}, time.Millisecond, time.Second)
				}
				r.SetModelCosts(name, time.Second, time.Second)
				r.UnregisterGone(now)
			}
			r.SetConfigured("organisation", []string{"one"})
			r.SetConfigured("target", []string{"m"})
			r.SetConfigured("model", []string{"m"})
			r.UnregisterGone(now)
			r.UnregisterGone(now.Add(2 * time.Minute))
			So(countMetrics(registry), ShouldEqual, 3) // of calls of one to m, and of answers of m
		})
		Convey("demand is counted by organisation and model, and ends with either", func() {
			r.DemandArrived("one", "m", 20*time.Millisecond)
			r.DemandArrived("one", "m", 30*time.Millisecond)
			name := metrics.DemandTime.RegistryName("one", "m")
			So(registry.Get(name).(gometrics.Counter).Count(), ShouldEqual, 50)
			r.SetConfigured("organisation", nil)
			r.UnregisterGone(now)
			r.UnregisterGone(now.Add(time.Minute))
			So(registry.Get(name), ShouldBeNil)
		})
		Convey("targets that callers make up have no metrics of their own", func() {
			r.SetConfigured("target", []string{"m"})
			for life := range lives {
				c := call("one", fmt.Sprint("name-", life))
				r.CallEnded(c, caller.Answered{}, time.Millisecond, time.Second)
				r.CallRetried(c.Target())
			}
			So(countMetrics(registry), ShouldEqual, 4)
		})
	})
}
