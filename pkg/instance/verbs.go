package instance

import "strconv"

// takeSpare removes the spare at index i from those that are left.
func (d *draft) takeSpare(i int) *node {
	n := d.spares[i]
	d.spares = append(d.spares[:i:i], d.spares[i+1:]...)
	return n
}

// substitute lets spare n load rank of entry i, to become a member later.
func (d *draft) substitute(i, rank int, n *node) {
	d.changed = true
	d.record.entries[i].slots[rank].next = substitute{n.id, n.sighting.boot, d.fence}
	d.places[n.id] = place{i, rank, true}
}

// cancel gives up the substitute of rank of entry i.
func (d *draft) cancel(i, rank int) {
	d.changed = true
	s := &d.record.entries[i].slots[rank]
	delete(d.places, s.next.id)
	s.next = substitute{}
}

// commit makes the substitute of rank of entry i its member; all members get a new fencing number.
func (d *draft) commit(i, rank int) {
	s := &d.record.entries[i].slots[rank]
	next := s.next
	if d.condition(&d.record.entries[i], rank) == stuck {
		d.state.nodes[s.id].failed = s.boot
	}
	delete(d.places, s.id)
	*s = slot{id: next.id, boot: next.boot}
	d.places[next.id] = place{i, rank, false}
	d.renumber(i)
}

// replace makes spare n the member of rank of entry i at once, before it has loaded.
func (d *draft) replace(i, rank int, n *node) {
	s := &d.record.entries[i].slots[rank]
	delete(d.places, s.id)
	*s = slot{id: n.id, boot: n.sighting.boot}
	d.places[n.id] = place{i, rank, false}
	d.renumber(i)
}

// renew takes the present start of the member of rank of entry i for the recorded one.
func (d *draft) renew(i, rank int) {
	s := &d.record.entries[i].slots[rank]
	s.boot = d.state.nodes[s.id].sighting.boot
	d.renumber(i)
}

// vacate takes the member of rank out of entry i, which must be quiescent.
func (d *draft) vacate(i, rank int) {
	s := &d.record.entries[i].slots[rank]
	delete(d.places, s.id)
	*s = slot{next: s.next}
	d.renumber(i)
}

func (d *draft) renumber(i int) {
	d.changed = true
	d.record.entries[i].fence = d.fence
	d.record.entries[i].facts = nil
}

// drain sets whether entry i gets no new work.
func (d *draft) drain(i int, draining bool) {
	if d.record.entries[i].draining == draining {
		return
	}
	d.changed = true
	d.record.entries[i].draining = draining
}

// retire drains entry i for good; remove takes it apart once it is quiescent.
func (d *draft) retire(i int) {
	if d.record.entries[i].retiring {
		return
	}
	d.drain(i, true)
	d.changed = true
	d.record.entries[i].retiring = true
}

// remove takes the entries out of the record for which gone is set.
func (d *draft) remove(gone []bool) {
	var kept []entry
	for i, e := range d.record.entries {
		if !gone[i] {
			kept = append(kept, e)
		}
	}
	if len(kept) == len(d.record.entries) {
		return
	}
	d.changed = true
	d.record.entries = kept
	d.places = d.record.places()
}

// form records a new replica of m from spares, in the order of their ranks.
func (d *draft) form(m Model, members []*node) {
	d.changed = true
	i := len(d.record.entries)
	e := entry{replica: d.newName(m), model: m.name, fence: d.fence}
	for rank, n := range members {
		e.slots = append(e.slots, slot{id: n.id, boot: n.sighting.boot})
		d.places[n.id] = place{i, rank, false}
	}
	d.record.entries = append(d.record.entries, e)
}

// newName returns a name that no replica has had, since the fencing number only grows.
func (d *draft) newName(m Model) ReplicaID {
	base := m.name + "-" + strconv.FormatUint(uint64(d.fence), 10)
	name := base
	for n := 1; d.named(ReplicaID(name)); n++ {
		name = base + "-" + strconv.Itoa(n)
	}
	return ReplicaID(name)
}

func (d *draft) named(name ReplicaID) bool {
	for i := range d.record.entries {
		if d.record.entries[i].replica == name {
			return true
		}
	}
	return false
}
