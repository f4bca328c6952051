package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestUnresponsiveOwner(t *testing.T) {
	Convey("A call does not wait for a daemon that keeps count and does not answer", t, func() {
		cl := newCluster(8, 8, false)
		cl.dropsMessages = true
		for daemon := range 8 {
			cl.arrive(daemon, callTimeout)
		}
		cl.run(time.Second)
		good, served := cl.onTime()
		So(served, ShouldEqual, 1)
		So(good, ShouldEqual, 1)
	})
}

func TestOwnerWithoutReplicas(t *testing.T) {
	Convey("A call is sent though the daemon that keeps count knows of no replica yet", t, func() {
		cl := newCluster(8, 8, false)
		cl.withoutReplicas = 4 // the owners of all shares
		for daemon := 4; daemon < 8; daemon++ {
			cl.arrive(daemon, callTimeout)
		}
		cl.run(time.Second)
		good, _ := cl.onTime()
		So(good, ShouldEqual, 1)
	})
}

func TestDeadDaemon(t *testing.T) {
	Convey("Places of daemons that are gone are given to others", t, func() {
		cl := newCluster(8, 4, false)
		for range 4 * replicaSlotCount {
			cl.arrive(7, callTimeout)
		}
		cl.run(20 * time.Millisecond)
		cl.timers, cl.running = nil, map[string][]*clusterCall{} // it dies, and its calls with it
		for daemon := range 7 {
			cl.feed(daemon, NewPeersChanged([]string{"0", "1", "2", "3", "4", "5", "6"}))
		}
		from := len(cl.calls)
		for daemon := range 7 {
			cl.arrive(daemon, callTimeout)
		}
		cl.run(time.Second)
		for _, c := range cl.calls[from:] {
			So(c.firstEvent, ShouldBeBetween, time.Duration(0), callGoal)
		}
	})
}

func TestWaitersWithoutReports(t *testing.T) {
	Convey("Calls that wait for a place get one when a replica comes back, though no daemon tells of a free place", t, func() {
		cl := newCluster(8, 1, false)
		for daemon := range 8 {
			cl.daemons[daemon].upstream("h0").avoidUntil = cl.now.Add(100 * time.Millisecond)
			cl.arrive(daemon, callTimeout)
		}
		cl.run(time.Second)
		_, served := cl.onTime()
		So(served, ShouldEqual, 1)
	})
}

func TestCallerRetries(t *testing.T) {
	// again replays callers that come for the first time, and others that come again at that rate.
	onTimeShares := func(withoutSlots bool, rate float64) (first, second float64) {
		cl := newCluster(8, 8, withoutSlots)
		cl.arrivals(2*capacity*0.8, 10*time.Second, 1)
		cl.callerTimeout = callTimeout / 2 // as much time is left to those that come again
		cl.arrivals(2*capacity*rate, 10*time.Second, 2)
		cl.run(20 * time.Second)
		for _, c := range cl.calls {
			if c.firstEvent <= 0 || c.firstEvent > callGoal {
				continue
			}
			if c.timeout == callTimeout {
				first++
			} else {
				second++
			}
		}
		return first / (2 * capacity * 8), second / (2 * capacity * 10 * max(rate, 1e-9))
	}
	Convey("While places are short, callers that come again get one after those that can be on time", t, func() {
		alone, _ := onTimeShares(false, 0)
		before, _ := onTimeShares(true, 0.5)
		first, second := onTimeShares(false, 0.5)
		Printf("\non time of those that come first: %.3f alone, %.3f beside others that come again, %.3f without places; "+
			"of those: %.3f\n", alone, first, before, second)
		So(first, ShouldBeGreaterThan, before+0.3)
		So(first, ShouldBeGreaterThan, second+0.3)
	})
}

func TestFloodAtManyDaemons(t *testing.T) {
	// flood replays an organisation that sends twice what the replicas bear to sixteen daemons, and one with a tenth of that.
	flood := func(withoutSlots bool) float64 {
		cl := newCluster(16, 8, withoutSlots)
		cl.arrivals(2*capacity*2, 8*time.Second, 1)
		cl.organisation = "two"
		cl.arrivals(2*capacity*0.1, 8*time.Second, 2)
		cl.run(16 * time.Second)
		good, all := 0.0, 0.0
		for _, c := range cl.calls {
			if c.organisation != "two" {
				continue
			}
			all++
			if c.firstEvent > 0 && c.firstEvent <= callGoal {
				good++
			}
		}
		return good / all
	}
	Convey("An organisation that floods many daemons does not push out a small one", t, func() {
		before, after := flood(true), flood(false)
		Printf("\non time of the small organisation: %.3f with each daemon's own view, %.3f now\n", before, after)
		So(after, ShouldBeGreaterThan, before+0.4)
	})
}

func TestRetryAfter(t *testing.T) {
	Convey("Callers that found no place come back at different times, and not while the others still wait", t, func() {
		cl := newCluster(8, 2, false)
		cl.arrivals(2*capacity, 6*time.Second, 1)
		cl.run(10 * time.Second)
		soon, times := 0, map[time.Duration]int{}
		for _, c := range cl.calls {
			if !c.isRefused {
				continue
			}
			times[c.retryAfter.Truncate(50*time.Millisecond)]++
			if c.retryAfter < 500*time.Millisecond {
				soon++
			}
		}
		So(len(times), ShouldBeGreaterThan, 10)
		So(soon, ShouldEqual, 0)
	})
}

func TestRelistedReplica(t *testing.T) {
	Convey("Calls that end while their replica is not listed hold no place there when it is listed again", t, func() {
		cl := newCluster(8, 1, false)
		for range replicaSlotCount {
			cl.arrive(7, callTimeout)
		}
		cl.run(100 * time.Millisecond)
		listed := cl.targets
		cl.targets = nil
		cl.run(callTime + 100*time.Millisecond)
		cl.targets = listed
		cl.arrive(7, callTimeout)
		last := cl.calls[len(cl.calls)-1]
		cl.run(callGoal)
		So(last.firstEvent, ShouldBeBetween, time.Duration(0), callGoal)
	})
}
