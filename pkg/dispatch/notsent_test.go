package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// begin sends a request whose connection is not established, and returns its attempt.
func (sim *simulation) begin(id ID, path string) Send {
	for _, t := range sim.targets {
		sim.silent[t.name] = true
	}
	sim.arrive(id, "large", path)
	a := sim.state.calls[id].attempt
	for _, effect := range sim.effects {
		if send, isSend := effect.(Send); isSend && send.Attempt() == a.id {
			return send
		}
	}
	panic("no attempt")
}

func TestCancelledBeforeItWasSent(t *testing.T) {
	for _, path := range []string{"/issue/x", "/read/x", "/draft/x"} {
		Convey("A call for "+path+" whose deadline passes while its connection is being established is refused as not run", t, func() {
			sim := newSimulation(1, 1)
			first := sim.begin(1, path)
			sim.now = sim.now.Add(callTimeout)
			So(countCancels(sim.state.Reduce(sim.now, sim, NewTicked())), ShouldEqual, 1)
			sim.feed(NewFailed(first.Attempt(), NotSent).AsCancelled())
			So(sim.refused[1], ShouldBeTrue)
			So(sim.failed, ShouldBeEmpty)
			So(sim.state.Active(), ShouldEqual, 0)
		})

		Convey("A call for "+path+" whose deadline passes after it was sent is not refused as not run", t, func() {
			sim := newSimulation(1, 1)
			first := sim.begin(1, path)
			sim.now = sim.now.Add(callTimeout)
			sim.state.Reduce(sim.now, sim, NewTicked())
			sim.feed(NewFailed(first.Attempt(), Interrupted).AsCancelled())
			So(sim.refused, ShouldBeEmpty)
			So(sim.failed[1], ShouldEqual, Timeout)
		})
	}

	Convey("A stream that is cancelled before it was sent, since its replica broke, is sent elsewhere, and does not count as run", t, func() {
		sim := newSimulation(3, 1)
		first := sim.begin(1, "/draft/x")
		blamed := sim.count(isBlame)
		So(countCancels(sim.state.Reduce(sim.now, sim, NewReplicaBroken(first.Upstream()))), ShouldEqual, 1)
		sim.feed(NewFailed(first.Attempt(), NotSent).AsCancelled())
		So(sim.count(isBlame), ShouldEqual, blamed)
		So(sim.sends[1], ShouldEqual, 2)
		So(sim.state.calls[1].runs, ShouldEqual, 0)

		second := sim.state.calls[1].attempt
		sim.silent = map[string]bool{}
		sim.feed(NewFailed(second.id, Interrupted))
		sim.run(time.Second)
		So(sim.sends[1], ShouldEqual, 3)
		So(sim.firstEvent, ShouldContainKey, ID(1))
	})
}
