package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// freezes are for how long upstreams with running work are silent.
var freezes = []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second}

// freeze makes the only attempt silent for d, which the driver and the checks of the path and of the replica report as they do. It returns
// how often it was cancelled.
func (sim *simulation) freeze(send Send, d time.Duration) (cancels int) {
	reduce := func(e Event) { cancels += countCancels(sim.state.Reduce(sim.now, sim, e)) }
	end := sim.now.Add(d)
	for timeouts := 1; !sim.now.Add(send.StallTimeout()).After(end); timeouts++ {
		sim.now = sim.now.Add(send.StallTimeout())
		reduce(NewStreamStalled(send.Attempt(), timeouts))
		reduce(NewReplicaSilent(send.Upstream()))
		reduce(NewPathLost(send.Upstream()))
		reduce(NewTicked())
	}
	sim.now = end
	return cancels
}

func TestFrozenUpstream(t *testing.T) {
	for _, d := range freezes {
		Convey(fmt.Sprintf("A stream at the only upstream, which freezes for %v, is not abandoned", d), t, func() {
			sim := newSimulation(1, 1)
			sim.arrive(1, "large", "/draft/x")
			sim.run(200 * time.Millisecond)
			first := sim.onlyAttempt()
			So(sim.freeze(first, d), ShouldEqual, 0)
			sim.run(callTime)
			So(sim.sends[1], ShouldEqual, 1)
			So(sim.failed, ShouldBeEmpty)
			So(sim.refused, ShouldBeEmpty)
			So(sim.state.Active(), ShouldEqual, 0)
		})

		Convey(fmt.Sprintf("A call that must not be repeated is not sent again while its upstream freezes for %v", d), t, func() {
			sim := newSimulation(3, 1)
			sim.arrive(1, "large", "/issue/x")
			first := sim.onlyAttempt()
			So(sim.freeze(first, min(d, 900*time.Millisecond)), ShouldEqual, 0) // its timeout is a second
			So(sim.sends[1], ShouldEqual, 1)
		})

		Convey(fmt.Sprintf("A call without an answer at the only process of a plain service, which freezes for %v, is not abandoned", d), t, func() {
			sim := newSimulation(1, 1)
			first := sim.begin(1, "/read/x")
			d := min(d, 900*time.Millisecond)
			So(sim.freeze(first, d), ShouldEqual, 0)
			So(sim.failed, ShouldBeEmpty)
			sim.feed(NewCompleted(first.Attempt()))
			So(sim.state.Active(), ShouldEqual, 0)
		})
	}

	Convey("A stream continues at another replica after the last event that its caller received, and uses one retry", t, func() {
		sim := newSimulation(2, 1)
		sim.arrive(1, "large", "/draft/x")
		sim.run(200 * time.Millisecond)
		first := sim.onlyAttempt()
		left := sim.state.RetriesLeft(sim.now, "engines")
		So(sim.freeze(first, 4*time.Second), ShouldEqual, 1)
		So(sim.state.RetriesLeft(sim.now, "engines"), ShouldEqual, left-1)
		sim.feed(NewFailed(first.Attempt(), Halted).WithProgress("7"))
		for _, send := range sim.running {
			if send.Attempt() != first.Attempt() {
				So(send.LastEventID(), ShouldEqual, "7")
			}
		}
		So(sim.sends[1], ShouldEqual, 2)
	})

	Convey("Work goes on at an upstream that disappears from the list, and is answered", t, func() {
		for _, path := range []string{"/draft/x", "/issue/x", "/read/x"} {
			sim := newSimulation(2, 1)
			sim.arrive(1, "large", path)
			sim.run(200 * time.Millisecond)
			sim.targets = nil
			sim.run(callTime)
			So(sim.sends[1], ShouldEqual, 1)
			So(sim.failed, ShouldBeEmpty)
			So(sim.refused, ShouldBeEmpty)
			So(sim.state.Active(), ShouldEqual, 0)
		}
	})

	Convey("A stream at the only upstream continues elsewhere when another one appears while it is stalled", t, func() {
		sim := newSimulation(1, 1)
		sim.arrive(1, "large", "/draft/x")
		sim.run(200 * time.Millisecond)
		first := sim.onlyAttempt()
		So(sim.freeze(first, 2*time.Second), ShouldEqual, 0)
		sim.targets = append(sim.targets, NewTarget("h1", "10.0.0.1:1", true, replicaSlotCount))
		So(countCancels(sim.state.Reduce(sim.now, sim, NewStreamStalled(first.Attempt(), 9))), ShouldEqual, 1)
	})
}
