package metrics_test

import (
	"fmt"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/internal/metrics"
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
				r.SetRoutes(names)
				for _, name := range names {
					use(name)
				}
				now = now.Add(time.Second)
				r.UnregisterGoneRoutes(now)
				most = max(most, countMetrics(registry))
			}
			So(most, ShouldBeLessThanOrEqualTo, (21+64)*metricsPerRoute)
		})
		Convey("those of a removed route can be scraped for a minute, and a request that ends later adds none for good", func() {
			r.SetRoutes([]string{"first", "second"})
			use("first")
			use("second")
			r.RequestDecided("", "refused", "no route")
			r.SetRoutes([]string{"first"})
			r.UnregisterGoneRoutes(now)
			So(countMetrics(registry), ShouldEqual, 2*metricsPerRoute+1)
			r.UnregisterGoneRoutes(now.Add(59 * time.Second))
			So(countMetrics(registry), ShouldEqual, 2*metricsPerRoute+1)
			r.UnregisterGoneRoutes(now.Add(time.Minute))
			So(countMetrics(registry), ShouldEqual, metricsPerRoute+1)
			use("second")
			r.UnregisterGoneRoutes(now.Add(2 * time.Minute))
			r.UnregisterGoneRoutes(now.Add(3 * time.Minute))
			So(countMetrics(registry), ShouldEqual, metricsPerRoute+1)
		})
		Convey("those of a route that comes back are kept", func() {
			r.SetRoutes([]string{"first"})
			use("first")
			r.SetRoutes(nil)
			r.UnregisterGoneRoutes(now)
			r.SetRoutes([]string{"first"})
			r.UnregisterGoneRoutes(now.Add(50 * time.Second))
			r.SetRoutes(nil)
			r.UnregisterGoneRoutes(now.Add(70 * time.Second))
			r.UnregisterGoneRoutes(now.Add(80 * time.Second))
			So(countMetrics(registry), ShouldEqual, metricsPerRoute)
		})
		Convey("nothing is unregistered before the first configuration", func() {
			use("first")
			r.UnregisterGoneRoutes(now.Add(time.Hour))
			So(countMetrics(registry), ShouldEqual, metricsPerRoute)
		})
	})
}
