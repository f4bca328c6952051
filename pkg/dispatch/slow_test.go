package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestSlowReplica(t *testing.T) {
	// slow replays calls at six tenths of what eight replicas bear, of which two become four times as slow.
	slow := func(isOpen bool) float64 {
		w := newCrowd(16, 8, isOpen)
		w.arrivals(2*capacity*0.6, 15*time.Second, 1)
		w.after(3*time.Second, func() { w.slow = map[string]int{"h0": 4, "h5": 4} })
		w.run(20 * time.Second)
		good, _ := w.onTime()
		return good
	}
	Convey("Calls go to slow replicas last", t, func() {
		before, after := slow(true), slow(false)
		Printf("\non time: %.3f with each daemon's own view, %.3f now\n", before, after)
		So(1-after, ShouldBeLessThan, 0.5*(1-before))
	})
}
