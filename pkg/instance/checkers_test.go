package instance

import (
	"fmt"
	"time"
)

// Limits of the checkers: how long a daemon may act on outdated state.
const (
	maxStaleness      = defaultMaxProbeAge + harnessProbeInterval + 2*harnessStep
	maxLeaveNotice    = 5 * time.Second
	maxCallsPerSecond = 6 // requests of one daemon to the store
)

func (h *harness) violation(format string, args ...any) {
	at := fmt.Sprintf("%.1fs ", h.now.Sub(harnessStart).Seconds())
	h.violations = append(h.violations, at+fmt.Sprintf(format, args...))
}

// check runs the checkers of the invariants that hold at any time.
func (h *harness) check() {
	h.checkSharedInstances()
	h.checkLoads()
	for _, d := range h.daemons {
		if !d.frozen {
			h.checkAdopted(d)
		}
	}
}

// checkReplicaWork finds requests to a replica of which a member was not ready with the recorded boot and assignment
// within maxStaleness.
func (h *harness) checkReplicaWork(d *fakeDaemon, s ServingReplica) {
	rs := d.state.replicas[s.replica]
	for rank, slot := range rs.entry.slots {
		f := h.engines[slot.id]
		want := NewAssignment(s.replica, rs.entry.fencingToken)
		if h.now.Sub(f.lastReady[want]) > maxStaleness || h.now.Sub(f.lastAlive[slot.boot]) > maxStaleness {
			h.violation("work: %s sends to %s while rank %d on %s is not ready", d.name, s.replica, rank, slot.id)
		}
		if f.listing.leaving && h.now.Sub(f.leftAt) > maxLeaveNotice {
			h.violation("leaving: %s sends to %s while %s leaves", d.name, s.replica, slot.id)
		}
	}
}

// checkSharedInstances finds an instance that daemons count in two available replicas at once.
func (h *harness) checkSharedInstances() {
	replicas := map[ID]ReplicaID{}
	for _, d := range h.daemons {
		if d.frozen && !h.checkFrozen {
			continue
		}
		for _, rs := range d.state.pools[0].replicas {
			if !rs.available {
				continue
			}
			for _, slot := range rs.entry.slots {
				if other, taken := replicas[slot.id]; taken && other != rs.entry.replica {
					h.violation("shared: %s is in %s and %s", slot.id, other, rs.entry.replica)
				}
				replicas[slot.id] = rs.entry.replica
			}
		}
	}
}

// checkLoads finds more loads at once than the weight store's rate allows. It ignores engines that accepted a late
// order, since no holder can prevent that without fencing tokens.
func (h *harness) checkLoads() {
	loading := 0
	for _, id := range h.engineIDs {
		if f := h.engines[id]; f.loading() && !f.lateOrder {
			loading++
		}
	}
	if loading > h.maxLoads {
		h.violation("loads: %d at once", loading)
	}
}

// checkStored finds two different records with the same revision, and a revision that decreases.
func (h *harness) checkStored(stored *record, data string) {
	known, isKnown := h.storedData[stored.revision]
	if isKnown && known != data {
		h.violation("record: two records with revision %d", stored.revision)
	}
	if stored.revision < h.newestRevision {
		h.violation("record: revision %d after %d", stored.revision, h.newestRevision)
	}
	h.newestRevision = max(h.newestRevision, stored.revision)
	h.storedData[stored.revision] = data
	if !isKnown {
		h.checkMoves(stored)
	}
	h.storedRecords[stored.revision] = stored
}

// checkMoves finds an instance that moves from one replica to another without being free in between.
func (h *harness) checkMoves(stored *record) {
	before := h.storedRecords[stored.revision-1]
	if before == nil {
		return
	}
	positions := before.positions()
	for id, p := range stored.positions() {
		old, wasRecorded := positions[id]
		if wasRecorded && before.entries[old.entry].replica != stored.entries[p.entry].replica {
			h.violation("record: %s moved without being free", id)
		}
	}
}

// checkAdopted finds a daemon that uses a record which the store has never held.
func (h *harness) checkAdopted(d *fakeDaemon) {
	for _, p := range d.state.pools {
		if p.record.revision > 0 && h.storedData[p.record.revision] != string(p.recordData) {
			h.violation("adopted: %s uses revision %d, which was never stored", d.name, p.record.revision)
		}
	}
}

// checkPublished finds a record that is published before it is stored.
func (h *harness) checkPublished(d *fakeDaemon, e Publish) {
	if h.storedData[FencingToken(e.revision)] != string(e.data) {
		h.violation("published: %s publishes revision %d, which was never stored", d.name, e.revision)
	}
}

// checkOrder finds an order that differs from the stored record, and any order long after the store went down.
func (h *harness) checkOrder(o Order) {
	if !o.IsRelease() && !h.isRecorded(o) {
		h.violation("order: %s to %s with token %d, which is not recorded", o.id, o.assignment.replica, o.assignment.fencingToken)
	}
	if h.store.down && h.now.Sub(h.storeDownAt) > defaultLeaseTerm {
		h.violation("outage: order to %s", o.id)
	}
}

// checkStoreCallRate finds a daemon that sends too many requests to the store.
func (h *harness) checkStoreCallRate(d *fakeDaemon) {
	if h.now.Sub(d.secondStart) >= time.Second {
		d.secondStart, d.storeCalls = h.now, 0
	}
	d.storeCalls++
	if d.storeCalls > maxCallsPerSecond {
		h.violation("call rate: %s makes %d calls in a second", d.name, d.storeCalls)
	}
}

// isRecorded reports whether the order matches the newest stored record, or the one before, while the answer to the
// newest write is in flight.
func (h *harness) isRecorded(o Order) bool {
	for _, revision := range []FencingToken{h.newestRevision, h.newestRevision - 1} {
		stored := h.storedRecords[revision]
		if stored == nil {
			continue
		}
		if p, found := stored.positions()[o.id]; found && stored.assignment(p) == o.assignment {
			return true
		}
	}
	return false
}

// startJobs sends one request to each replica that a daemon considers available.
func (h *harness) startJobs(daemons []*fakeDaemon) {
	for _, d := range daemons {
		if d.frozen {
			continue
		}
		for _, model := range d.state.settings.models {
			for _, s := range d.state.ServingReplicas(model.name, h.now) {
				if !h.skipChecks {
					h.checkReplicaWork(d, s)
				}
				h.startJob(s)
			}
		}
	}
}

func (h *harness) startJob(s ServingReplica) {
	j := &job{replica: s.replica, members: s.members, ends: h.now.Add(h.requestTime)}
	for _, id := range s.members {
		f := h.engines[id]
		if !f.answers() || f.assignment.replica != s.replica {
			return
		}
	}
	for _, id := range s.members {
		h.engines[id].running++
	}
	h.jobs = append(h.jobs, j)
}

// endJobs ends the jobs that have finished and those whose member died.
func (h *harness) endJobs() {
	var kept []*job
	for _, j := range h.jobs {
		died := false
		for _, id := range j.members {
			f := h.engines[id]
			j.memberPaused = j.memberPaused || !f.answers()
			died = died || !f.alive || f.running == 0
		}
		if !died && h.now.Before(j.ends) {
			kept = append(kept, j)
			continue
		}
		h.endJob(j)
	}
	h.jobs = kept
}

func (h *harness) endJob(j *job) {
	for _, id := range j.members {
		if f := h.engines[id]; f.running > 0 {
			f.running--
		}
	}
}

// interruptJobs ends the jobs on an instance that took another assignment, and finds jobs that were interrupted
// needlessly. A job is excused if the engine ignores fencing tokens and accepted an order long after its deadline,
// since nothing can prevent that.
func (h *harness) interruptJobs(id ID, excused bool) {
	var kept []*job
	for _, j := range h.jobs {
		if !contains(j.members, id) {
			kept = append(kept, j)
			continue
		}
		if !j.memberPaused && !excused {
			h.violation("interrupted: job of %s on %s", j.replica, id)
		}
		h.endJob(j)
	}
	h.jobs = kept
}

func contains(ids []ID, id ID) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}
