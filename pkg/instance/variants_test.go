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
type variant struct {
	name   string
	breaks func(r *rig)
	script []string
	finds  string
}

var variants = []variant{
	{"evidence that neither grows old nor is contradicted", breakFresh, []string{"kill i000"}, "work:"},
	{"a restart that nobody looks at", breakBoot, []string{"restart i000"}, "work:"},
	{"an instance recorded twice", breakPlanner(doubled), []string{"wait"}, "record: instance"},
	{"an instance that moves at once", breakPlanner(hasty), []string{"kill i000"}, "record: i"},
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
	{"a lost answer taken for a success", breakTrust, []string{"drop 50", "kill i000", "wait"}, "adopted:"},
	{"a replica that is repaired without a drain", breakPlanner(undrained), []string{"leave i000", "wait"}, "cut:"},
	{"a list that hides who leaves", breakList, []string{"leave i000", "wait"}, "leaving:"},
	{"a holder that goes on in an outage", breakTrust, []string{"down", "wait", "wait", "restart i000", "wait"}, "outage:"},
	{"a driver that retries at once", breakRetry, []string{"down", "wait", "up", "wait"}, "stampede:"},
	{"loads that are forgotten", breakPlanner(forgetful), []string{"wait", "wait"}, "loads:"},
	{"a rate that is taken for double", breakRate, []string{"wait", "wait"}, "loads:"},
}

func TestCheckersCatchBrokenVariants(t *testing.T) {
	Convey("Each checker finds the variant that breaks its invariant", t, func() {
		for _, v := range variants {
			r := smallRig(1, true)
			if !strings.HasPrefix(v.finds, "loads") {
				r.run(90*time.Second, nil)
			}
			v.breaks(r)
			for _, line := range v.script {
				r.play(line)
				r.run(20*time.Second, nil)
			}
			found := strings.Join(r.faults, "\n")
			So(v.name+": "+found, ShouldContainSubstring, " "+v.finds)
		}
	})
}

func (r *rig) each(change func(s *State)) {
	for _, d := range r.daemons {
		change(d.state)
	}
}

func breakFresh(r *rig) {
	r.deaf = true
	r.each(func(s *State) { s.settings.maxProbeAge = time.Hour })
}

func breakBoot(r *rig) { r.blur = true }

func breakStore(r *rig) { r.store.blind = true }

func breakTrust(r *rig) {
	for _, d := range r.daemons {
		d.trusting = true
	}
}

func breakRetry(r *rig) {
	for _, d := range r.daemons {
		d.eager = true
	}
}

func breakList(r *rig) { r.hideLeaving = true }

func breakRate(r *rig) {
	r.each(func(s *State) { s.pools[0].slots *= 2 })
}

// breakShared makes one daemon keep its old record and old evidence.
func breakShared(r *rig) {
	r.daemons[2].frozen = true
	r.daemons[2].state.settings.maxProbeAge = time.Hour
	r.checkFrozen = true
	r.each(func(s *State) { s.planner = plannerFunc(reformed) })
}

func breakPlanner(plan func(d *draft)) func(r *rig) {
	return func(r *rig) {
		r.each(func(s *State) { s.planner = plannerFunc(plan) })
	}
}

// doubled gives the first member of the first replica to the second one too.
func doubled(d *draft) {
	d.record.entries[1].slots[0] = d.record.entries[0].slots[0]
	d.changed = true
}

// hasty takes a member of the last replica for the first hole, without a drain or a release.
func hasty(d *draft) {
	last := len(d.record.entries) - 1
	for rank := range d.record.entries[0].slots {
		if d.condition(&d.record.entries[0], rank) == lost && d.record.entries[last].slots[0].id != "" {
			n := d.state.nodes[d.record.entries[last].slots[0].id]
			d.vacate(last, 0)
			d.replace(0, rank, n)
			return
		}
	}
}

// undrained replaces a leaving member while work runs.
func undrained(d *draft) {
	for i := range d.record.entries {
		for rank := range d.record.entries[i].slots {
			if d.condition(&d.record.entries[i], rank) == evicted {
				d.remove([]bool{true, false, false, false, false, false, false, false, false})
				return
			}
		}
	}
}

// reformed takes a drained replica apart at once and forms others from its instances.
func reformed(d *draft) {
	for i := range d.record.entries {
		if d.state.drainedReplicas[d.record.entries[i].replica] {
			gone := make([]bool, len(d.record.entries))
			gone[i] = true
			d.remove(gone)
			return
		}
	}
	policy{}.plan(d)
}

// forgetful drops every load that was permitted.
func forgetful(d *draft) {
	d.record.loads = nil
	policy{}.plan(d)
}
