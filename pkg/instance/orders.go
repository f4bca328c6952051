package instance

import "time"

// orders returns the orders that bring what instances report in line with the record; only instances that were heard of
// lately, by their recorded start, get any.
func (s *State) orders(now time.Time, p *pool) []Effect {
	var effects []Effect
	for _, id := range s.listed {
		n := s.nodes[id]
		if !s.owns(p, n) || now.Before(n.again) || !n.fresh(now, s.trusted, s.settings.maxProbeAge) {
			continue
		}
		if order, due := s.order(now, p, n); due {
			n.ordered(now, order)
			n.again = order.deadline.Add(s.settings.maxProbeAge)
			effects = append(effects, order)
		}
	}
	return effects
}

// ordered keeps what was ordered last and since when.
func (n *node) ordered(now time.Time, o Order) {
	n.deadline = o.deadline
	if n.wanted != o.assignment {
		n.wanted, n.first = o.assignment, now
	}
}

func (s *State) order(now time.Time, p *pool, n *node) (Order, bool) {
	where, recorded := p.places[n.id]
	if !recorded {
		return s.release(now, p, n)
	}
	want := p.record.assignment(where)
	have := n.sighting.assignment
	if n.sighting.boot != p.record.boot(where) || have == want && n.sighting.phase != Idle {
		return Order{}, false
	}
	if needsLoad(n, want) && !p.record.mayLoad(n.id, n.sighting.boot) {
		return Order{}, false
	}
	e := &p.record.entries[where.entry]
	order := s.newOrder(now, p, n, want)
	order.model, order.rank, order.members = e.model, where.rank, s.members(e, where)
	return order, true
}

// release returns the order to be idle; an instance that is idle gets it too if it was ordered otherwise, so that it
// refuses that order if it comes late.
func (s *State) release(now time.Time, p *pool, n *node) (Order, bool) {
	if n.sighting.assignment.replica == "" && n.wanted.replica == "" {
		return Order{}, false
	}
	return s.newOrder(now, p, n, NewAssignment("", p.record.fence)), true
}

// newOrder returns an order that must be sent before its deadline, which never outlasts the holder's term.
func (s *State) newOrder(now time.Time, p *pool, n *node, a Assignment) Order {
	deadline := now.Add(s.settings.order)
	if until := p.lease.Until(); until.Before(deadline) {
		deadline = until
	}
	return Order{id: n.id, address: n.row.address, assignment: a, deadline: deadline}
}

// needsLoad reports whether the order to take want makes the instance load from the weight store.
func needsLoad(n *node, want Assignment) bool {
	return n.sighting.assignment.replica != want.replica || n.sighting.phase == Idle
}

// members returns the addresses of the replica by rank; a substitute sees itself in the rank that it shall take.
func (s *State) members(e *entry, where place) []string {
	addresses := make([]string, len(e.slots))
	for rank, slot := range e.slots {
		id := slot.id
		if where.substitute && rank == where.rank {
			id = slot.next.id
		}
		if n := s.nodes[id]; n != nil {
			addresses[rank] = n.row.address
		}
	}
	return addresses
}

// ordered takes the reply to an order: after an acceptance the next sighting that says anything new tells, after
// anything else a later try.
func (s *State) ordered(now time.Time, e OrderAnswered) []Effect {
	n := s.nodes[e.id]
	if n == nil {
		return nil
	}
	switch e.reply {
	case Accepted:
		n.again = now.Add(s.settings.maxProbeAge)
	case Stale:
		n.again = now.Add(s.settings.maxProbeAge)
		s.doubtRecord(n)
	case Unanswered:
		n.again = now.Add(s.settings.order)
	}
	return nil
}

// doubtRecord reads the record anew, since an instance holds a newer fencing number than the order carried.
func (s *State) doubtRecord(n *node) {
	for _, p := range s.pools {
		if s.owns(p, n) {
			p.writer.Read()
		}
	}
}

// fits reports whether the instance has what one member of m needs.
func fits(n *node, m Model) bool { return n.row.accelerators >= m.accelerators }

// silence returns how long the instance has not been heard of at now.
func (n *node) silence(now time.Time) time.Duration {
	if !n.seen {
		return time.Duration(1<<63 - 1)
	}
	return now.Sub(n.sighting.at)
}
