package route

import (
	"math"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// This guards against requests that run at a service to which their route gives no share.
func TestServiceWithoutWeight(t *testing.T) {
	newRoute := func(weights ...float64) Route {
		r := NewRoute("desk", "pond", "/desk/", Idempotent)
		var split []WeightedService
		for i, weight := range weights {
			split = append(split, NewWeightedService(string(rune('a'+i)), weight))
		}
		return r.WithSplit(split...)
	}
	largest := math.Nextafter(1, 0)

	Convey("A service without a weight gets no request", t, func() {
		for _, random := range []float64{0, 0.5, largest} {
			So(newRoute(0, 0.1, 0).PickService(random), ShouldEqual, "b")
			So(newRoute(1, -1).PickService(random), ShouldEqual, "a")
			So(newRoute(0, 0).PickService(random), ShouldEqual, "")
			So(newRoute().PickService(random), ShouldEqual, "")
		}
	})

	Convey("The others share the requests by their weights", t, func() {
		So(newRoute(90, 10).PickService(0.89), ShouldEqual, "a")
		So(newRoute(90, 10).PickService(0.91), ShouldEqual, "b")
		So(newRoute(0.1, 0.2, 0.7).PickService(largest), ShouldEqual, "c")
	})
}
