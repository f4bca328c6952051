package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/pkg/route"
)

func TestAtMostOnce(t *testing.T) {
	Convey("A call that must not be repeated", t, func() {
		r := newReplay(3, 1)

		Convey("is sent once whatever may have run, and is not said to be not run", func() {
			for _, failure := range []Failure{Interrupted, Garbled} {
				r.lose = func(Send) Failure { return failure }
				id := ID(failure)
				r.arrive(id, "large", "/issue/x")
				r.run(2 * time.Second)
				So(r.sends[id], ShouldEqual, 1)
				So(r.refused[id], ShouldBeFalse)
				So(r.failed, ShouldContainKey, id)
			}
		})

		Convey("is sent again where it certainly did not run, and may then be refused", func() {
			r.lose = func(Send) Failure { return NotRun }
			r.arrive(1, "large", "/issue/x")
			r.run(2 * time.Second)
			So(r.sends[1], ShouldBeGreaterThan, 1)
			So(r.refused[1], ShouldBeTrue)
		})
	})

	Convey("A read runs at two upstreams at most", t, func() {
		r := newReplay(5, 1)
		r.lose = func(Send) Failure { return Interrupted }
		r.arrive(1, "large", "/read/x")
		r.run(2 * time.Second)
		So(r.sends[1], ShouldEqual, 2)
	})
}

func TestResume(t *testing.T) {
	Convey("A stream at a replica that broke goes on elsewhere, after the last event that the caller has", t, func() {
		r := newReplay(2, 1)
		r.arrive(1, "large", "/draft/x")
		r.run(200 * time.Millisecond)
		first := r.only()
		r.feed(NewReplicaBroken(first.Upstream()))
		r.feed(NewFailed(first.Attempt(), Halted).WithProgress("7"))
		r.run(10 * time.Millisecond)
		So(r.sends[1], ShouldEqual, 2)
		for _, send := range r.begun {
			if send.Attempt() != first.Attempt() {
				So(send.Upstream(), ShouldNotEqual, first.Upstream())
				So(send.LastEventID(), ShouldEqual, "7")
			}
		}
	})
}

func TestFailureMidway(t *testing.T) {
	Convey("A resumed stream whose second upstream answers with a failure is broken off, not ended by that failure", t, func() {
		r := newReplay(2, 1)
		r.arrive(1, "large", "/draft/x")
		r.run(200 * time.Millisecond)
		first := r.only()
		r.lose = func(Send) Failure { return Errored }
		r.feed(NewFailed(first.Attempt(), Interrupted).WithProgress("7"))
		r.run(time.Second)
		So(r.sends[1], ShouldEqual, 2)
		So(r.passed[1], ShouldBeFalse)
		So(r.failed, ShouldContainKey, ID(1))
	})

	Convey("A failure that comes before any part of an answer is passed on", t, func() {
		r := newReplay(1, 1)
		r.lose = func(Send) Failure { return Errored }
		r.arrive(1, "large", "/issue/x")
		r.run(time.Second)
		So(r.passed[1], ShouldBeTrue)
	})
}

func TestStandstill(t *testing.T) {
	Convey("A stream that stands still although its replica looks alive goes on elsewhere within two seconds", t, func() {
		r := newReplay(2, 1)
		r.arrive(1, "large", "/draft/x")
		r.run(200 * time.Millisecond)
		first := r.only()
		r.later = nil // no more events
		waited, pauses := time.Duration(0), 0
		for r.sends[1] < 2 && waited < 2*time.Second {
			r.run(first.StallTimeout())
			waited += first.StallTimeout()
			pauses++
			r.feed(NewStreamStalled(first.Attempt(), pauses))
			r.run(5 * time.Millisecond)
		}
		So(r.sends[1], ShouldEqual, 2)
		So(waited, ShouldBeLessThan, 2*time.Second)
	})
}

func TestPlainStream(t *testing.T) {
	Convey("A stream that a configuration sends to a plain service has a pause after which it counts as silent", t, func() {
		r := newReplay(1, 1)
		r.feed(NewConfigured(route.New(2).
			WithServices(route.NewService("desk", "/h", 100)).
			WithOrganisation(route.NewOrganisation("large", 0, false), "large").
			WithRoutes(route.NewRoute("draft", "pond", "/draft/", route.Stream).WithTimes(time.Second, worldGoal, 0).
				WithSplit(route.NewWeightedService("desk", 1)))))
		r.arrive(1, "large", "/draft/x")
		So(len(r.begun), ShouldEqual, 1)
		for _, send := range r.begun {
			So(send.StallTimeout(), ShouldBeGreaterThan, 0)
		}
	})
}

func TestBudget(t *testing.T) {
	Convey("All daemons together send again no more than the budget allows", t, func() {
		var b budget
		limits := NewRetryLimits(0.2, 100, 10*time.Second)
		sharers, sent := 7, 0
		for range 100 {
			if b.repeat(epoch, limits, sharers) {
				sent++
			}
		}
		So(float64(sent*sharers), ShouldBeLessThanOrEqualTo, 100)
		So(sent, ShouldBeGreaterThan, 0)
		So(b.repeat(epoch.Add(11*time.Second), limits, sharers), ShouldBeTrue)
	})
}

func TestTimeout(t *testing.T) {
	Convey("A request that is still running at its route's timeout is answered then, and its work is ended", t, func() {
		r := newReplay(1, 1)
		r.arrive(1, "large", "/issue/x")
		r.lose = func(Send) Failure { return NoFailure }
		for _, send := range r.begun {
			delete(r.begun, send.Attempt())
		}
		r.later = nil // the upstream never answers
		r.run(1100 * time.Millisecond)
		So(r.failed[1], ShouldEqual, Timeout)
	})
}

func TestLeft(t *testing.T) {
	Convey("The work of a caller that left is ended at once, also if it waits", t, func() {
		r := newReplay(1, 1)
		for id := range ID(worldSlots + 1) {
			r.arrive(id+1, "large", "/draft/x")
		}
		cancelled := 0
		for id := range ID(worldSlots + 1) {
			for _, effect := range r.state.Reduce(r.now, r, NewCallerLeft(id+1)) {
				if cancel, isCancel := effect.(Cancel); isCancel {
					cancelled++
					r.feed(NewFailed(cancel.Attempt(), Halted))
				}
			}
		}
		So(cancelled, ShouldEqual, worldSlots)
		So(r.state.Active(), ShouldEqual, 0)
		r.run(time.Second)
		So(r.state.AwaitingSlot()+r.state.SlotWaiters()+r.state.Queued(), ShouldEqual, 0)
	})
}

func TestBreakWithoutWayOut(t *testing.T) {
	Convey("A stream at a replica that broke", t, func() {
		r := newReplay(3, 1)
		r.arrive(1, "large", "/draft/x")
		r.run(200 * time.Millisecond)
		first := r.only()

		Convey("stays there if the retry budget is spent", func() {
			r.feed(NewRetryLimitsChanged(NewRetryLimits(0, 0, 10*time.Second)))
			So(cancels(r.state.Reduce(r.now, r, NewReplicaBroken(first.Upstream()))), ShouldEqual, 0)
			So(cancels(r.state.Reduce(r.now, r, NewStreamStalled(first.Attempt(), silenceMost))), ShouldEqual, 0)
		})

		Convey("is taken away once the budget allows it again, if it is still silent", func() {
			r.feed(NewRetryLimitsChanged(NewRetryLimits(0, 0, 10*time.Second)))
			r.feed(NewReplicaBroken(first.Upstream()))
			r.feed(NewRetryLimitsChanged(NewRetryLimits(0.2, 100, 10*time.Second)))
			So(cancels(r.state.Reduce(r.now, r, NewStreamStalled(first.Attempt(), silenceMost))), ShouldEqual, 1)
		})

		Convey("stays at the second one, since its attempts are used up", func() {
			r.feed(NewFailed(first.Attempt(), Interrupted).WithProgress("7"))
			delete(r.begun, first.Attempt())
			second := r.only()
			So(cancels(r.state.Reduce(r.now, r, NewReplicaBroken(second.Upstream()))), ShouldEqual, 0)
		})

		Convey("costs the budget one send when it goes on elsewhere", func() {
			before := r.state.RetriesLeft(r.now, "engines")
			r.feed(NewReplicaBroken(first.Upstream()))
			r.feed(NewFailed(first.Attempt(), Halted).WithProgress("7"))
			So(r.sends[1], ShouldEqual, 2)
			So(r.state.RetriesLeft(r.now, "engines"), ShouldEqual, before-1)
		})
	})
}

// only returns the one attempt that runs.
func (r *replay) only() Send {
	for _, send := range r.begun {
		return send
	}
	panic("nothing runs")
}

func cancels(effects []Effect) int {
	count := 0
	for _, effect := range effects {
		if _, isCancel := effect.(Cancel); isCancel {
			count++
		}
	}
	return count
}
