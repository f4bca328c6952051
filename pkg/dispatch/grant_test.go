package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestUnresponsiveOwner(t *testing.T) {
	Convey("A call is sent without a slot if the shard owner does not reply", t, func() {
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

func TestOwnerBlamedByLateDaemon(t *testing.T) {
	Convey("A daemon that reads the replies to its slot requests late waits for them, and does not take the owner for unresponsive", t, func() {
		cl := newCluster(8, 8, false)
		cl.lateness = 40 * time.Millisecond
		cl.feed(7, NewDelayed(cl.lateness))
		for range 4 {
			cl.arrive(7, callTimeout)
		}
		cl.run(500 * time.Millisecond)
		So(cl.daemons[7].unresponsive, ShouldBeEmpty)
		good, _ := cl.onTime()
		So(good, ShouldEqual, 1)
	})

	Convey("Its calls are sent without a slot in time if the owner does not reply", t, func() {
		cl := newCluster(8, 8, false)
		cl.dropsMessages = true
		cl.feed(7, NewDelayed(time.Second))
		for range 4 {
			cl.arrive(7, callTimeout)
		}
		cl.run(time.Second)
		good, _ := cl.onTime()
		So(good, ShouldEqual, 1)
	})
}

func TestOwnerWithoutReplicas(t *testing.T) {
	Convey("A call is sent without a slot if the shard owner lists no replica yet", t, func() {
		cl := newCluster(8, 8, false)
		cl.withoutReplicas = 4 // the owners of all shards
		for daemon := 4; daemon < 8; daemon++ {
			cl.arrive(daemon, callTimeout)
		}
		cl.run(time.Second)
		good, _ := cl.onTime()
		So(good, ShouldEqual, 1)
	})
}

func TestDeadDaemon(t *testing.T) {
	Convey("Slots of dead daemons are granted to others", t, func() {
		cl := newCluster(8, 4, false)
		for range 4 * replicaSlotCount {
			cl.arrive(7, callTimeout)
		}
		cl.run(20 * time.Millisecond)
		cl.timers, cl.running = nil, map[string][]*clusterCall{} // daemon 7 and its calls die
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
	Convey("Waiting calls get a slot when a replica returns, without a usage report", t, func() {
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
	// onTimeShares simulates first requests at 0.8 of the capacity, and caller retries at retryLoad of it. It returns the
	// fractions of both that meet their goal.
	onTimeShares := func(withoutSlots bool, retryLoad float64) (first, second float64) {
		cl := newCluster(8, 8, withoutSlots)
		cl.arrivals(2*capacity*0.8, 10*time.Second, 1)
		cl.callerTimeout = callTimeout / 2 // marks the requests as caller retries
		cl.arrivals(2*capacity*retryLoad, 10*time.Second, 2)
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
		return first / (2 * capacity * 8), second / (2 * capacity * 10 * max(retryLoad, 1e-9))
	}
	Convey("When slots are scarce, caller retries get them after calls that can meet their goal", t, func() {
		alone, _ := onTimeShares(false, 0)
		baseline, _ := onTimeShares(true, 0.5)
		first, second := onTimeShares(false, 0.5)
		Printf("\non time of first requests: %.3f without caller retries, %.3f with, %.3f without slot requests; "+
			"of caller retries: %.3f\n", alone, first, baseline, second)
		So(first, ShouldBeGreaterThan, baseline+0.3)
		So(first, ShouldBeGreaterThan, second+0.3)
	})
}

func TestFloodAtManyDaemons(t *testing.T) {
	// onTimeShare simulates sixteen daemons where one organisation sends twice the capacity and another one a tenth of
	// it. It returns the fraction of the small organisation's calls that meet their goal.
	onTimeShare := func(withoutSlots bool) float64 {
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
	Convey("An organisation that floods many daemons does not starve a small one", t, func() {
		baseline, withSlots := onTimeShare(true), onTimeShare(false)
		Printf("\non time of the small organisation: %.3f without slot requests, %.3f with\n", baseline, withSlots)
		So(withSlots, ShouldBeGreaterThan, baseline+0.4)
	})
}

func TestRetryAfter(t *testing.T) {
	Convey("Callers that were denied a slot get spread Retry-After times, none of them short", t, func() {
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
	Convey("Calls that end while their replica is not listed free their slots for when it is listed again", t, func() {
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
