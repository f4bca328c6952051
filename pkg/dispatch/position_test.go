package dispatch

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// stalledAt begins a stream, reports whether its position is known, and returns how many times a stall cancels it.
func (sim *simulation) stalledAt(id ID, isKnown bool) (send Send, cancels int) {
	send = sim.begin(id, "/draft/x")
	sim.feed(NewStarted(send.Attempt(), Load{}))
	sim.feed(NewFirstEventReceived(send.Attempt()))
	sim.feed(NewPositionChanged(send.Attempt(), isKnown))
	cancels, _ = sim.stallFor(send, (maxStallTimeouts+1)*send.StallTimeout())
	return send, cancels
}

func TestPositionOfStream(t *testing.T) {
	Convey("A stream whose position is unknown is neither cancelled to be continued elsewhere, nor sent again when it breaks off", t, func() {
		sim := newSimulation(2, 1)
		send, cancels := sim.stalledAt(1, false)
		So(cancels, ShouldEqual, 0)
		sim.feed(NewFailed(send.Attempt(), Interrupted).WithProgress("7"))
		So(sim.state.calls[1], ShouldBeNil)
		So(sim.failed[1], ShouldEqual, AttemptsExhausted)
		So(sim.sends[1], ShouldEqual, 1)
	})

	Convey("One whose position is known again is continued", t, func() {
		sim := newSimulation(2, 1)
		send := sim.begin(1, "/draft/x")
		sim.feed(NewPositionChanged(send.Attempt(), false))
		sim.feed(NewPositionChanged(send.Attempt(), true))
		sim.feed(NewFailed(send.Attempt(), Interrupted).WithProgress("7"))
		So(sim.sends[1], ShouldEqual, 2)
		So(sim.state.calls[1].lastEventID, ShouldEqual, "7")

		_, cancels := newSimulation(2, 1).stalledAt(1, true)
		So(cancels, ShouldEqual, 1)
	})
}
