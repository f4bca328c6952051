package instance

import "strconv"

// takeSpare removes and returns the spare at index i.
func (d *draft) takeSpare(i int) *node {
	n := d.spares[i]
	d.spares = append(d.spares[:i:i], d.spares[i+1:]...)
	return n
}

// assignSubstitute makes spare n the substitute of rank of entry i.
func (d *draft) assignSubstitute(i, rank int, n *node) {
	d.changed = true
	d.record.entries[i].slots[rank].substitute = substitute{n.id, n.lastProbe.boot, d.revision}
	d.positions[n.id] = position{i, rank, true}
}

// cancelSubstitute removes the substitute of rank of entry i.
func (d *draft) cancelSubstitute(i, rank int) {
	d.changed = true
	s := &d.record.entries[i].slots[rank]
	delete(d.positions, s.substitute.id)
	s.substitute = substitute{}
}

// promote makes the substitute of rank of entry i its member. All members get a new fencing token.
func (d *draft) promote(i, rank int) {
	s := &d.record.entries[i].slots[rank]
	next := s.substitute
	if d.condition(&d.record.entries[i], rank) == stuck {
		d.state.nodes[s.id].stuckBoot = s.boot
	}
	delete(d.positions, s.id)
	*s = slot{id: next.id, boot: next.boot}
	d.positions[next.id] = position{i, rank, false}
	d.updateFencingToken(i)
}

// replaceMember makes spare n the member of rank of entry i at once, before it has loaded.
func (d *draft) replaceMember(i, rank int, n *node) {
	s := &d.record.entries[i].slots[rank]
	delete(d.positions, s.id)
	*s = slot{id: n.id, boot: n.lastProbe.boot}
	d.positions[n.id] = position{i, rank, false}
	d.updateFencingToken(i)
}

// acceptRestart records the current boot of the member of rank of entry i.
func (d *draft) acceptRestart(i, rank int) {
	s := &d.record.entries[i].slots[rank]
	s.boot = d.state.nodes[s.id].lastProbe.boot
	d.updateFencingToken(i)
}

// removeMember removes the member of rank from entry i, which must be quiescent.
func (d *draft) removeMember(i, rank int) {
	s := &d.record.entries[i].slots[rank]
	delete(d.positions, s.id)
	*s = slot{substitute: s.substitute}
	d.updateFencingToken(i)
}

func (d *draft) updateFencingToken(i int) {
	d.changed = true
	d.record.entries[i].fencingToken = d.revision
	d.record.entries[i].assessment = nil
}

// setDraining sets whether entry i receives no new requests.
func (d *draft) setDraining(i int, draining bool) {
	if d.record.entries[i].draining == draining {
		return
	}
	d.changed = true
	d.record.entries[i].draining = draining
}

// retire drains entry i permanently. It is removed once it is quiescent.
func (d *draft) retire(i int) {
	if d.record.entries[i].retiring {
		return
	}
	d.setDraining(i, true)
	d.changed = true
	d.record.entries[i].retiring = true
}

// removeEntries removes the entries for which removed is set.
func (d *draft) removeEntries(removed []bool) {
	var kept []entry
	for i, e := range d.record.entries {
		if !removed[i] {
			kept = append(kept, e)
		}
	}
	if len(kept) == len(d.record.entries) {
		return
	}
	d.changed = true
	d.record.entries = kept
	d.positions = d.record.positions()
}

// form records a new replica of m with these members, in rank order.
func (d *draft) form(m Model, members []*node) {
	d.changed = true
	i := len(d.record.entries)
	e := entry{replica: d.newReplicaID(m), model: m.name, fencingToken: d.revision}
	for rank, n := range members {
		e.slots = append(e.slots, slot{id: n.id, boot: n.lastProbe.boot})
		d.positions[n.id] = position{i, rank, false}
	}
	d.record.entries = append(d.record.entries, e)
}

// newReplicaID returns an ID that no replica has had. It contains the revision, which only grows.
func (d *draft) newReplicaID(m Model) ReplicaID {
	prefix := m.name + "-" + strconv.FormatUint(uint64(d.revision), 10)
	id := prefix
	for n := 1; d.isRecorded(ReplicaID(id)); n++ {
		id = prefix + "-" + strconv.Itoa(n)
	}
	return ReplicaID(id)
}

func (d *draft) isRecorded(id ReplicaID) bool {
	for i := range d.record.entries {
		if d.record.entries[i].replica == id {
			return true
		}
	}
	return false
}
