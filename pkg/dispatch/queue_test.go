package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// capacity is what four replicas bear: 32 slots, 0.8 s a call.
const capacity = 4 * replicaSlotCount / 0.8

// burst replays a burst of twice the capacity for three seconds between calm ones.
func burst(fifo bool) *simulation {
	sim := newSimulation(4, 1)
	sim.state.fifo, sim.state.withoutSlots = fifo, fifo
	sim.arrivals(1, "large", capacity*0.6, 4*time.Second, 1)
	sim.after(4*time.Second, func() { sim.arrivals(10_000, "large", capacity*2, 3*time.Second, 2) })
	sim.after(7*time.Second, func() { sim.arrivals(20_000, "large", capacity*0.6, 6*time.Second, 3) })
	sim.run(20 * time.Second)
	return sim
}

func TestBurst(t *testing.T) {
	Convey("In a burst, requests that can be on time go before those that can't", t, func() {
		before, after := burst(true), burst(false)
		Printf("\non time: %.3f in the order of arrival, %.3f now\n", before.onTime(""), after.onTime(""))
		So(after.onTime(""), ShouldBeGreaterThan, before.onTime("")+0.05)
		So(after.state.Active(), ShouldEqual, 0)
		So(after.state.Queued(), ShouldEqual, 0)
	})

	Convey("A refused request has never been sent, and is told when to come back within its time", t, func() {
		sim := burst(false)
		So(len(sim.refused), ShouldBeGreaterThan, 0)
		for id := range sim.refused {
			So(sim.sends[id], ShouldEqual, 0)
		}
	})
}

func TestQueueAfterIdle(t *testing.T) {
	Convey("When little came before, a few requests more than there are slots wait instead of being refused", t, func() {
		sim := newSimulation(1, 1)
		for id := range ID(replicaSlotCount + 2) {
			sim.arrive(id+1, "large", "/draft/x")
		}
		sim.run(5 * time.Second)
		So(sim.refused, ShouldBeEmpty)
		So(len(sim.firstEvent), ShouldEqual, replicaSlotCount+2)
	})
}

func TestFloodingOrganisation(t *testing.T) {
	flood := func(fifo bool) *simulation {
		sim := newSimulation(4, 1)
		sim.state.fifo, sim.state.withoutSlots = fifo, fifo
		sim.arrivals(1, "large", capacity*2, 8*time.Second, 1)
		sim.arrivals(50_000, "small", capacity*0.1, 8*time.Second, 2)
		sim.run(20 * time.Second)
		return sim
	}
	Convey("An organisation that floods does not push out a small one", t, func() {
		before, after := flood(true), flood(false)
		Printf("\non time of the small organisation: %.3f in the order of arrival, %.3f now\n", before.onTime("small"), after.onTime("small"))
		So(after.onTime("small"), ShouldBeGreaterThan, before.onTime("small")+0.4)
		for id, organisation := range after.organisation {
			So(organisation == "small" && after.refused[id], ShouldBeFalse)
		}
	})
}
