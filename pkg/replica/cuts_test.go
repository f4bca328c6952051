package replica

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// longCalls is the time of the calls in the tests of closes, longer than any repair.
const longCalls = 6 * time.Second

// closeReason closes replicas of a simulation for one reason.
type closeReason struct {
	name  string
	close func(sim *simulation)
}

// reportDemand reports the demand to all daemons, of which any may lead later.
func (sim *simulation) reportDemand(demand map[string]float64) {
	for _, d := range sim.daemons {
		sim.feed(d, NewDemandReported(maps.Clone(demand)))
	}
}

// makeResumable makes all calls ones that may go on at another replica.
func (sim *simulation) makeResumable() {
	for _, d := range sim.daemons {
		sim.feed(d, NewConfigured(d.state.engine).WithResumable(true))
	}
}

// moveDemand moves nearly all demand to the small model, so that replicas of the large one are dissolved.
func (sim *simulation) moveDemand() {
	for range 2 {
		sim.reportDemand(map[string]float64{"large": 0.1, "small": 30})
	}
}

// drain makes the engine called id report that it is leaving. It leaves after leavingTime.
func (sim *simulation) drain(id ID) {
	sim.engine(id).leaving = true
	sim.after(leavingTime, func() { sim.kill(id) })
}

// unlist removes the entry of the engine called id, which serves on, as one that is leaving without a report.
func (sim *simulation) unlist(id ID) {
	for _, d := range sim.daemons {
		delete(d.listed, id)
		sim.feed(d, NewListChanges(nil, []ID{id}))
	}
	e := sim.engine(id)
	sim.engines = slices.DeleteFunc(sim.engines, func(other *simEngine) bool { return other == e })
	sim.unlisted = append(sim.unlisted, e)
}

var closeReasons = []closeReason{
	{"a member is leaving", func(sim *simulation) { sim.drain(memberInMixedDomain(sim, 1)) }},
	{"the head is leaving", func(sim *simulation) { sim.drain(memberInMixedDomain(sim, 0)) }},
	{"several members are leaving one after the other", func(sim *simulation) {
		sim.drain(memberInMixedDomain(sim, 1))
		sim.run(time.Second)
		sim.drain(memberOf(sim, small, 1))
	}},
	{"a member leaves without a report", func(sim *simulation) { sim.unlist(memberInMixedDomain(sim, 1)) }},
	{"the demand for another model grows", (*simulation).moveDemand},
	{"a lost member of another replica is replaced by its members", func(sim *simulation) { sim.kill(memberInMixedDomain(sim, 1)) }},
	{"its data centre is evacuated", func(sim *simulation) {
		for _, e := range sim.engines {
			if e.domain == "d0" && e.membership.rank == 1 {
				e.centre = evacuated
			}
		}
		for _, d := range sim.daemons {
			for _, e := range sim.engines {
				sim.feed(d, NewListChanges([]Instance{sim.instance(e)}, nil))
			}
		}
		sim.evacuate(nil, []string{evacuated})
	}},
}

// This guards against calls that are aborted at a sound head, as its replica was closed for longer than a second and a half.
func TestClosesWaitForCalls(t *testing.T) {
	for _, reason := range closeReasons {
		for _, takeover := range []time.Duration{0, 500 * time.Millisecond, 3 * time.Second} {
			Convey("No call is aborted at a sound head when "+reason.name+", with a new leader after "+takeover.String(), t, func() {
				sim := newLoadedSimulationOf(2, longCalls)
				sim.reportDemand(map[string]float64{"large": 5, "small": 2})
				orders, closes := sim.orders, 0
				sim.onOrder = func(o Order) {
					if o.Verb() == VerbCloseWait {
						closes++
					}
				}
				reason.close(sim)
				sim.run(max(takeover, simStep))
				if takeover > 0 {
					sim.feed(sim.daemons[0], NewLeadershipChanged(false))
					sim.feed(sim.daemons[1], NewLeadershipChanged(true))
				}
				sim.run(30 * time.Second)
				So(sim.orders, ShouldBeGreaterThan, orders)
				So(closes, ShouldBeGreaterThan, 0)
				So(sim.cuts, ShouldBeEmpty)
				So(sim.violations, ShouldBeEmpty)
				So(sim.openByEngines(), ShouldBeGreaterThan, 0)
			})
		}
	}

	for name, leave := range map[string]func(sim *simulation, id ID){
		"with": (*simulation).drain, "without": (*simulation).unlist,
	} {
		Convey("Calls that may go on at another replica may end when a member leaves "+name+" a report", t, func() {
			sim := newLoadedSimulationOf(2, longCalls)
			sim.makeResumable()
			member := memberInMixedDomain(sim, 1)
			replica := fmt.Sprintf("%s@%d", sim.engine(member).membership.replica, sim.engine(member).membership.epoch)
			leave(sim, member)
			sim.run(longCalls + 10*time.Second)
			So(sim.cuts, ShouldNotContain, replica)
		})
	}

	Convey("Calls that may go on at another replica are aborted when the demand for another model has grown", t, func() {
		sim := newLoadedSimulationOf(2, longCalls)
		sim.makeResumable()
		sim.moveDemand()
		sim.run(conversionInterval + resumeDelay + time.Second)
		So(sim.cuts, ShouldNotBeEmpty)
	})

	Convey("The calls at a head that lost a member are aborted at once, so that its instances are free for a repair", t, func() {
		sim := newLoadedSimulationOf(2, longCalls)
		before, aborted := sim.open(0, large), false
		sim.onOrder = func(o Order) { aborted = aborted || o.Verb() == VerbCloseCut }
		sim.kill(memberInMixedDomain(sim, 1))
		sim.run(minSilentTime + time.Second)
		So(aborted, ShouldBeTrue)
		sim.run(longCalls + 2500*time.Millisecond)
		So(sim.open(0, large), ShouldEqual, before)
		So(sim.cuts, ShouldBeEmpty)
	})

	Convey("A head that does not finish its calls is ordered to abort them when all of them are past their deadlines", t, func() {
		for longest, timeout := range map[time.Duration]time.Duration{0: leavingTime, 8 * time.Second: leavingTime, time.Minute: time.Minute} {
			r := newClosingReplica()
			r.Reduce(r.now, NewConfigured(r.engine).WithLongestCall(longest))
			So(r.release(VerbCloseWait, ReplyBegun), ShouldBeFalse)
			r.now = r.now.Add(timeout - 2*orderRetryInterval)
			r.nodes["head"].membership.phase = PhaseClosing
			So(r.release(VerbCloseWait, ReplyBegun), ShouldBeFalse)
			r.now = r.now.Add(orderRetryInterval)
			So(r.release(VerbCloseCut, ReplyBegun), ShouldBeFalse)
			So(string(r.closed[closingEpoch]), ShouldEqual, "head")
		}
	})
}
