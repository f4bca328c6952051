package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// stallFor reports the stalls of an attempt that makes no progress for d, and returns how many times it was cancelled and its upstream
// suspected.
func (sim *simulation) stallFor(send Send, d time.Duration) (cancels, suspects int) {
	for timeouts := 1; time.Duration(timeouts)*send.StallTimeout() <= d; timeouts++ {
		sim.now = sim.now.Add(send.StallTimeout())
		effects := sim.state.Reduce(sim.now, sim, NewStreamStalled(send.Attempt(), timeouts))
		cancels, suspects = cancels+countCancels(effects), suspects+countSuspects(effects)
	}
	return cancels, suspects
}

func TestLongPromptIsNotStalled(t *testing.T) {
	const promptTime = 2 * time.Second // of 92,000 tokens, at 46,000 per second
	arrive := func(sim *simulation, id ID, tokens int) Send {
		sim.silent["h0"], sim.silent["h1"] = true, true
		sim.feed(NewArrived(NewRequest(id, "r", "pond", "/draft/x", "large").WithModel("m", tokens, 100).WithTimeout(callTimeout)))
		a := sim.state.calls[id].attempt
		sim.feed(NewStarted(a.id, NewLoad(1, 0, replicaSlotCount)))
		for _, effect := range sim.effects {
			if send, isSend := effect.(Send); isSend && send.Attempt() == a.id {
				return send
			}
		}
		panic("no attempt")
	}

	Convey("A stream whose long prompt is being read makes no upstream suspect, and stays where it is", t, func() {
		sim := newSimulation(2, 1)
		send := arrive(sim, 1, 92_000)
		cancels, suspects := sim.stallFor(send, promptTime)
		So(cancels, ShouldEqual, 0)
		So(suspects, ShouldEqual, 0)
	})

	Convey("It is stalled if there is no event for four stall timeouts after the prompt should have been read", t, func() {
		sim := newSimulation(2, 1)
		send := arrive(sim, 1, 92_000)
		cancels, suspects := sim.stallFor(send, promptTime+(maxStallTimeouts+1)*send.StallTimeout())
		So(cancels, ShouldEqual, 1)
		So(suspects, ShouldEqual, 1)
	})

	Convey("After its first event, the prompt does not count", t, func() {
		sim := newSimulation(2, 1)
		send := arrive(sim, 1, 92_000)
		sim.feed(NewFirstEventReceived(send.Attempt()))
		cancels, _ := sim.stallFor(send, maxStallTimeouts*send.StallTimeout())
		So(cancels, ShouldEqual, 1)
	})

	Convey("A caller that states any number of tokens delays the detection by a bounded time", t, func() {
		sim := newSimulation(2, 1)
		sim.arrive(1, "large", "/draft/x")
		c := sim.state.calls[1]
		c.promptTokens = 1 << 60
		So(sim.state.promptTime(c, candidate{target: sim.targets[0], upstream: c.attempt.upstream}), ShouldEqual, maxPromptTime)
	})
}
