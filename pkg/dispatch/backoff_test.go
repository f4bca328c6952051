package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestThrottlingUpstream(t *testing.T) {
	Convey("Given an upstream that throttles the daemon for five seconds", t, func() {
		const wait = 5 * time.Second
		sim := newSimulation(2, 1)
		sim.throttleFor["h0"] = wait
		for id := ID(1); sim.sentTo["h0"] == 0; id++ {
			sim.arrive(id, "large", "/read/x")
			sim.run(20 * time.Millisecond)
		}
		turnedAway := sim.now
		sim.run(time.Second)

		Convey("it gets no call until then, and the others get them", func() {
			sent := sim.sentTo["h0"]
			sim.arrivals(1000, "large", 8, 3500*time.Millisecond, 1)
			sim.run(3500 * time.Millisecond)
			So(sim.sentTo["h0"], ShouldEqual, sent)
			So(sim.refused, ShouldBeEmpty)
		})

		Convey("its calls return in steps", func() {
			delete(sim.throttleFor, "h0")
			sim.targets = sim.targets[:1]
			sim.run(turnedAway.Add(wait).Sub(sim.now))
			sim.maxRunning["h0"] = 0
			for id := ID(1000); id < 1008; id++ {
				sim.arrive(id, "large", "/draft/x")
			}
			sim.run(callTime / 2)
			So(sim.maxRunning["h0"], ShouldEqual, firstTrialCalls)
			sim.run(callTime)
			So(sim.maxRunning["h0"], ShouldEqual, 2*firstTrialCalls)
		})

		Convey("a second answer extends the time and does not add to it", func() {
			first := sim.state.upstreams["h0"].throttledUntil
			sim.state.attempts[99] = &attempt{id: 99, call: &call{tried: []string{"h0"}}, upstream: sim.state.upstreams["h0"]}
			sim.feed(NewThrottled(99, time.Second))
			So(sim.state.upstreams["h0"].throttledUntil, ShouldEqual, first)
			sim.feed(NewThrottled(99, 6*time.Second))
			So(sim.state.upstreams["h0"].throttledUntil, ShouldEqual, sim.now.Add(6*time.Second))
		})
	})

	Convey("While all upstreams throttle the daemon", t, func() {
		const wait = 2 * time.Second
		for _, path := range []string{"/read/x", "/draft/x"} {
			sim := newSimulation(1, 1)
			sim.throttleFor["h0"] = wait
			sim.arrive(1, "large", path)
			sim.run(100 * time.Millisecond)
			delete(sim.throttleFor, "h0")
			until := sim.state.upstreams["h0"].throttledUntil
			So(until, ShouldHappenAfter, sim.now)

			Convey("a call to "+path+" that can't be served before is refused at once, with the time of the return", func() {
				sim.arrive(2, "large", path)
				So(sim.refused[2], ShouldBeTrue)
				So(sim.retryAfter[2], ShouldBeBetweenOrEqual, until.Sub(sim.now), until.Sub(sim.now)+throttleSpread)
				So(sim.retryAfter[1], ShouldBeBetweenOrEqual, wait-100*time.Millisecond, wait+throttleSpread)
			})

			Convey("a call to "+path+" that can wait for the return waits, and is served", func() {
				sim.run(until.Sub(sim.now) - 100*time.Millisecond)
				sim.arrive(2, "large", path)
				So(sim.refused[2], ShouldBeFalse)
				sim.run(time.Second)
				So(sim.firstEvent, ShouldContainKey, ID(2))
				So(sim.sentTo["h0"], ShouldEqual, 2)
			})
		}
	})
}
