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

// faultyVariant breaks the daemons on purpose and names the violation that a checker must find.
type faultyVariant struct {
	name   string
	inject func(h *harness)
	script []string
	want   string
}

var faultyVariants = []faultyVariant{
	{"probe results that neither expire nor fail", breakProbeAge, []string{"kill i000"}, "work:"},
	{"restarts that the daemons don't see", breakBootID, []string{"restart i000"}, "work:"},
	{"an instance recorded twice", breakPlanner(recordTwice), []string{"wait"}, "record: instance"},
	{"an instance that moves without a drain", breakPlanner(moveAtOnce), []string{"kill i000"}, "record: i"},
	{
		"a daemon that keeps old members", breakShared,
		[]string{"wait", "drain-replica big-1"},
		"shared:",
	},
	{
		"a store that ignores the expected version", breakStore,
		[]string{"freeze-before 1", "kill i000", "freeze-before 0", "wait", "wait", "unfreeze all"},
		"record: ",
	},
	{"a lost answer that counts as a success", breakLostAnswers, []string{"drop-writes 50", "kill i000", "wait"}, "adopted:"},
	{
		"a replica that is repaired without a drain", breakPlanner(removeUndrained),
		[]string{"leave i000", "wait"},
		"interrupted:",
	},
	{"a list without the leaving flag", breakList, []string{"leave i000", "wait"}, "leaving:"},
	{
		"a holder that sends orders in an outage", breakLostAnswers,
		[]string{"store-down", "wait", "wait", "restart i000", "wait"},
		"outage:",
	},
	{"a driver that retries at once", breakRetry, []string{"store-down", "wait", "store-up", "wait"}, "call rate:"},
	{"load permits that are dropped", breakPlanner(dropPermits), []string{"wait", "wait"}, "loads:"},
	{"twice the permitted loads", breakMaxLoads, []string{"wait", "wait"}, "loads:"},
}

func TestCheckersCatchFaultyVariants(t *testing.T) {
	Convey("Each checker finds the variant that violates its invariant", t, func() {
		for _, v := range faultyVariants {
			h := smallHarness(1, true)
			if !strings.HasPrefix(v.want, "loads") {
				h.run(90*time.Second, nil)
			}
			v.inject(h)
			for _, line := range v.script {
				h.play(line)
				h.run(20*time.Second, nil)
			}
			found := strings.Join(h.violations, "\n")
			So(v.name+": "+found, ShouldContainSubstring, " "+v.want)
		}
	})
}

func (h *harness) eachState(change func(s *State)) {
	for _, d := range h.daemons {
		change(d.state)
	}
}

func breakProbeAge(h *harness) {
	h.hideFailedProbes = true
	h.eachState(func(s *State) { s.settings.maxProbeAge = time.Hour })
}

func breakBootID(h *harness) { h.hideRestarts = true }

func breakStore(h *harness) { h.store.ignoreVersions = true }

func breakLostAnswers(h *harness) {
	for _, d := range h.daemons {
		d.assumeStored = true
	}
}

func breakRetry(h *harness) {
	for _, d := range h.daemons {
		d.retryAtOnce = true
	}
}

func breakList(h *harness) { h.hideLeaving = true }

func breakMaxLoads(h *harness) {
	h.eachState(func(s *State) { s.pools[0].maxLoads *= 2 })
}

// breakShared makes one daemon keep its old record and old probe results.
func breakShared(h *harness) {
	h.daemons[2].frozen = true
	h.daemons[2].state.settings.maxProbeAge = time.Hour
	h.checkFrozen = true
	h.eachState(func(s *State) { s.planner = plannerFunc(reformAtOnce) })
}

func breakPlanner(plan func(d *draft)) func(h *harness) {
	return func(h *harness) {
		h.eachState(func(s *State) { s.planner = plannerFunc(plan) })
	}
}

// recordTwice records the first member of the first replica in the second one too.
func recordTwice(d *draft) {
	d.record.entries[1].slots[0] = d.record.entries[0].slots[0]
	d.changed = true
}

// moveAtOnce moves a member of the last replica to the first rank with a lost member, without a drain or a release.
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

// removeUndrained removes the first replica when a member leaves, while requests run.
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

// reformAtOnce removes a drained replica at once and forms others from its instances.
func reformAtOnce(d *draft) {
	for i := range d.record.entries {
		if d.state.drainedReplicas[d.record.entries[i].replica] {
			removed := make([]bool, len(d.record.entries))
			removed[i] = true
			d.removeEntries(removed)
			return
		}
	}
	policy{}.plan(d)
}

// dropPermits removes every load permit.
func dropPermits(d *draft) {
	d.record.loadPermits = nil
	policy{}.plan(d)
}
