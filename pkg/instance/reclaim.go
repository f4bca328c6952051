package instance

// reclaim frees instances for open ranks without a spare: first it retires surplus replicas, then it merges broken
// ones. Instances that are already becoming free count first. It returns the open ranks that nothing will fill.
func (d *draft) reclaim(open []openRank) map[openRank]bool {
	soonFree := d.soonFree()
	unfillable := map[openRank]bool{}
	for _, o := range open {
		e := &d.record.entries[o.entry]
		dataCentre := d.dataCentre(d.domain(e))
		if soonFree[dataCentre] > 0 {
			soonFree[dataCentre]--
			continue
		}
		if d.surplus(e) {
			unfillable[o] = true
			continue
		}
		if freed := d.retireSurplus(e, dataCentre); freed > 0 {
			soonFree[dataCentre] += freed - 1
			continue
		}
		unfillable[o] = d.condition(e, o.rank) == drained || !d.merge(o)
	}
	return unfillable
}

// soonFree counts by data centre the instances that will soon be free: members of retiring replicas, and instances that
// are in no record but still report an assignment.
func (d *draft) soonFree() map[string]int {
	soonFree := map[string]int{}
	for _, id := range d.state.listedIDs {
		n := d.state.nodes[id]
		if !d.usable(n) {
			continue
		}
		at, recorded := d.positions[id]
		if recorded && d.record.entries[at.entry].retiring || !recorded && !n.free() {
			soonFree[n.listing.dataCentre]++
		}
	}
	return soonFree
}

// retireSurplus retires the best dispensable replica for e in the data centre and returns how many instances this will
// free.
func (d *draft) retireSurplus(e *entry, dataCentre string) int {
	best := -1
	for i := range d.record.entries {
		o := &d.record.entries[i]
		if o.retiring || !d.dispensable(o) || d.dataCentre(d.domain(o)) != dataCentre {
			continue
		}
		if best < 0 || d.preferredToRetire(e, o, &d.record.entries[best]) {
			best = i
		}
	}
	if best < 0 {
		return 0
	}
	d.retire(best)
	return len(d.record.entries[best].slots)
}

// dispensable reports whether the model has as many available replicas as wanted without this one.
func (d *draft) dispensable(e *entry) bool {
	m, _ := d.model(e)
	others := 0
	for i := range d.record.entries {
		o := &d.record.entries[i]
		rs := d.replicaState(o)
		if o.model == e.model && o.replica != e.replica && !o.retiring && rs != nil && rs.available {
			others++
		}
	}
	return others >= m.replicas
}

// preferredToRetire reports whether retiring a suits e better than retiring b: the same domain first, then fewer
// instances.
func (d *draft) preferredToRetire(e, a, b *entry) bool {
	domain := d.domain(e)
	inA, inB := d.domain(a) == domain, d.domain(b) == domain
	if inA != inB {
		return inA
	}
	return len(a.slots) < len(b.slots)
}

// merge removes one healthy member from another broken replica of the same domain that has more open ranks. The donor
// is first set to drain in the record, so that no daemon sends it requests if its lost member returns meanwhile.
func (d *draft) merge(open openRank) bool {
	e := &d.record.entries[open.entry]
	donor := d.donor(open.entry)
	if donor < 0 {
		return false
	}
	o := &d.record.entries[donor]
	if !o.draining {
		d.setDraining(donor, true)
		return true
	}
	if !d.quiescent(o) {
		return true
	}
	for rank := range o.slots {
		if d.condition(o, rank) == healthy && d.state.nodes[o.slots[rank].id].listing.domain == d.domain(e) {
			d.removeMember(donor, rank)
			return true
		}
	}
	return false
}

// donor returns the broken entry that entry i may take a member from, -1 for none.
func (d *draft) donor(i int) int {
	e := &d.record.entries[i]
	ours := d.conditionCounts(e).openRanks()
	best, most := -1, 0
	for j := range d.record.entries {
		o := &d.record.entries[j]
		if j == i || o.retiring || !d.brokenTooLong(o) || d.domain(o) != d.domain(e) {
			continue
		}
		theirs := d.conditionCounts(o).openRanks()
		if theirs < ours || theirs == ours && j < i || theirs <= most {
			continue
		}
		best, most = j, theirs
	}
	return best
}

// brokenTooLong reports whether the replica has been broken for one load time. From then on, waiting for its lost
// members costs more than loading again.
func (d *draft) brokenTooLong(e *entry) bool {
	rs := d.replicaState(e)
	if rs == nil || rs.available || !d.blocked(e) || d.inOutage(e) {
		return false
	}
	m, _ := d.model(e)
	return d.now.Sub(rs.unavailableSince) >= d.state.settings.loadTime(m)
}
