package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// capacity is the call rate of four replicas: 32 slots, 0.8 s per call.
const capacity = 4 * replicaSlotCount / 0.8

// burst simulates a burst of twice the capacity for three seconds, with calls at 0.6 of the capacity before and after.
func burst(p policy) *simulation {
	sim := newSimulation(4, 1)
	sim.state.policy = p
	sim.arrivals(1, "large", capacity*0.6, 4*time.Second, 1)
	sim.after(4*time.Second, func() { sim.arrivals(10_000, "large", capacity*2, 3*time.Second, 2) })
	sim.after(7*time.Second, func() { sim.arrivals(20_000, "large", capacity*0.6, 6*time.Second, 3) })
	sim.run(20 * time.Second)
	return sim
}

func TestBurst(t *testing.T) {
	Convey("In a burst, requests that can meet their goal go first", t, func() {
		byArrival, byUrgency := burst(arrivalOrder{}), burst(nil)
		Printf("\non time: %.3f in order of arrival, %.3f by urgency\n", byArrival.onTime(""), byUrgency.onTime(""))
		So(byUrgency.onTime(""), ShouldBeGreaterThan, byArrival.onTime("")+0.05)
		So(byUrgency.state.Active(), ShouldEqual, 0)
		So(byUrgency.state.Queued(), ShouldEqual, 0)
	})

	Convey("A refused request was never sent", t, func() {
		sim := burst(nil)
		So(len(sim.refused), ShouldBeGreaterThan, 0)
		for id := range sim.refused {
			So(sim.sends[id], ShouldEqual, 0)
		}
	})
}

func TestQueueAfterIdle(t *testing.T) {
	Convey("After an idle time, a few requests above the number of slots are queued, not refused", t, func() {
		sim := newSimulation(1, 1)
		for id := range ID(replicaSlotCount + 2) {
			sim.arrive(id+1, "large", "/draft/x")
		}
		sim.run(5 * time.Second)
		So(sim.refused, ShouldBeEmpty)
		So(len(sim.firstEvent), ShouldEqual, replicaSlotCount+2)
	})
}

func TestNoReplicaOpen(t *testing.T) {
	Convey("While no replica of a model is open", t, func() {
		sim := newSimulation(1, 1)
		targets := sim.targets
		sim.targets = nil

		Convey("calls are refused at once if none opens within the time that they may wait, and return when one is open", func() {
			sim.opensAt = sim.now.Add(1900 * time.Millisecond)
			returned, times := ID(0), map[time.Duration]bool{}
			for id := range ID(replicaSlotCount) {
				sim.arrive(id+1, "large", "/draft/x")
				So(sim.refused[id+1], ShouldBeTrue)
				So(sim.retryAfter[id+1], ShouldBeBetweenOrEqual, 1900*time.Millisecond, 1900*time.Millisecond+openingSpread)
				times[sim.retryAfter[id+1]] = true
				sim.after(sim.retryAfter[id+1], func() {
					returned++
					sim.arrive(100+returned, "large", "/draft/x")
				})
			}
			sim.after(1900*time.Millisecond, func() { sim.targets, sim.opensAt = targets, time.Time{} })
			sim.run(5 * time.Second)
			So(len(times), ShouldEqual, replicaSlotCount)
			So(len(sim.firstEvent), ShouldEqual, replicaSlotCount)
			So(len(sim.refused), ShouldEqual, replicaSlotCount) // none of those who returned
		})

		Convey("calls are told the time of the opening also if it is after their deadline", func() {
			sim.opensAt = sim.now.Add(20 * time.Second)
			sim.arrive(1, "large", "/draft/x")
			So(sim.refused[1], ShouldBeTrue)
			So(sim.retryAfter[1], ShouldBeBetweenOrEqual, 20*time.Second, 20*time.Second+openingSpread)
		})

		Convey("calls wait if one opens soon enough", func() {
			sim.opensAt = sim.now.Add(time.Second)
			sim.arrive(1, "large", "/draft/x")
			sim.after(time.Second, func() { sim.targets = targets })
			sim.run(3 * time.Second)
			So(sim.refused[1], ShouldBeFalse)
			So(sim.firstEvent, ShouldContainKey, ID(1))
		})
	})
}

func TestFloodingOrganisation(t *testing.T) {
	flood := func(p policy) *simulation {
		sim := newSimulation(4, 1)
		sim.state.policy = p
		sim.arrivals(1, "large", capacity*2, 8*time.Second, 1)
		sim.arrivals(50_000, "small", capacity*0.1, 8*time.Second, 2)
		sim.run(20 * time.Second)
		return sim
	}
	Convey("An organisation that floods does not starve a small one", t, func() {
		byArrival, byUrgency := flood(arrivalOrder{}), flood(nil)
		Printf("\non time of the small organisation: %.3f in order of arrival, %.3f by urgency\n", byArrival.onTime("small"), byUrgency.onTime("small"))
		So(byUrgency.onTime("small"), ShouldBeGreaterThan, byArrival.onTime("small")+0.4)
		for id, organisation := range byUrgency.organisation {
			So(organisation == "small" && byUrgency.refused[id], ShouldBeFalse)
		}
	})
}
