package instance

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// plannerFunc is a planner made of one function.
type plannerFunc func(d *draft)

func (f plannerFunc) plan(d *draft) { f(d) }

// variant is a deliberately broken way to run the daemons, with what a checker must find in it.
type faultyVariant struct {
	name   string
	breaks func(r *harness)
	script []string
	finds  string
}

var faultyVariants = []faultyVariant{
	{"evidence that neither grows old nor is contradicted", breakProbeAge, []string{"kill i000"}, "work:"},
	{"a restart that nobody looks at", breakBootID, []string{"restart i000"}, "work:"},
	{"an instance recorded twice", breakPlanner(recordTwice), []string{"wait"}, "record: instance"},
	{"an instance that moves at once", breakPlanner(moveAtOnce), []string{"kill i000"}, "record: i"},
	{
		"members that are counted where they were", breakShared,
		[]string{"wait", "drain-replica big-1"},
		"shared:",
	},
	{
		"a store that forgets conditions", breakStore,
		[]string{"fuse 1", "kill i000", "fuse 0", "wait", "wait", "thaw all"},
		"record: ",
	},
	{"a lost answer taken for a success", breakLostAnswers, []string{"drop 50", "kill i000", "wait"}, "adopted:"},
	{"a replica that is repaired without a drain", breakPlanner(removeUndrained), []string{"leave i000", "wait"}, "cut:"},
	{"a list that hides who leaves", breakList, []string{"leave i000", "wait"}, "leaving:"},
	{"a holder that goes on in an outage", breakLostAnswers, []string{"down", "wait", "wait", "restart i000", "wait"}, "outage:"},
	{"a driver that retries at once", breakRetry, []string{"down", "wait", "up", "wait"}, "stampede:"},
	{"loads that are forgotten", breakPlanner(dropPermits), []string{"wait", "wait"}, "loads:"},
	{"a rate that is taken for double", breakMaxLoads, []string{"wait", "wait"}, "loads:"},
}

func TestCheckersCatchBrokenVariants(t *testing.T) {
	Convey("Each checker finds the variant that breaks its invariant", t, func() {
		for _, v := range faultyVariants {
			r := smallHarness(1, true)
			if !strings.HasPrefix(v.finds, "loads") {
				r.run(90*time.Second, nil)
			}
			v.breaks(r)
			for _, line := range v.script {
				r.play(line)
				r.run(20*time.Second, nil)
			}
			found := strings.Join(r.violations, "\n")
			So(v.name+": "+found, ShouldContainSubstring, " "+v.finds)
		}
	})
}

func (r *harness) eachState(change func(s *State)) {
	for _, d := range r.daemons {
		change(d.state)
	}
}

func breakProbeAge(r *harness) {
	r.hideFailedProbes = true
	r.eachState(func(s *State) { s.settings.maxProbeAge = time.Hour })
}

func breakBootID(r *harness) { r.hideRestarts = true }

func breakStore(r *harness) { r.store.ignoreVersions = true }

func breakLostAnswers(r *harness) {
	for _, d := range r.daemons {
		d.assumeStored = true
	}
}

func breakRetry(r *harness) {
	for _, d := range r.daemons {
		d.retryAtOnce = true
	}
}

func breakList(r *harness) { r.hideLeaving = true }

func breakMaxLoads(r *harness) {
	r.eachState(func(s *State) { s.pools[0].maxLoads *= 2 })
}

// breakShared makes one daemon keep its old record and old evidence.
func breakShared(r *harness) {
	r.daemons[2].frozen = true
	r.daemons[2].state.settings.maxProbeAge = time.Hour
	r.checkFrozen = true
	r.eachState(func(s *State) { s.planner = plannerFunc(reformAtOnce) })
}

func breakPlanner(plan func(d *draft)) func(r *harness) {
	return func(r *harness) {
		r.eachState(func(s *State) { s.planner = plannerFunc(plan) })
	}
}

// doubled gives the first member of the first replica to the second one too.
func recordTwice(d *draft) {
	d.record.entries[1].slots[0] = d.record.entries[0].slots[0]
	d.changed = true
}

// hasty takes a member of the last replica for the first hole, without a drain or a release.
func moveAtOnce(d *draft) {
	last := len(d.record.entries) - 1
	for rank := range d.record.entries[0].slots {
		if d.condition(&d.record.entries[0], rank) == lost && d.record.entries[last].slots[0].id != "" {
			n := d.state.nodes[d.record.entries[last].slots[0].id]
			d.removeMember(last, 0)
			d.replaceMember(0, rank, n)
			return
		}
	}
}

// undrained replaces a leaving member while work runs.
func removeUndrained(d *draft) {
	for i := range d.record.entries {
		for rank := range d.record.entries[i].slots {
			if d.condition(&d.record.entries[i], rank) == evicted {
				d.removeEntries([]bool{true, false, false, false, false, false, false, false, false})
				return
			}
		}
	}
}

// reformed takes a drained replica apart at once and forms others from its instances.
func reformAtOnce(d *draft) {
	for i := range d.record.entries {
		if d.state.drainedReplicas[d.record.entries[i].replica] {
			gone := make([]bool, len(d.record.entries))
			gone[i] = true
			d.removeEntries(gone)
			return
		}
	}
	policy{}.plan(d)
}

// forgetful drops every load that was permitted.
func dropPermits(d *draft) {
	d.record.loadPermits = nil
	policy{}.plan(d)
}
