package replica

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestNextOpening(t *testing.T) {
	Convey("Given daemons whose replicas were all lost", t, func() {
		sim := newSimulation(1, 8, 2)
		sim.run(50 * time.Second)
		sim.feed(sim.daemons[0], NewCallsArrived())
		for _, e := range sim.engines {
			sim.kill(e.id)
		}
		sim.run(5 * time.Second)
		follower := &sim.daemons[1].state
		So(len(follower.Heads(small.Name())), ShouldEqual, 0)

		Convey("none opens before the shortest repair", func() {
			opening := small.WarmLoadTime() + simFormationTime
			So(follower.NextOpening(sim.now, small.Name()), ShouldEqual, sim.now.Add(opening))
		})

		Convey("every daemon knows when one opens while its members join", func() {
			for _, e := range sim.engines {
				sim.start(e.id)
			}
			var known time.Time
			for sim.open(1, small) == 0 {
				sim.run(simStep)
				if next := follower.NextOpening(sim.now, small.Name()); len(follower.formingReplicas(sim.now, small)) > 0 {
					known = next
				}
			}
			So(sim.now.Sub(known), ShouldBeBetween, -time.Second, time.Second)
		})
	})
}
