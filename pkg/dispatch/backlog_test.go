package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// backlog simulates a burst of 1.5 s at many daemons that share replicas, followed by calls at almost the capacity of
// the replicas.
func backlog(withoutSlots bool) *cluster {
	cl := newCluster(16, 8, withoutSlots)
	cl.arrivals(2*capacity*0.6, 3*time.Second, 1)
	cl.after(3*time.Second, func() { cl.arrivals(2*capacity*1.6, 1500*time.Millisecond, 2) })
	cl.after(4500*time.Millisecond, func() { cl.arrivals(2*capacity*0.97, 15*time.Second, 3) })
	cl.run(26 * time.Second)
	return cl
}

// overload simulates calls at 1.8 times the capacity of the replicas for 15 s at many daemons.
func overload(configure func(*State), firstEventTime time.Duration) *cluster {
	cl := newCluster(16, 8, false)
	cl.firstEventTime = firstEventTime
	for _, daemon := range cl.daemons {
		configure(daemon)
	}
	cl.arrivals(2*capacity*0.6, 3*time.Second, 1)
	cl.after(3*time.Second, func() { cl.arrivals(2*capacity*1.8, 15*time.Second, 2) })
	cl.run(26 * time.Second)
	return cl
}

func TestLastingOverload(t *testing.T) {
	Convey("In an overload that lasts, slots go to calls that can be on time, and the others are refused early", t, func() {
		before, now := overload(func(s *State) { s.policy = noOverloadLimit{} }, 0), overload(func(*State) {}, 0)
		onTimeBefore, servedBefore := before.onTime()
		onTime, served := now.onTime()
		// An offline schedule serves the arrivals of 3 s, and the capacity of the next 15 s.
		bound := (0.6*3 + 15) / (0.6*3 + 1.8*15)
		Printf("\non time: %.3f before, %.3f now, at most %.3f; served %.3f, %.3f; refused after %v, %v\n",
			onTimeBefore, onTime, bound, servedBefore, served, before.meanRefusal(), now.meanRefusal())
		So(onTime, ShouldBeGreaterThan, 0.8*bound)
		So(onTime, ShouldBeGreaterThan, onTimeBefore)
		So(now.meanRefusal(), ShouldBeLessThan, callGoal)
	})

	Convey("They are on time even if the first event takes longer than estimated, since the youngest call goes first", t, func() {
		const slowFirstEvent = 200 * time.Millisecond // the estimate for a full replica is 121 ms
		byArrival := overload(func(s *State) { s.policy = oldestFirst{} }, slowFirstEvent)
		youngestFirst := overload(func(*State) {}, slowFirstEvent)
		onTimeByArrival, _ := byArrival.onTime()
		onTime, _ := youngestFirst.onTime()
		Printf("\non time: %.3f in order of arrival, %.3f with the youngest first\n", onTimeByArrival, onTime)
		So(onTime, ShouldBeGreaterThan, onTimeByArrival+0.1)
	})
}

func TestBacklog(t *testing.T) {
	Convey("Calls meet their goal again after a burst left a backlog in the replicas", t, func() {
		baseline, withSlots := backlog(true), backlog(false)
		baselineOnTime, baselineServed := baseline.onTime()
		onTime, served := withSlots.onTime()
		Printf("\non time: %.3f without slot requests, %.3f with; served: %.3f, %.3f\n",
			baselineOnTime, onTime, baselineServed, served)
		So(onTime, ShouldBeGreaterThan, baselineOnTime+0.2)
		So(served, ShouldBeGreaterThan, 0.85)
	})
}
