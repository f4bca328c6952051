package instance

// consolidate moves a replica that spans domains into one. A spare of the main domain loads as the substitute of a
// member in another domain while the replica still serves, and replaces it after a short drain. One replacement starts
// at a time, and only while no instance loads, so that nothing else needs the spares.
func (d *draft) consolidate() {
	if len(d.record.loadPermits) > 0 {
		return
	}
	for i := range d.record.entries {
		e := &d.record.entries[i]
		rs := d.replicaState(e)
		if rs == nil || !rs.available {
			continue
		}
		for rank := range e.slots {
			if d.consolidateRank(i, rank) {
				return
			}
		}
	}
}

// consolidateRank assigns a spare of entry i's domain as the substitute of rank if its member is in another domain.
func (d *draft) consolidateRank(i, rank int) bool {
	e := &d.record.entries[i]
	if !d.outsideDomain(e, rank) || e.slots[rank].substitute.id != "" {
		return false
	}
	m, _ := d.model(e)
	spare := d.findSpare(e, m, true)
	if spare < 0 || !d.fitsAndIdle(d.spares[spare], m, d.state.settings.loadTime(m)) {
		return false
	}
	d.assignSubstitute(i, rank, d.takeSpare(spare))
	return true
}

// outsideDomain reports whether the member of rank is in another domain than most members.
func (d *draft) outsideDomain(e *entry, rank int) bool {
	n := d.state.nodes[e.slots[rank].id]
	return n != nil && n.listing.domain != d.domain(e)
}
