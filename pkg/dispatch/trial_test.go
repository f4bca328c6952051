package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// crashTogether is when all replicas crash in the tests of this file, before they have answered a request.
const crashTogether = 600 * time.Millisecond

// newStartedCluster returns daemons that have just started before replicas that crash together before the first answer, and sends requests to
// them for a while.
func newStartedCluster(duration time.Duration, arrive func(cl *cluster, daemon int)) *cluster {
	const daemons, interval = 3, 50 * time.Millisecond
	cl := newCluster(daemons, 4, false)
	cl.downTime = replicaDownTime
	for i := range int(duration / interval) {
		cl.after(time.Duration(i)*interval, func() { arrive(cl, i%daemons) })
	}
	cl.after(crashTogether, func() {
		for _, t := range cl.targets {
			cl.crash(t.name)
		}
	})
	return cl
}

// refusedAsSuspect returns how many requests were refused on suspicion that arrived after a time.
func (cl *cluster) refusedAsSuspect(after time.Duration) (refused, all int) {
	for _, c := range cl.calls {
		if c.arrived.Sub(epoch) >= after {
			all++
			if c.isRefused && c.reason == Poison {
				refused++
			}
		}
	}
	return refused, all
}

// This guards against requests that are all refused, since upstreams crashed together that ran them.
func TestCrashesThatComeTogether(t *testing.T) {
	const duration = 12 * time.Second

	Convey("A part that all requests share is not refused after a crash of all replicas", t, func() {
		cl := newStartedCluster(duration, func(cl *cluster, daemon int) { cl.arriveWithParts(daemon, "system") })
		cl.run(duration + time.Second)
		refused, all := cl.refusedAsSuspect(0)
		So(all, ShouldBeGreaterThan, 0)
		So(refused, ShouldEqual, 0)
	})

	Convey("Equal requests are not refused after a crash of all replicas", t, func() {
		cl := newStartedCluster(duration, func(cl *cluster, daemon int) { cl.arriveWith(daemon, callTimeout, 7) })
		cl.run(duration + time.Second)
		refused, all := cl.refusedAsSuspect(0)
		So(all, ShouldBeGreaterThan, 0)
		So(refused, ShouldEqual, 0)
	})
}

// This guards against a suspicion that nothing ends, since requests that could disprove it are refused.
func TestSuspicionIsTriedAgain(t *testing.T) {
	Convey("A part that was refused wrongly is served again after one request with it was answered", t, func() {
		cl := newCluster(3, 4, false)
		owner := int(partHash("system") % 3)
		for i, upstream := range []string{"a", "b", "c", "d"} {
			cl.after(time.Duration(i)*2*momentSpacing, func() { cl.feed(owner, NewPartCrashReported("system", upstream)) })
		}
		const duration = 40 * time.Second
		for i := range int(duration / (100 * time.Millisecond)) {
			cl.after(8*time.Second+time.Duration(i)*100*time.Millisecond, func() { cl.arriveWithParts(i%3, "system") })
		}
		cl.run(8*time.Second + partTrialWaits[0]/2)
		refused, all := cl.refusedAsSuspect(8 * time.Second)
		So(refused, ShouldEqual, all) // it is refused everywhere
		for _, c := range cl.calls {
			So(c.retryAfter, ShouldEqual, suspicionRetryAfter)
		}
		cl.run(partTrialWaits[0] + callTime)
		before := len(cl.calls)
		cl.run(10 * time.Second)
		for _, c := range cl.calls[before:] {
			So(c.isRefused && c.reason == Poison, ShouldBeFalse)
		}
	})

	Convey("A part that crashes replicas costs one replica for each trial, and trials become rare", t, func() {
		cl := newCluster(3, 12, false)
		cl.downTime = replicaDownTime
		const duration = 2 * time.Minute
		for i := range int(duration / (100 * time.Millisecond)) {
			cl.after(time.Duration(i)*100*time.Millisecond, func() {
				if i%5 == 0 && i > 50 {
					cl.arriveWithParts(i%3, "system", poisonPart)
				} else {
					cl.arriveWithParts(i%3, "system", "subject")
				}
			})
		}
		cl.run(duration)
		So(len(cl.crashedAt), ShouldBeGreaterThanOrEqualTo, partCrashesToRefuse)
		first := cl.crashedAt[0]
		late := 0
		for _, at := range cl.crashedAt {
			if at.Sub(first) > partTrialWaits[0]/2 {
				late++
			}
		}
		So(late, ShouldBeBetweenOrEqual, 1, 2) // after 15 s and a minute
		refused, _ := cl.refusedAsSuspect(20 * time.Second)
		So(refused, ShouldBeGreaterThan, 0)
	})

	Convey("Content that was refused wrongly is served again after one copy of it was answered", t, func() {
		cl := newCluster(3, 4, false)
		owner := 7 % 3
		for i, upstream := range []string{"a", "b", "c"} {
			cl.after(time.Duration(i)*2*momentSpacing, func() { cl.feed(owner, NewCrashReported(7, upstream)) })
		}
		const duration = 2 * time.Minute
		for i := range int(duration / (200 * time.Millisecond)) {
			cl.after(6*time.Second+time.Duration(i)*200*time.Millisecond, func() { cl.arriveWith(i%3, callTimeout, 7) })
		}
		cl.run(6*time.Second + contentTrialWaits[0]/2)
		refused, all := cl.refusedAsSuspect(6 * time.Second)
		So(refused, ShouldEqual, all)
		cl.run(contentTrialWaits[0])
		before := len(cl.calls)
		cl.run(10 * time.Second)
		for _, c := range cl.calls[before:] {
			So(c.isRefused && c.reason == Poison, ShouldBeFalse)
		}
	})
}
