package replica

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// loseMembers kills one member of a large replica every three seconds for good. It returns how many replica-seconds of the
// large model were served. With noTransfers, replicas give no members to others.
func loseMembers(noTransfers bool) (served float64, sim *simulation) {
	sim = newSimulation(6, 8, 1)
	sim.daemons[0].state.noTransfers = noTransfers
	sim.run(60 * time.Second)
	for range 9 {
		for range 3 {
			sim.feed(sim.daemons[0], NewDemandReported(map[string]float64{"large": 5, "small": 3}))
		}
		if sim.open(0, large) > 0 { // all may be lost without transfers
			sim.kill(memberOf(sim, large, 1))
		}
		for range 30 {
			sim.run(100 * time.Millisecond)
			served += 0.1 * float64(sim.open(0, large))
		}
	}
	return served, sim
}

func TestPermanentLoss(t *testing.T) {
	Convey("While instances are lost for good, large replicas under higher pressure get members of small ones", t, func() {
		without, _ := loseMembers(true)
		with, sim := loseMembers(false)
		Printf("\nreplica-seconds of the large model in 27 s: %.0f without transfers, %.0f with\n", without, with)
		So(with, ShouldBeGreaterThan, 1.25*without)
		So(sim.violations, ShouldBeEmpty)
	})
}

func TestEqualDemand(t *testing.T) {
	Convey("Replicas keep their members while both models have the same demand", t, func() {
		sim := newSimulation(6, 8, 1)
		sim.run(60 * time.Second)
		orders := sim.orders
		for range 20 {
			sim.feed(sim.daemons[0], NewDemandReported(map[string]float64{"large": 5, "small": 5}))
			sim.run(time.Second)
		}
		So(sim.orders, ShouldEqual, orders)
	})
}
