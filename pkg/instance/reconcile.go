package instance

// reconcileEntries updates the entries from the probe results before the planner makes new decisions.
func (d *draft) reconcileEntries() {
	for i := range d.record.entries {
		e := &d.record.entries[i]
		if e.retiring {
			continue
		}
		for rank := range e.slots {
			d.reconcileRank(i, rank)
		}
	}
	d.removeRetired()
}

// reconcileRank drops a substitute that is no longer needed or has failed. It accepts a member that has restarted,
// unless the substitute already has a permit to load.
func (d *draft) reconcileRank(i, rank int) {
	e := &d.record.entries[i]
	c := d.condition(e, rank)
	next := e.slots[rank].substitute
	if next.id != "" && (c == healthy && !d.mayReplaceHealthy(e, rank) || d.substituteFailed(e, next)) {
		d.cancelSubstitute(i, rank)
		next = substitute{}
	}
	if c != restarted || d.departing(d.state.nodes[e.slots[rank].id]) {
		return
	}
	if next.id != "" && !d.record.mayLoad(next.id, next.boot) {
		d.cancelSubstitute(i, rank)
		next = substitute{}
	}
	if next.id == "" {
		d.acceptRestart(i, rank)
	}
}

// mayReplaceHealthy reports whether a healthy member may have a substitute, because it is outside the replica's domain
// or expected to leave.
func (d *draft) mayReplaceHealthy(e *entry, rank int) bool {
	return d.outsideDomain(e, rank) || d.expectedToLeave[e.slots[rank].id]
}

// substituteFailed reports whether a substitute is silent, stuck, restarted or about to leave.
func (d *draft) substituteFailed(e *entry, next substitute) bool {
	n := d.state.nodes[next.id]
	if n == nil || d.silent(n) || d.departing(n) {
		return true
	}
	if d.stuck(n, NewAssignment(e.replica, next.fencingToken), d.loadTimeOf(e)) {
		n.stuckBoot = n.lastProbe.boot
		return true
	}
	return n.probed && n.lastProbe.boot != next.boot
}

func (d *draft) removeRetired() {
	removed := make([]bool, len(d.record.entries))
	for i := range d.record.entries {
		e := &d.record.entries[i]
		removed[i] = e.retiring && d.quiescent(e)
	}
	d.removeEntries(removed)
}

// reconcileDrains sets which replicas receive no new requests. A replica drains if an operator drains it or if a member
// leaves. It also drains if a drained or out-of-domain member has a loaded substitute, or if a drained member can't get a
// substitute because its rank is in unfillable. The drain ends once none of this holds and all members are healthy.
func (d *draft) reconcileDrains(unfillable map[openRank]bool) {
	for i := range d.record.entries {
		e := &d.record.entries[i]
		if e.retiring {
			continue
		}
		if d.mustDrain(i, unfillable) {
			d.setDraining(i, true)
			continue
		}
		if e.draining && d.conditionCounts(e)[healthy] == len(e.slots) {
			d.setDraining(i, false)
		}
	}
}

func (d *draft) mustDrain(i int, unfillable map[openRank]bool) bool {
	e := &d.record.entries[i]
	if d.state.drainedReplicas[e.replica] {
		return true
	}
	for rank := range e.slots {
		switch d.condition(e, rank) {
		case evicted:
			return true
		case healthy:
			if d.outsideDomain(e, rank) && d.substituteReady(e, rank) {
				return true
			}
		case drained:
			if d.mustDrainForRank(e, rank, unfillable[openRank{i, rank}]) {
				return true
			}
		}
	}
	return false
}

// mustDrainForRank reports whether the replica must drain because an operator drains its member of rank. If the member
// has a substitute, the replica drains once this one has loaded; it waits up to half a load time for its other
// substitutes. If no substitute is possible, it drains one load time after the operator's request.
func (d *draft) mustDrainForRank(e *entry, rank int, unfillable bool) bool {
	next := e.slots[rank].substitute
	load := d.loadTimeOf(e)
	if next.id == "" {
		return unfillable && d.now.Sub(d.state.drainedInstances[e.slots[rank].id]) >= load
	}
	if !d.substituteReady(e, rank) {
		return false
	}
	return e.draining || !d.substituteLoading(e) || d.now.Sub(d.state.nodes[next.id].changedAt) >= load/2
}

// substituteLoading reports whether any substitute of the replica is still loading.
func (d *draft) substituteLoading(e *entry) bool {
	for rank := range e.slots {
		if e.slots[rank].substitute.id != "" && !d.substituteReady(e, rank) {
			return true
		}
	}
	return false
}

// promoteSubstitutes turns loaded substitutes into members, in replicas that then have a working member in each rank
// and no running requests.
func (d *draft) promoteSubstitutes() {
	for i := range d.record.entries {
		e := &d.record.entries[i]
		if e.retiring || !d.canPromote(e) {
			continue
		}
		for rank := range e.slots {
			if d.substituteReady(e, rank) {
				d.promote(i, rank)
			}
		}
		d.setDraining(i, d.mustDrain(i, nil))
	}
}

func (d *draft) canPromote(e *entry) bool {
	ready := 0
	for rank := range e.slots {
		if d.substituteReady(e, rank) {
			ready++
			continue
		}
		if c := d.condition(e, rank); c != healthy && c != drained {
			return false
		}
	}
	return ready > 0 && (d.conditionCounts(e).broken() || d.quiescent(e))
}
