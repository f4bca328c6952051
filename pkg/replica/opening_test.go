package replica

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestNextOpeningOfJoiningMembers(t *testing.T) {
	Convey("Given a daemon that lists engines which load the small model from the weight store", t, func() {
		l := newLeader()
		joining := func(i int) Instance {
			return engineNumber(i).WithModels(small.Name(), large.Name()).
				WithMembership(NewMembership("r1", 1, i, PhaseJoining))
		}
		joined := l.now
		repaired := func() time.Time { return l.now.Add(small.WarmLoadTime() + simFormationTime) }
		l.feed(NewListChanges([]Instance{joining(0)}, nil))

		Convey("a replica of which a member is missing does not count", func() {
			l.now = joined.Add(small.LoadTime() - time.Second)
			So(l.NextOpening(l.now, small.Name()), ShouldEqual, repaired())
		})

		Convey("a replica opens once its last member has loaded, unless a repair could be faster", func() {
			l.feed(NewListChanges([]Instance{joining(1)}, nil))
			So(l.NextOpening(l.now, small.Name()), ShouldEqual, repaired())
			l.now = joined.Add(small.LoadTime() - time.Second)
			So(l.NextOpening(l.now, small.Name()), ShouldEqual, joined.Add(small.LoadTime()+simFormationTime))
			So(l.NextOpening(l.now, large.Name()), ShouldEqual, l.now.Add(large.WarmLoadTime()+simFormationTime))
		})
	})
}

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
