package instance

import (
	"fmt"
	"time"
)

// Allowances of the checkers: how long a daemon may believe what is no longer so.
const (
	maxStaleness      = defaultMaxProbeAge + harnessProbeInterval + 2*harnessStep
	maxLeaveNotice    = 5 * time.Second
	maxCallsPerSecond = 6 // calls of one daemon to the store in one second
)

func (r *harness) violation(format string, args ...any) {
	at := fmt.Sprintf("%.1fs ", r.now.Sub(harnessStart).Seconds())
	r.violations = append(r.violations, at+fmt.Sprintf(format, args...))
}

// check runs the checkers of what must hold at any time.
func (r *harness) check() {
	r.checkSharedInstances()
	r.checkLoads()
	for _, d := range r.daemons {
		if !d.frozen {
			r.checkAdopted(d)
		}
	}
}

// checkWork finds work for a replica of which a member was not there, as recorded and ready, within the staleness.
func (r *harness) checkReplicaWork(d *fakeDaemon, s ServingReplica) {
	rs := d.state.replicas[s.replica]
	for rank, slot := range rs.entry.slots {
		f := r.engines[slot.id]
		want := NewAssignment(s.replica, rs.entry.fencingToken)
		if r.now.Sub(f.lastReady[want]) > maxStaleness || r.now.Sub(f.lastAlive[slot.boot]) > maxStaleness {
			r.violation("work: %s sends to %s without rank %d on %s", d.name, s.replica, rank, slot.id)
		}
		if f.row.leaving && r.now.Sub(f.leftAt) > maxLeaveNotice {
			r.violation("leaving: %s sends to %s while %s leaves", d.name, s.replica, slot.id)
		}
	}
}

// checkShared finds an instance that daemons count in two whole replicas at once.
func (r *harness) checkSharedInstances() {
	owner := map[ID]ReplicaID{}
	for _, d := range r.daemons {
		if d.frozen && !r.checkFrozen {
			continue
		}
		for _, rs := range d.state.pools[0].replicas {
			if !rs.available {
				continue
			}
			for _, slot := range rs.entry.slots {
				if other, taken := owner[slot.id]; taken && other != rs.entry.replica {
					r.violation("shared: %s is in %s and %s", slot.id, other, rs.entry.replica)
				}
				owner[slot.id] = rs.entry.replica
			}
		}
	}
}

// checkLoads finds more loads at once than the weight store's rate allows; as with cut work, no holder can keep an engine
// that ignores fencing numbers from an order that comes long after its deadline.
func (r *harness) checkLoads() {
	loading := 0
	for _, id := range r.order {
		if f := r.engines[id]; f.loading() && !f.lateOrder {
			loading++
		}
	}
	if loading > r.maxLoads {
		r.violation("loads: %d at once", loading)
	}
}

// checkStored finds a decision that replaced another one under its number, and one with a lower number after it.
func (r *harness) checkStored(stored *record, data string) {
	known, again := r.history[stored.revision]
	if again && known != data {
		r.violation("record: two decisions numbered %d", stored.revision)
	}
	if stored.revision < r.newestRevision {
		r.violation("record: decision %d after %d", stored.revision, r.newestRevision)
	}
	r.newestRevision = max(r.newestRevision, stored.revision)
	r.history[stored.revision] = data
	if !again {
		r.checkMoves(stored)
	}
	r.storedRecords[stored.revision] = stored
}

// checkMoved finds an instance that goes from one replica to another without being free between.
func (r *harness) checkMoves(stored *record) {
	before := r.storedRecords[stored.revision-1]
	if before == nil {
		return
	}
	places := before.positions()
	for id, p := range stored.positions() {
		old, was := places[id]
		if was && before.entries[old.entry].replica != stored.entries[p.entry].replica {
			r.violation("record: %s moved without being free", id)
		}
	}
}

// checkAdopted finds a daemon that acts on a record which the store never held.
func (r *harness) checkAdopted(d *fakeDaemon) {
	for _, p := range d.state.pools {
		if p.record.revision > 0 && r.history[p.record.revision] != string(p.recordData) {
			r.violation("adopted: %s holds %d, which was never stored", d.name, p.record.revision)
		}
	}
}

// checkPublished finds a record that is spread before it is stored.
func (r *harness) checkPublished(d *fakeDaemon, e Publish) {
	if r.history[FencingToken(e.revision)] != string(e.data) {
		r.violation("published: %s spreads %d, which was never stored", d.name, e.revision)
	}
}

// checkOrder finds an order for what the stored record doesn't say, and any order long after the store went down.
func (r *harness) checkOrder(o Order) {
	if !o.IsRelease() && !r.isRecorded(o) {
		r.violation("order: %s to %s %d, which is not recorded", o.id, o.assignment.replica, o.assignment.fencingToken)
	}
	if r.store.down && r.now.Sub(r.downAt) > defaultLeaseTerm {
		r.violation("outage: order to %s", o.id)
	}
}

// checkStampede finds a daemon that calls the store again and again.
func (r *harness) checkStoreCallRate(d *fakeDaemon) {
	if r.now.Sub(d.secondStart) >= time.Second {
		d.secondStart, d.storeCalls = r.now, 0
	}
	d.storeCalls++
	if d.storeCalls > maxCallsPerSecond {
		r.violation("stampede: %s makes %d calls in a second", d.name, d.storeCalls)
	}
}

// recorded reports whether the newest stored record, or the one before while its successor's answer is on its way, says
// what the order says.
func (r *harness) isRecorded(o Order) bool {
	for _, fence := range []FencingToken{r.newestRevision, r.newestRevision - 1} {
		stored := r.storedRecords[fence]
		if stored == nil {
			continue
		}
		if p, found := stored.positions()[o.id]; found && stored.assignment(p) == o.assignment {
			return true
		}
	}
	return false
}

// startJobs sends one request to every replica that a daemon takes for whole.
func (r *harness) startJobs(daemons []*fakeDaemon) {
	for _, d := range daemons {
		if d.frozen {
			continue
		}
		for _, model := range d.state.settings.models {
			for _, s := range d.state.ServingReplicas(model.name, r.now) {
				if !r.skipChecks {
					r.checkReplicaWork(d, s)
				}
				r.startJob(s)
			}
		}
	}
}

func (r *harness) startJob(s ServingReplica) {
	j := &job{replica: s.replica, members: s.members, ends: r.now.Add(r.workTime)}
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
func (r *harness) endJobs() {
	var kept []*job
	for _, j := range r.jobs {
		died := false
		for _, id := range j.members {
			f := r.engines[id]
			j.memberPaused = j.memberPaused || !f.answers()
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

func (r *harness) endJob(j *job) {
	for _, id := range j.members {
		if f := r.engines[id]; f.running > 0 {
			f.running--
		}
	}
}

// cut ends the work on an instance that took another assignment, and finds work that was cut off without need. An engine
// that ignores fencing numbers and carries out an order long after its deadline can't be kept from it.
func (r *harness) interruptJobs(id ID, excused bool) {
	var kept []*job
	for _, j := range r.jobs {
		if !contains(j.members, id) {
			kept = append(kept, j)
			continue
		}
		if !j.memberPaused && !excused {
			r.violation("cut: work of %s on %s", j.replica, id)
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
