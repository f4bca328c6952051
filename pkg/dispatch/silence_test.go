package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/pkg/relay"
)

// count returns how many of the emitted effects match.
func (sim *simulation) count(matches func(Effect) bool) int {
	count := 0
	for _, effect := range sim.effects {
		if matches(effect) {
			count++
		}
	}
	return count
}

func isCheck(e Effect) bool {
	_, is := e.(CheckPath)
	return is
}

func isBlame(e Effect) bool {
	switch e.(type) {
	case Suspect, ReportCrash, ReportPartCrash:
		return true
	}
	return false
}

func TestRetryBudgetOnLostPaths(t *testing.T) {
	Convey("A request that was not sent is sent elsewhere without a retry from the budget, also if that is spent", t, func() {
		sim := newSimulation(3, 1)
		left := sim.state.RetriesLeft(sim.now, "desk")
		for range int(left) {
			sim.state.budget("desk").reserve(sim.now, sim.state.settings.retries, 1)
		}
		failures := 2
		sim.failWith = func(Send) Failure {
			if failures--; failures >= 0 {
				return NotSent
			}
			return NoFailure
		}
		sim.arrive(1, "large", "/read/x")
		sim.run(time.Second)
		So(sim.sends[1], ShouldEqual, 3)
		So(sim.refused, ShouldBeEmpty)
		So(sim.firstEvent, ShouldContainKey, ID(1))
	})

	Convey("A request that may have arrived is not, if the budget is spent", t, func() {
		sim := newSimulation(3, 1)
		for range int(sim.state.RetriesLeft(sim.now, "desk")) {
			sim.state.budget("desk").reserve(sim.now, sim.state.settings.retries, 1)
		}
		sim.failWith = func(Send) Failure { return NotRun }
		sim.arrive(1, "large", "/read/x")
		sim.run(time.Second)
		So(sim.sends[1], ShouldEqual, 1)
	})
}

// This guards against a repeat that upstreams count and the budget does not: the rejections, broken answers and lost peers that follow an arrival.
func TestArrivalsBeyondBudget(t *testing.T) {
	for _, failure := range []Failure{NotRun, Misdirected, Errored, Garbled, Interrupted, RelayLost} {
		for _, path := range []string{"/read/x", "/draft/x"} {
			Convey("A request for "+path+" that failed as "+failure.String()+" uses a retry for the next send, also if another was not sent", t, func() {
				sim := newSimulation(4, 1)
				service := map[string]string{"/read/x": "desk", "/draft/x": "engines"}[path]
				left := sim.state.RetriesLeft(sim.now, service)
				failures := []Failure{failure, NotSent}
				sim.failWith = func(Send) Failure {
					if len(failures) == 0 {
						return NoFailure
					}
					next := failures[0]
					failures = failures[1:]
					return next
				}
				sim.arrive(1, "large", path)
				sim.run(time.Second)
				So(sim.sends[1], ShouldEqual, 3)
				So(sim.state.RetriesLeft(sim.now, service), ShouldBeLessThanOrEqualTo, left-1+0.2) // the request itself allows a fifth
			})
		}
	}
}

func TestSilentConnection(t *testing.T) {
	Convey("Given a stream that is sent over a connection that delivers nothing", t, func() {
		sim := newSimulation(2, 1)
		sim.silent["h0"], sim.silent["h1"] = true, true
		sim.arrive(1, "large", "/draft/x")
		first := sim.state.calls[1].attempt.target()
		sim.silent = map[string]bool{first: true}
		sim.run(pathCheckDelay + 50*time.Millisecond)

		Convey("its path is checked once, and if it is lost, the stream is sent another way", func() {
			So(sim.count(isCheck), ShouldEqual, 1)
			sim.feed(NewPathLost(first))
			sim.run(200 * time.Millisecond)
			So(sim.sends[1], ShouldEqual, 2)
			So(sim.firstEvent, ShouldContainKey, ID(1))
		})

		Convey("it waits on if the path is not lost", func() {
			sim.run(500 * time.Millisecond)
			So(sim.sends[1], ShouldEqual, 1)
			So(sim.count(isCheck), ShouldEqual, 1)
		})
	})

	Convey("A call that must not be repeated is not sent again when its path is lost", t, func() {
		sim := newSimulation(2, 1)
		sim.silent["h0"], sim.silent["h1"] = true, true
		sim.arrive(1, "large", "/issue/x")
		sim.run(pathCheckDelay + 50*time.Millisecond)
		sim.feed(NewPathLost(sim.state.calls[1].attempt.target()))
		sim.run(2 * time.Second)
		So(sim.sends[1], ShouldEqual, 1)
		So(sim.refused, ShouldBeEmpty)
		So(sim.failed, ShouldContainKey, ID(1))
	})

	Convey("Calls over connections that still deliver, and calls through a peer, go on when a path is lost", t, func() {
		for _, through := range []relay.Route{{}, relay.Through(relay.NewPeer("p", "p:1", "a"))} {
			sim := newSimulation(1, 1)
			sim.way = through
			sim.arrive(1, "large", "/draft/x")
			sim.run(callTime / 2)
			sim.feed(NewPathLost("h0"))
			sim.run(callTime)
			So(sim.sends[1], ShouldEqual, 1)
			So(sim.state.Active(), ShouldEqual, 0)
		}
	})

	Convey("A silent replica gets no new calls for half a second", t, func() {
		sim := newSimulation(2, 1)
		sim.feed(NewReplicaSilent("h0"))
		sim.arrivals(1, "large", 20, 400*time.Millisecond, 1)
		sim.run(450 * time.Millisecond)
		So(sim.sentTo["h0"], ShouldEqual, 0)
		sim.arrivals(100, "large", 60, time.Second, 1)
		sim.run(time.Second)
		So(sim.sentTo["h0"], ShouldBeGreaterThan, 0)
	})
}

func TestLostPeer(t *testing.T) {
	Convey("If the peer that passes a request on is lost, the upstream is not blamed", t, func() {
		for path, sends := range map[string]int{"/draft/x": 2, "/issue/x": 1, "/read/x": 2} {
			sim := newSimulation(3, 1)
			sim.failWith = func(Send) Failure { return RelayLost }
			sim.arrive(1, "large", path)
			sim.run(time.Second)
			So(sim.sends[1], ShouldEqual, sends)
			So(sim.count(isBlame), ShouldEqual, 0)
			So(sim.refused, ShouldBeEmpty)
			So(sim.failed, ShouldContainKey, ID(1))
		}
	})
}

func TestUpstreamThrottlesRelay(t *testing.T) {
	Convey("An upstream that throttles a daemon for a request of a peer gets nothing else from it, and no probe", t, func() {
		sim := newSimulation(2, 1)
		sim.feed(NewUpstreamThrottled("h0", 2*time.Second))
		So(sim.state.IsThrottling(sim.now, "h0"), ShouldBeTrue)
		sim.arrivals(1, "large", 20, 1900*time.Millisecond, 1)
		sim.run(1900 * time.Millisecond)
		So(sim.sentTo["h0"], ShouldEqual, 0)
		So(sim.count(func(e Effect) bool { _, is := e.(PauseProbes); return is }), ShouldEqual, 1)
	})
}

func TestUpstreamBehindLostPath(t *testing.T) {
	Convey("An upstream is not avoided after a connection that failed if the next call goes through a peer, only if that fails too", t, func() {
		sim := newSimulation(1, 1)
		sim.failWith = func(Send) Failure { return NotSent }
		sim.arrive(1, "large", "/read/x")
		sim.way = relay.Through(relay.NewPeer("p", "p:1", "a"))
		sim.run(20 * time.Millisecond)
		So(sim.state.upstreams["h0"].isAvailable(sim.now), ShouldBeTrue)
		sim.arrive(2, "large", "/read/x")
		sim.run(20 * time.Millisecond)
		So(sim.state.upstreams["h0"].isAvailable(sim.now), ShouldBeFalse)
	})
}
