package instance

import (
	"fmt"
	"time"
)

// Allowances of the checkers: how long a daemon may believe what is no longer so.
const (
	staleness = defaultFresh + rigProbe + 2*rigStep
	leaveTime = 5 * time.Second
	callLimit = 6 // calls of one daemon to the store in one second
)

func (r *rig) fault(format string, args ...any) {
	at := fmt.Sprintf("%.1fs ", r.now.Sub(rigStart).Seconds())
	r.faults = append(r.faults, at+fmt.Sprintf(format, args...))
}

// check runs the checkers of what must hold at any time.
func (r *rig) check() {
	r.checkShared()
	r.checkLoads()
	for _, d := range r.daemons {
		if !d.frozen {
			r.checkAdopted(d)
		}
	}
}

// checkWork finds work for a replica of which a member was not there, as recorded and ready, within the staleness.
func (r *rig) checkWork(d *fakeDaemon, s ServingReplica) {
	g := d.state.groups[s.replica]
	for rank, slot := range g.entry.slots {
		f := r.engines[slot.id]
		want := NewAssignment(s.replica, g.entry.fence)
		if r.now.Sub(f.matched[want]) > staleness || r.now.Sub(f.boots[slot.boot]) > staleness {
			r.fault("work: %s sends to %s without rank %d on %s", d.name, s.replica, rank, slot.id)
		}
		if f.row.leaving && r.now.Sub(f.leftAt) > leaveTime {
			r.fault("leaving: %s sends to %s while %s leaves", d.name, s.replica, slot.id)
		}
	}
}

// checkShared finds an instance that daemons count in two whole replicas at once.
func (r *rig) checkShared() {
	owner := map[ID]ReplicaID{}
	for _, d := range r.daemons {
		if d.frozen && !r.checkFrozen {
			continue
		}
		for _, g := range d.state.pools[0].groups {
			if !g.whole {
				continue
			}
			for _, slot := range g.entry.slots {
				if other, taken := owner[slot.id]; taken && other != g.entry.replica {
					r.fault("shared: %s is in %s and %s", slot.id, other, g.entry.replica)
				}
				owner[slot.id] = g.entry.replica
			}
		}
	}
}

// checkLoads finds more loads at once than the weight store's rate allows; as with cut work, no holder can keep an engine
// that ignores fencing numbers from an order that comes long after its deadline.
func (r *rig) checkLoads() {
	loading := 0
	for _, id := range r.order {
		if f := r.engines[id]; f.loading() && !f.excused {
			loading++
		}
	}
	if loading > r.slots {
		r.fault("loads: %d at once", loading)
	}
}

// checkStored finds a decision that replaced another one under its number, and one with a lower number after it.
func (r *rig) checkStored(stored *record, data string) {
	known, again := r.history[stored.fence]
	if again && known != data {
		r.fault("record: two decisions numbered %d", stored.fence)
	}
	if stored.fence < r.newest {
		r.fault("record: decision %d after %d", stored.fence, r.newest)
	}
	r.newest = max(r.newest, stored.fence)
	r.history[stored.fence] = data
	if !again {
		r.checkMoved(stored)
	}
	r.remembered[stored.fence] = stored
}

// checkMoved finds an instance that goes from one replica to another without being free between.
func (r *rig) checkMoved(stored *record) {
	before := r.remembered[stored.fence-1]
	if before == nil {
		return
	}
	places := before.places()
	for id, p := range stored.places() {
		old, was := places[id]
		if was && before.entries[old.entry].replica != stored.entries[p.entry].replica {
			r.fault("record: %s moved without being free", id)
		}
	}
}

// checkAdopted finds a daemon that acts on a record which the store never held.
func (r *rig) checkAdopted(d *fakeDaemon) {
	for _, p := range d.state.pools {
		if p.record.fence > 0 && r.history[p.record.fence] != string(p.data) {
			r.fault("adopted: %s holds %d, which was never stored", d.name, p.record.fence)
		}
	}
}

// checkPublished finds a record that is spread before it is stored.
func (r *rig) checkPublished(d *fakeDaemon, e Publish) {
	if r.history[FencingToken(e.revision)] != string(e.data) {
		r.fault("published: %s spreads %d, which was never stored", d.name, e.revision)
	}
}

// checkOrder finds an order for what the stored record doesn't say, and any order long after the store went down.
func (r *rig) checkOrder(o Order) {
	if !o.IsRelease() && !r.recorded(o) {
		r.fault("order: %s to %s %d, which is not recorded", o.id, o.assignment.replica, o.assignment.fencingToken)
	}
	if r.store.down && r.now.Sub(r.downAt) > defaultTerm {
		r.fault("outage: order to %s", o.id)
	}
}

// checkStampede finds a daemon that calls the store again and again.
func (r *rig) checkStampede(d *fakeDaemon) {
	if r.now.Sub(d.second) >= time.Second {
		d.second, d.calls = r.now, 0
	}
	d.calls++
	if d.calls > callLimit {
		r.fault("stampede: %s makes %d calls in a second", d.name, d.calls)
	}
}

// recorded reports whether the newest stored record, or the one before while its successor's answer is on its way, says
// what the order says.
func (r *rig) recorded(o Order) bool {
	for _, fence := range []FencingToken{r.newest, r.newest - 1} {
		stored := r.remembered[fence]
		if stored == nil {
			continue
		}
		if p, found := stored.places()[o.id]; found && stored.assignment(p) == o.assignment {
			return true
		}
	}
	return false
}

// startJobs sends one request to every replica that a daemon takes for whole.
func (r *rig) startJobs(daemons []*fakeDaemon) {
	for _, d := range daemons {
		if d.frozen {
			continue
		}
		for _, model := range d.state.settings.models {
			for _, s := range d.state.ServingReplicas(model.name, r.now) {
				if !r.unchecked {
					r.checkWork(d, s)
				}
				r.startJob(s)
			}
		}
	}
}

func (r *rig) startJob(s ServingReplica) {
	j := &job{replica: s.replica, members: s.members, ends: r.now.Add(r.work)}
	for _, id := range s.members {
		f := r.engines[id]
		if !f.answers() || f.assignment.replica != s.replica {
			return
		}
	}
	for _, id := range s.members {
		r.engines[id].running++
	}
	r.jobs = append(r.jobs, j)
}

// endJobs ends what is done and what died with a member.
func (r *rig) endJobs() {
	var kept []*job
	for _, j := range r.jobs {
		died := false
		for _, id := range j.members {
			f := r.engines[id]
			j.hurt = j.hurt || !f.answers()
			died = died || !f.alive || f.running == 0
		}
		if !died && r.now.Before(j.ends) {
			kept = append(kept, j)
			continue
		}
		r.endJob(j)
	}
	r.jobs = kept
}

func (r *rig) endJob(j *job) {
	for _, id := range j.members {
		if f := r.engines[id]; f.running > 0 {
			f.running--
		}
	}
}

// cut ends the work on an instance that took another assignment, and finds work that was cut off without need. An engine
// that ignores fencing numbers and carries out an order long after its deadline can't be kept from it.
func (r *rig) cut(id ID, excused bool) {
	var kept []*job
	for _, j := range r.jobs {
		if !contains(j.members, id) {
			kept = append(kept, j)
			continue
		}
		if !j.hurt && !excused {
			r.fault("cut: work of %s on %s", j.replica, id)
		}
		r.endJob(j)
	}
	r.jobs = kept
}

func contains(ids []ID, id ID) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}
