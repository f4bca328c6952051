package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestSlowReplica(t *testing.T) {
	// onTimeShare simulates calls at 0.6 of the capacity of eight replicas, two of which become four times as slow. It
	// returns the fraction of the calls that meet their goal.
	onTimeShare := func(withoutSlots bool) float64 {
		cl := newCluster(16, 8, withoutSlots)
		cl.arrivals(2*capacity*0.6, 15*time.Second, 1)
		cl.after(3*time.Second, func() { cl.slowdown = map[string]int{"h0": 4, "h5": 4} })
		cl.run(20 * time.Second)
		good, _ := cl.onTime()
		return good
	}
	Convey("Slots of slow replicas are granted last", t, func() {
		baseline, withSlots := onTimeShare(true), onTimeShare(false)
		Printf("\non time: %.3f without slot requests, %.3f with\n", baseline, withSlots)
		So(1-withSlots, ShouldBeLessThan, 0.5*(1-baseline))
	})
}
