package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// This guards against a stream that leaves a silent upstream for one that refuses it, and then has no upstream left.
func TestStreamLeavesSilentUpstream(t *testing.T) {
	// begun begins a stream at one of two upstreams, whose events pause.
	begun := func() (*simulation, Send) {
		sim := newSimulation(2, 1)
		sim.silent["h0"], sim.silent["h1"] = true, true
		send := sim.begin(1, "/draft/x")
		sim.feed(NewStarted(send.Attempt(), Load{}))
		sim.feed(NewFirstEventReceived(send.Attempt()))
		sim.feed(NewPositionChanged(send.Attempt(), true))
		return sim, send
	}
	other := map[string]string{"h0": "h1", "h1": "h0"}

	Convey("It stays while the other one is known to be full, and leaves when that has room", t, func() {
		sim, send := begun()
		sim.state.upstream(other[send.Upstream()]).recordLoad(sim.now, NewLoad(replicaSlotCount, 0, replicaSlotCount))
		full := sim.state.upstream(other[send.Upstream()])
		full.running = replicaSlotCount
		cancels, _ := sim.stallFor(send, 2*maxStallTimeouts*send.StallTimeout())
		So(cancels, ShouldEqual, 0)
		full.running = 0
		full.recordLoad(sim.now, NewLoad(0, 0, replicaSlotCount))
		sim.now = sim.now.Add(time.Second)
		cancels, _ = sim.stallFor(send, (maxStallTimeouts+1)*send.StallTimeout())
		So(cancels, ShouldEqual, 1)
	})

	Convey("It returns to the silent one if the other one refuses it", t, func() {
		sim, send := begun()
		cancels, _ := sim.stallFor(send, (maxStallTimeouts+1)*send.StallTimeout())
		So(cancels, ShouldEqual, 1)
		sim.feed(NewFailed(send.Attempt(), Halted).WithProgress("7"))
		second := sim.state.calls[1].attempt
		So(second.target(), ShouldEqual, other[send.Upstream()])
		sim.feed(NewFailed(second.id, NotRun))
		third := sim.state.calls[1].attempt
		So(third, ShouldNotBeNil)
		So(third.target(), ShouldEqual, send.Upstream())
		So(sim.state.calls[1].lastEventID, ShouldEqual, "7")
	})
}
