package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestSlowReplica(t *testing.T) {
	// slow replays calls at six tenths of what eight replicas bear, of which two become four times as slow.
	slow := func(withoutSlots bool) float64 {
		cl := newCluster(16, 8, withoutSlots)
		cl.arrivals(2*capacity*0.6, 15*time.Second, 1)
		cl.after(3*time.Second, func() { cl.slowdown = map[string]int{"h0": 4, "h5": 4} })
		cl.run(20 * time.Second)
		good, _ := cl.onTime()
		return good
	}
	Convey("Calls go to slow replicas last", t, func() {
		before, after := slow(true), slow(false)
		Printf("\non time: %.3f with each daemon's own view, %.3f now\n", before, after)
		So(1-after, ShouldBeLessThan, 0.5*(1-before))
	})
}
