package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestSilentKeeper(t *testing.T) {
	Convey("A call does not wait for a daemon that keeps count and does not answer", t, func() {
		w := newCrowd(8, 8, false)
		w.silent = true
		for daemon := range 8 {
			w.arrive(daemon, worldLimit)
		}
		w.run(time.Second)
		good, served := w.onTime()
		So(served, ShouldEqual, 1)
		So(good, ShouldEqual, 1)
	})
}

func TestUncounted(t *testing.T) {
	Convey("A call is sent though the daemon that keeps count knows of no replica yet", t, func() {
		w := newCrowd(8, 8, false)
		w.blind = 4 // the owners of all shares
		for daemon := 4; daemon < 8; daemon++ {
			w.arrive(daemon, worldLimit)
		}
		w.run(time.Second)
		good, _ := w.onTime()
		So(good, ShouldEqual, 1)
	})
}

func TestGoneDaemon(t *testing.T) {
	Convey("Places of daemons that are gone are given to others", t, func() {
		w := newCrowd(8, 4, false)
		for range 4 * worldSlots {
			w.arrive(7, worldLimit)
		}
		w.run(20 * time.Millisecond)
		w.later, w.running = nil, map[string][]*crowdCall{} // it dies, and its calls with it
		for daemon := range 7 {
			w.feed(daemon, NewPeersChanged([]string{"0", "1", "2", "3", "4", "5", "6"}))
		}
		from := len(w.calls)
		for daemon := range 7 {
			w.arrive(daemon, worldLimit)
		}
		w.run(time.Second)
		for _, c := range w.calls[from:] {
			So(c.first, ShouldBeBetween, time.Duration(0), worldGoal)
		}
	})
}

func TestLineMoves(t *testing.T) {
	Convey("Calls that wait for a place get one when a replica comes back, though no daemon tells of a free place", t, func() {
		w := newCrowd(8, 1, false)
		for daemon := range 8 {
			w.daemons[daemon].upstream("h0").avoid = w.now.Add(100 * time.Millisecond)
			w.arrive(daemon, worldLimit)
		}
		w.run(time.Second)
		_, served := w.onTime()
		So(served, ShouldEqual, 1)
	})
}

func TestComingAgain(t *testing.T) {
	// again replays callers that come for the first time, and others that come again at that rate.
	again := func(isOpen bool, rate float64) (first, second float64) {
		w := newCrowd(8, 8, isOpen)
		w.arrivals(2*capacity*0.8, 10*time.Second, 1)
		w.again = worldLimit / 2 // as much time is left to those that come again
		w.arrivals(2*capacity*rate, 10*time.Second, 2)
		w.run(20 * time.Second)
		for _, c := range w.calls {
			if c.first <= 0 || c.first > worldGoal {
				continue
			}
			if c.patience == worldLimit {
				first++
			} else {
				second++
			}
		}
		return first / (2 * capacity * 8), second / (2 * capacity * 10 * max(rate, 1e-9))
	}
	Convey("While places are short, callers that come again get one after those that can be on time", t, func() {
		alone, _ := again(false, 0)
		before, _ := again(true, 0.5)
		first, second := again(false, 0.5)
		Printf("\non time of those that come first: %.3f alone, %.3f beside others that come again, %.3f without places; "+
			"of those: %.3f\n", alone, first, before, second)
		So(first, ShouldBeGreaterThan, before+0.3)
		So(first, ShouldBeGreaterThan, second+0.3)
	})
}

func TestFloodAtManyDaemons(t *testing.T) {
	// flood replays an organisation that sends twice what the replicas bear to sixteen daemons, and one with a tenth of that.
	flood := func(isOpen bool) float64 {
		w := newCrowd(16, 8, isOpen)
		w.arrivals(2*capacity*2, 8*time.Second, 1)
		w.owner = "two"
		w.arrivals(2*capacity*0.1, 8*time.Second, 2)
		w.run(16 * time.Second)
		good, all := 0.0, 0.0
		for _, c := range w.calls {
			if c.owner != "two" {
				continue
			}
			all++
			if c.first > 0 && c.first <= worldGoal {
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

func TestReturn(t *testing.T) {
	Convey("Callers that found no place come back at different times, and not while the others still wait", t, func() {
		w := newCrowd(8, 2, false)
		w.arrivals(2*capacity, 6*time.Second, 1)
		w.run(10 * time.Second)
		soon, times := 0, map[time.Duration]int{}
		for _, c := range w.calls {
			if !c.refused {
				continue
			}
			times[c.again.Truncate(50*time.Millisecond)]++
			if c.again < 500*time.Millisecond {
				soon++
			}
		}
		So(len(times), ShouldBeGreaterThan, 10)
		So(soon, ShouldEqual, 0)
	})
}

func TestReformedReplica(t *testing.T) {
	Convey("Calls that end while their replica is not listed hold no place there when it is listed again", t, func() {
		w := newCrowd(8, 1, false)
		for range worldSlots {
			w.arrive(7, worldLimit)
		}
		w.run(100 * time.Millisecond)
		listed := w.targets
		w.targets = nil
		w.run(worldTime + 100*time.Millisecond)
		w.targets = listed
		w.arrive(7, worldLimit)
		last := w.calls[len(w.calls)-1]
		w.run(worldGoal)
		So(last.first, ShouldBeBetween, time.Duration(0), worldGoal)
	})
}
