package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// backlog replays a burst of a second and a half, after which calls come almost as fast as the replicas can end them, at
// many daemons that share these.
func backlog(withoutSlots bool) *cluster {
	cl := newCluster(16, 8, withoutSlots)
	cl.arrivals(2*capacity*0.6, 3*time.Second, 1)
	cl.after(3*time.Second, func() { cl.arrivals(2*capacity*1.6, 1500*time.Millisecond, 2) })
	cl.after(4500*time.Millisecond, func() { cl.arrivals(2*capacity*0.97, 15*time.Second, 3) })
	cl.run(26 * time.Second)
	return cl
}

func TestBacklog(t *testing.T) {
	Convey("A backlog that a burst left behind in the replicas is worked off, so that calls are on time again", t, func() {
		before, after := backlog(true), backlog(false)
		goodBefore, servedBefore := before.onTime()
		good, served := after.onTime()
		Printf("\non time: %.3f without a bound, %.3f now; served: %.3f, %.3f\n", goodBefore, good, servedBefore, served)
		So(good, ShouldBeGreaterThan, goodBefore+0.2)
		So(served, ShouldBeGreaterThan, 0.85)
	})
}
