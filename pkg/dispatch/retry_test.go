package dispatch

import (
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/pkg/route"
)

func TestAtMostOnce(t *testing.T) {
	Convey("A call that must not be retried", t, func() {
		sim := newSimulation(3, 1)

		Convey("is sent once if it may have run, and is not refused as not run", func() {
			for _, failure := range []Failure{Interrupted, Garbled} {
				sim.failWith = func(Send) Failure { return failure }
				id := ID(failure)
				sim.arrive(id, "large", "/issue/x")
				sim.run(2 * time.Second)
				So(sim.sends[id], ShouldEqual, 1)
				So(sim.refused[id], ShouldBeFalse)
				So(sim.failed, ShouldContainKey, id)
			}
		})

		Convey("is sent again if it did not run, and may then be refused", func() {
			sim.failWith = func(Send) Failure { return NotRun }
			sim.arrive(1, "large", "/issue/x")
			sim.run(2 * time.Second)
			So(sim.sends[1], ShouldBeGreaterThan, 1)
			So(sim.refused[1], ShouldBeTrue)
		})
	})

	Convey("A read runs at two upstreams at most", t, func() {
		sim := newSimulation(5, 1)
		sim.failWith = func(Send) Failure { return Interrupted }
		sim.arrive(1, "large", "/read/x")
		sim.run(2 * time.Second)
		So(sim.sends[1], ShouldEqual, 2)
	})
}

func TestResume(t *testing.T) {
	Convey("A stream of a broken replica resumes elsewhere, after the last event that the caller received", t, func() {
		sim := newSimulation(2, 1)
		sim.arrive(1, "large", "/draft/x")
		sim.run(200 * time.Millisecond)
		first := sim.onlyAttempt()
		sim.feed(NewReplicaBroken(first.Upstream()))
		sim.feed(NewFailed(first.Attempt(), Halted).WithProgress("7"))
		sim.run(10 * time.Millisecond)
		So(sim.sends[1], ShouldEqual, 2)
		for _, send := range sim.running {
			if send.Attempt() != first.Attempt() {
				So(send.Upstream(), ShouldNotEqual, first.Upstream())
				So(send.LastEventID(), ShouldEqual, "7")
			}
		}
	})
}

func TestFailureAfterPartialAnswer(t *testing.T) {
	Convey("A resumed stream whose second upstream returns an error is aborted, without that error", t, func() {
		sim := newSimulation(2, 1)
		sim.arrive(1, "large", "/draft/x")
		sim.run(200 * time.Millisecond)
		first := sim.onlyAttempt()
		sim.failWith = func(Send) Failure { return Errored }
		sim.feed(NewFailed(first.Attempt(), Interrupted).WithProgress("7"))
		sim.run(time.Second)
		So(sim.sends[1], ShouldEqual, 2)
		So(sim.forwarded[1], ShouldBeFalse)
		So(sim.failed, ShouldContainKey, ID(1))
	})

	Convey("An error response before any part of an answer is forwarded", t, func() {
		sim := newSimulation(1, 1)
		sim.failWith = func(Send) Failure { return Errored }
		sim.arrive(1, "large", "/issue/x")
		sim.run(time.Second)
		So(sim.forwarded[1], ShouldBeTrue)
	})

	Convey("An error response that the driver did not keep is replaced by a failure that does not say that the call did not run", t, func() {
		sim := newSimulation(1, 1)
		sim.arrive(1, "large", "/issue/x")
		sim.run(10 * time.Millisecond)
		sim.feed(NewFailed(sim.onlyAttempt().Attempt(), Errored).WithUnusableAnswer())
		sim.run(time.Second)
		So(sim.sends[1], ShouldEqual, 1)
		So(sim.forwarded[1], ShouldBeFalse)
		So(sim.refused[1], ShouldBeFalse)
		So(sim.failed, ShouldContainKey, ID(1))
	})
}

func TestFailureWithinBufferedAnswer(t *testing.T) {
	Convey("A read of which the caller has received a part is not sent again, since a second answer cannot continue it", t, func() {
		sim := newSimulation(5, 1)
		sim.arrive(1, "large", "/read/x")
		sim.run(10 * time.Millisecond)
		first := sim.onlyAttempt()
		sim.feed(NewStarted(first.Attempt(), Load{}))
		sim.feed(NewFailed(first.Attempt(), Interrupted).WithProgress(""))
		sim.run(time.Second)
		So(sim.sends[1], ShouldEqual, 1)
		So(sim.failed, ShouldContainKey, ID(1))
	})
}

func TestStalledStream(t *testing.T) {
	Convey("A stalled stream of a replica that seems alive resumes elsewhere within two seconds", t, func() {
		sim := newSimulation(2, 1)
		sim.arrive(1, "large", "/draft/x")
		sim.run(200 * time.Millisecond)
		first := sim.onlyAttempt()
		sim.timers = nil // no more events
		waited, timeouts := time.Duration(0), 0
		for sim.sends[1] < 2 && waited < 2*time.Second {
			sim.run(first.StallTimeout())
			waited += first.StallTimeout()
			timeouts++
			sim.feed(NewStreamStalled(first.Attempt(), timeouts))
			sim.run(5 * time.Millisecond)
		}
		So(sim.sends[1], ShouldEqual, 2)
		So(waited, ShouldBeLessThan, 2*time.Second)
	})
}

func TestUpstreamBlamedByLateDaemon(t *testing.T) {
	Convey("A stream whose events this daemon has not read yet makes no upstream suspect, and stays where it is", t, func() {
		sim := newSimulation(2, 1)
		sim.arrive(1, "large", "/draft/x")
		sim.run(200 * time.Millisecond)
		first := sim.onlyAttempt()
		sim.feed(NewDelayed(first.StallTimeout()))
		for timeouts := 1; timeouts <= maxStallTimeouts; timeouts++ {
			effects := sim.state.Reduce(sim.now, sim, NewStreamStalled(first.Attempt(), timeouts))
			So(countCancels(effects), ShouldEqual, 0)
			So(countSuspects(effects), ShouldEqual, map[bool]int{true: 1}[timeouts == 3])
		}
		sim.now = sim.now.Add(2 * time.Second) // the daemon is on time again
		effects := sim.state.Reduce(sim.now, sim, NewStreamStalled(first.Attempt(), 1))
		So(countSuspects(effects), ShouldEqual, 1)
	})
}

func countSuspects(effects []Effect) int {
	count := 0
	for _, effect := range effects {
		if _, isSuspect := effect.(Suspect); isSuspect {
			count++
		}
	}
	return count
}

func TestPlainServiceStream(t *testing.T) {
	Convey("A stream of a plain service has a stall timeout", t, func() {
		sim := newSimulation(1, 1)
		sim.feed(NewConfigured(route.New(2).
			WithServices(route.NewService("desk", "/h", 100)).
			WithOrganisation(route.NewOrganisation("large", 0, false), "large").
			WithRoutes(route.NewRoute("draft", "pond", "/draft/", route.Stream).WithTimes(time.Second, callGoal, 0).
				WithSplit(route.NewWeightedService("desk", 1)))))
		sim.arrive(1, "large", "/draft/x")
		So(len(sim.running), ShouldEqual, 1)
		for _, send := range sim.running {
			So(send.StallTimeout(), ShouldBeGreaterThan, 0)
		}
	})
}

func TestBudget(t *testing.T) {
	Convey("All daemons together do not exceed the retry budget", t, func() {
		var b budget
		limits := NewRetryLimits(0.2, 100, 10*time.Second)
		peers, sent := 7, 0
		for range 100 {
			if b.reserve(epoch, limits, peers) {
				b.spend(epoch, limits)
				sent++
			}
		}
		So(float64(sent*peers), ShouldBeLessThanOrEqualTo, 100)
		So(sent, ShouldBeGreaterThan, 0)
		So(b.reserve(epoch.Add(11*time.Second), limits, peers), ShouldBeTrue)
	})
}

func TestTimeout(t *testing.T) {
	Convey("A request that still runs at its route's timeout fails then, and its attempt is cancelled", t, func() {
		sim := newSimulation(1, 1)
		sim.arrive(1, "large", "/issue/x")
		sim.failWith = func(Send) Failure { return NoFailure }
		for _, send := range sim.running {
			delete(sim.running, send.Attempt())
		}
		sim.timers = nil // the upstream never responds
		sim.run(1100 * time.Millisecond)
		So(sim.failed[1], ShouldEqual, Timeout)
	})
}

func TestCallerLeft(t *testing.T) {
	Convey("The call of a disconnected caller ends at once, also if it waits", t, func() {
		sim := newSimulation(1, 1)
		for id := range ID(replicaSlotCount + 1) {
			sim.arrive(id+1, "large", "/draft/x")
		}
		cancelled := 0
		for id := range ID(replicaSlotCount + 1) {
			for _, effect := range sim.state.Reduce(sim.now, sim, NewCallerLeft(id+1)) {
				if cancel, isCancel := effect.(Cancel); isCancel {
					cancelled++
					sim.feed(NewFailed(cancel.Attempt(), Halted))
				}
			}
		}
		So(cancelled, ShouldEqual, replicaSlotCount)
		So(sim.state.Active(), ShouldEqual, 0)
		sim.run(time.Second)
		So(sim.state.AwaitingSlot()+sim.state.SlotWaiters()+sim.state.Queued(), ShouldEqual, 0)
	})
}

func TestBrokenReplicaWithoutRetry(t *testing.T) {
	Convey("A stream of a broken replica", t, func() {
		sim := newSimulation(3, 1)
		sim.arrive(1, "large", "/draft/x")
		sim.run(200 * time.Millisecond)
		first := sim.onlyAttempt()

		Convey("stays there if the retry budget is spent", func() {
			sim.feed(NewRetryLimitsChanged(NewRetryLimits(0, 0, 10*time.Second)))
			So(countCancels(sim.state.Reduce(sim.now, sim, NewReplicaBroken(first.Upstream()))), ShouldEqual, 0)
			So(countCancels(sim.state.Reduce(sim.now, sim, NewStreamStalled(first.Attempt(), maxStallTimeouts))), ShouldEqual, 0)
		})

		Convey("is retried elsewhere if it is still stalled when the budget allows a retry again", func() {
			sim.feed(NewRetryLimitsChanged(NewRetryLimits(0, 0, 10*time.Second)))
			sim.feed(NewReplicaBroken(first.Upstream()))
			sim.feed(NewRetryLimitsChanged(NewRetryLimits(0.2, 100, 10*time.Second)))
			So(countCancels(sim.state.Reduce(sim.now, sim, NewStreamStalled(first.Attempt(), maxStallTimeouts))), ShouldEqual, 1)
		})

		Convey("stays at the second replica, since its attempts are exhausted", func() {
			sim.feed(NewFailed(first.Attempt(), Interrupted).WithProgress("7"))
			delete(sim.running, first.Attempt())
			second := sim.onlyAttempt()
			So(countCancels(sim.state.Reduce(sim.now, sim, NewReplicaBroken(second.Upstream()))), ShouldEqual, 0)
		})

		Convey("takes one retry from the budget when it resumes elsewhere", func() {
			before := sim.state.RetriesLeft(sim.now, "engines")
			sim.feed(NewReplicaBroken(first.Upstream()))
			sim.feed(NewFailed(first.Attempt(), Halted).WithProgress("7"))
			So(sim.sends[1], ShouldEqual, 2)
			So(sim.state.RetriesLeft(sim.now, "engines"), ShouldEqual, before-1)
		})
	})
}

// onlyAttempt returns the only running attempt.
func (sim *simulation) onlyAttempt() Send {
	for _, send := range sim.running {
		return send
	}
	panic("no running attempt")
}

func countCancels(effects []Effect) int {
	count := 0
	for _, effect := range effects {
		if _, isCancel := effect.(Cancel); isCancel {
			count++
		}
	}
	return count
}

func TestDelayedRetriesBeyondBudget(t *testing.T) {
	Convey("Retries that waited for an upstream do not add to those of the next window", t, func() {
		const burst = 20
		sim := newSimulation(8, 1)
		sim.feed(NewRetryLimitsChanged(NewRetryLimits(0, burst, 10*time.Second)))
		// interrupt ends calls in the middle of their streams, which resume once an upstream has room for them.
		interrupt := func(from ID, room time.Duration) {
			for id := from; id < from+burst; id++ {
				sim.arrive(id, "large", "/draft/x")
			}
			sim.run(200 * time.Millisecond)
			targets := sim.targets
			sim.targets = nil
			for _, target := range targets {
				sim.targets = append(sim.targets, NewTarget(target.name, target.address, true, 0))
			}
			for _, attempt := range slices.Sorted(maps.Keys(sim.running)) {
				sim.feed(NewFailed(attempt, Interrupted).WithProgress("7"))
			}
			sim.timers = nil
			sim.run(room)
			sim.targets = targets
			sim.run(100 * time.Millisecond)
		}
		retries := func() int {
			count := 0
			for _, sends := range sim.sends {
				count += sends - 1
			}
			return count
		}

		interrupt(1, 5*time.Second)
		So(retries(), ShouldBeGreaterThan, burst/2)
		clear(sim.running)
		sim.run(5200 * time.Millisecond) // the first retries were granted more than a window ago, and sent half of one ago
		interrupt(1+burst, 0)
		So(retries(), ShouldBeLessThanOrEqualTo, burst)
	})
}

func TestRetryThatIsNotSent(t *testing.T) {
	Convey("A retry that was granted and not sent returns to the budget when its call ends", t, func() {
		sim := newSimulation(2, 1)
		sim.arrive(1, "large", "/draft/x")
		sim.run(200 * time.Millisecond)
		first := sim.onlyAttempt()
		before := sim.state.RetriesLeft(sim.now, "engines")
		sim.state.Reduce(sim.now, sim, NewReplicaBroken(first.Upstream()))
		So(sim.state.RetriesLeft(sim.now, "engines"), ShouldEqual, before-1)
		sim.feed(NewCompleted(first.Attempt())) // before it was cancelled
		So(sim.state.RetriesLeft(sim.now, "engines"), ShouldEqual, before)
	})
}

func TestRetryForgottenWithinWindow(t *testing.T) {
	Convey("A retry counts for a whole window, also if it was sent late in its bucket", t, func() {
		var b budget
		limits := NewRetryLimits(0, 10, 10*time.Second)
		b.countRequest(epoch, limits.window) // begins the bucket
		sentAt := epoch.Add(bucketWidth - time.Millisecond)
		for b.reserve(sentAt, limits, 1) {
			b.spend(sentAt, limits)
		}
		So(b.reserve(sentAt.Add(limits.window), limits, 1), ShouldBeFalse)
		So(b.reserve(sentAt.Add(limits.window+bucketWidth), limits, 1), ShouldBeTrue)
	})
}

// This guards against retries for the requests of the last window being sent at once just before a daemon starts again or its callers go to
// another daemon, which sends as many for the requests of the next window.
func TestRetriesForRequestsCountedTwice(t *testing.T) {
	Convey("Two daemons that get the same requests one after the other don't exceed the ratio of the requests in a window", t, func() {
		const perSecond, seconds = 20, 10
		limits := NewRetryLimits(0.2, 100, seconds*time.Second)
		// fail makes one request after the other fail for a time, and returns the number of retries.
		fail := func(b *budget, from time.Time, d time.Duration, sharers int) (retries int) {
			for at := from; at.Before(from.Add(d)); at = at.Add(time.Second / perSecond) {
				b.countRequest(at, limits.window)
				for b.reserve(at, limits, sharers) {
					b.spend(at, limits)
					retries++
				}
			}
			return retries
		}
		var first, second budget
		for i := range perSecond * seconds {
			first.countRequest(epoch.Add(time.Duration(i)*time.Second/perSecond), limits.window)
		}
		end := epoch.Add(seconds * time.Second)
		retries := fail(&first, end, time.Second, 20)
		So(retries, ShouldBeGreaterThan, 0)
		retries += fail(&second, end.Add(time.Second), (seconds-1)*time.Second, 0) // no share of the burst after the start
		Printf("\n%d retries\n", retries)
		So(retries, ShouldBeLessThanOrEqualTo, int(limits.ratio*perSecond*seconds+limits.burst/20))
	})

	Convey("A daemon that gets a request now and then sends a retry for some", t, func() {
		var b budget
		limits := NewRetryLimits(0.2, 0, 10*time.Second)
		for i := range 10 {
			b.countRequest(epoch.Add(time.Duration(i)*time.Second), limits.window)
		}
		So(b.reserve(epoch.Add(9*time.Second), limits, 1), ShouldBeTrue)
		So(b.reserve(epoch.Add(9*time.Second), limits, 1), ShouldBeFalse)
	})
}
