package replica

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/azurepond/azurepond/pkg/object"
	"github.com/azurepond/azurepond/pkg/route"

	. "github.com/smartystreets/goconvey/convey"
)

var closingSeeds = flag.Uint64("closing.seeds", 12, "seeds of TestJoinsBesideClosingHeads")

// closingReplica is a replica of two members, of which the head accepts calls and the other one is to join another replica.
type closingReplica struct {
	State
	now time.Time
}

var (
	closingEpoch = replicaEpoch{"r13-1", 13}
	nextEpoch    = replicaEpoch{"r15-1", 15}
)

func newClosingReplica() *closingReplica {
	r := &closingReplica{now: simStart, State: New(NewSettings(object.NewKey("replicas", "main"), "a/1", 1))}
	r.Reduce(r.now, NewConfigured(route.NewEngine(26, small).WithLoadLimits(4, 6, 1, simFormationTime)))
	r.report(0, PhaseOpen)
	r.report(1, PhaseReady)
	r.formerAssignments["other"] = []assignment{{closingEpoch, "head"}}
	return r
}

// report reports the member with this rank in a phase.
func (r *closingReplica) report(rank int, phase Phase) {
	id := []ID{"head", "other"}[rank]
	i := NewInstance(id, string(id), "athens", "d0", 1).WithModels(small.Name()).
		WithMembership(NewMembership(closingEpoch.replica, closingEpoch.epoch, rank, phase))
	r.Reduce(r.now, NewListChanges([]Instance{i}, nil))
}

// release reports whether the other member may join the next replica. If not, the order that is sent meanwhile is answered.
func (r *closingReplica) release(verb Verb, reply Reply) bool {
	r.now = r.now.Add(orderRetryInterval)
	r.effects = nil
	isReleased := r.isReleased(r.now, r.nodes["other"], nextEpoch)
	for _, effect := range r.effects {
		if o, isOrder := effect.(Order); isOrder {
			So(o.Verb(), ShouldEqual, verb)
			r.Reduce(r.now, NewOrderAnswered(o, reply))
		}
	}
	return isReleased
}

func TestOlderReportEndsClose(t *testing.T) {
	Convey("A head that finishes its calls is not taken for closed by a report from before its opening", t, func() {
		for lag, verb := range map[time.Duration]Verb{0: VerbCloseWait, maxReportLag: VerbCloseWait, leavingTime: VerbCloseCut} {
			r := newClosingReplica()
			So(r.release(VerbCloseWait, ReplyBegun), ShouldBeFalse)
			r.now = r.now.Add(lag)
			r.report(0, PhaseReady) // from before the opening
			So(r.release(verb, ReplyUnanswered), ShouldBeFalse)
		}
	})

	Convey("A head that is reported ready after a close is asked at once, and releases the members once it has left", t, func() {
		r := newClosingReplica()
		So(r.release(VerbCloseWait, ReplyBegun), ShouldBeFalse)
		r.report(0, PhaseReady)
		So(r.release(VerbCloseWait, ReplyBegun), ShouldBeFalse) // it still finishes calls
		So(r.nodes["head"].membership.phase, ShouldEqual, PhaseClosing)
		r.report(0, PhaseReady)
		So(r.release(VerbCloseWait, ReplyDone), ShouldBeFalse)
		So(r.release(VerbLeave, ReplyBegun), ShouldBeFalse)
		So(r.release(VerbLeave, ReplyBegun), ShouldBeTrue)
	})
}

func TestClosesOfEarlierLeadership(t *testing.T) {
	Convey("A leader that has led before asks heads again whether they are closed", t, func() {
		r := newClosingReplica()
		r.closed[closingEpoch] = "head"
		r.departures[departure{"head", 1, closingEpoch}] = r.now
		r.now = r.now.Add(maxReportLag)
		r.report(0, PhaseReady)
		r.Reduce(r.now, NewLeadershipChanged(true))
		r.nodes["other"].membershipConfirmed = r.now
		So(r.release(VerbCloseWait, ReplyDone), ShouldBeFalse)
	})
}

func TestJoinsBesideClosingHeads(t *testing.T) {
	Convey("Kills, restarts, outdated entries, changes of the leader and late orders let no instance join while its head finishes calls", t, func() {
		for _, seed := range closingSeedsToRun() {
			sim := disturbClosings(seed)
			So(fmt.Sprint("seed ", seed, sim.violations), ShouldEqual, fmt.Sprint("seed ", seed, []string(nil)))
		}
	})
}

// closingSeedsToRun returns the seeds on which an instance joined beside a serving head when a report ended a close, and the first ones.
func closingSeedsToRun() []uint64 {
	seeds := []uint64{154, 277, 451, 535, 728, 815, 859, 938}
	for seed := range *closingSeeds {
		seeds = append(seeds, seed)
	}
	return seeds
}

// disturbClosings runs a fleet under random disturbances and changes of the demand, which dissolve replicas.
func disturbClosings(seed uint64) *simulation {
	random := rand.New(rand.NewPCG(seed, 53))
	sim := newSimulation(4, 8, 3)
	sim.run(25 * time.Second)
	for _, d := range sim.daemons {
		sim.feed(d, NewCallsArrived())
	}
	sim.dropOrder = func(Order) (bool, time.Duration) {
		return random.Float64() < 0.1, time.Duration(random.Int64N(int64(6 * time.Second)))
	}
	for range 24 {
		e := sim.engines[random.IntN(len(sim.engines))]
		switch random.IntN(6) {
		case 0, 1:
			if !e.down {
				sim.kill(e.id)
				sim.after(time.Duration(random.Int64N(int64(4*time.Second))), func() { sim.start(e.id) })
			}
		case 2:
			if !e.down && !e.entryFrozen {
				sim.freezeEntry(e)
				sim.after(time.Duration(random.Int64N(int64(4*time.Second))), func() { e.entryFrozen = false })
			}
		case 3:
			leader := random.IntN(len(sim.daemons))
			for i, d := range sim.daemons {
				sim.feed(d, NewLeadershipChanged(i == leader))
			}
		default:
			demand := map[string]float64{"large": 1 + 6*random.Float64(), "small": 1 + 6*random.Float64()}
			for _, d := range sim.daemons {
				sim.feed(d, NewDemandReported(demand))
			}
		}
		sim.run(time.Duration(random.Int64N(int64(1500 * time.Millisecond))))
	}
	sim.dropOrder = nil
	sim.run(5 * time.Second)
	return sim
}
