package instance

// naivePlanner replaces members at once, takes the first instance that fits and reserves no spares. If greedy is set,
// it forms surplus replicas from all remaining spares; otherwise they stay idle.
type naivePlanner struct{ greedy bool }

func (p naivePlanner) plan(d *draft) {
	d.releaseLoadPermits()
	d.removeRetired()
	for i := range d.record.entries {
		p.repair(d, i)
	}
	for _, m := range d.pool.models {
		p.form(d, m)
	}
	d.grantLoadPermits(false)
}

func (p naivePlanner) repair(d *draft, i int) {
	e := &d.record.entries[i]
	if !e.retiring {
		d.setDraining(i, d.memberLeaves(i))
	}
	for rank := range e.slots {
		n := d.state.nodes[e.slots[rank].id]
		c := d.condition(e, rank)
		if c == restarted {
			d.acceptRestart(i, rank)
			continue
		}
		if c == healthy && d.fresh(n) || (c == evicted || c == drained) && !d.quiescent(e) || len(d.spares) == 0 {
			continue
		}
		d.replaceMember(i, rank, d.takeSpare(0))
	}
}

func (p naivePlanner) form(d *draft, m Model) {
	want := m.replicas
	if p.greedy {
		want += m.surplus
	}
	for d.countRecorded(m) < want && len(d.spares) >= m.span {
		d.form(m, d.spares[:m.span:m.span])
		d.spares = d.spares[m.span:]
	}
}

// memberLeaves reports whether a member leaves, or an operator drains a member or the replica.
func (d *draft) memberLeaves(i int) bool {
	e := &d.record.entries[i]
	c := d.conditionCounts(e)
	return c[evicted]+c[drained] > 0 || d.state.drainedReplicas[e.replica]
}

// countRecorded returns how many replicas of m the record holds.
func (d *draft) countRecorded(m Model) int {
	total := 0
	for i := range d.record.entries {
		if d.record.entries[i].model == m.name {
			total++
		}
	}
	return total
}
