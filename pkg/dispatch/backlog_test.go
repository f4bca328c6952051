package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// backlog simulates a burst of 1.5 s at many daemons that share replicas, followed by calls at almost the capacity of
// the replicas.
func backlog(withoutSlots bool) *cluster {
	cl := newCluster(16, 8, withoutSlots)
	cl.arrivals(2*capacity*0.6, 3*time.Second, 1)
	cl.after(3*time.Second, func() { cl.arrivals(2*capacity*1.6, 1500*time.Millisecond, 2) })
	cl.after(4500*time.Millisecond, func() { cl.arrivals(2*capacity*0.97, 15*time.Second, 3) })
	cl.run(26 * time.Second)
	return cl
}

func TestBacklog(t *testing.T) {
	Convey("Calls meet their goal again after a burst left a backlog in the replicas", t, func() {
		baseline, withSlots := backlog(true), backlog(false)
		baselineOnTime, baselineServed := baseline.onTime()
		onTime, served := withSlots.onTime()
		Printf("\non time: %.3f without slot requests, %.3f with; served: %.3f, %.3f\n",
			baselineOnTime, onTime, baselineServed, served)
		So(onTime, ShouldBeGreaterThan, baselineOnTime+0.2)
		So(served, ShouldBeGreaterThan, 0.85)
	})
}
