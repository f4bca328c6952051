package instance

import "time"

// dueOrders returns the orders that bring the reported assignments in line with the record. Only instances with a
// recent probe result get one.
func (s *State) dueOrders(now time.Time, p *pool) []Effect {
	var effects []Effect
	for _, id := range s.listedIDs {
		n := s.nodes[id]
		if !s.owns(p, n) || now.Before(n.nextOrder) || !n.fresh(now, s.trustedSince, s.settings.maxProbeAge) {
			continue
		}
		if order, due := s.dueOrder(now, p, n); due {
			n.recordOrder(now, order)
			n.nextOrder = order.deadline.Add(s.settings.maxProbeAge)
			effects = append(effects, order)
		}
	}
	return effects
}

// recordOrder stores the last order and when its assignment was first ordered.
func (n *node) recordOrder(now time.Time, o Order) {
	n.orderDeadline = o.deadline
	if n.orderedAssignment != o.assignment {
		n.orderedAssignment, n.firstOrdered = o.assignment, now
	}
}

// dueOrder returns the order that the instance needs, if any. A member gets none if its boot is not the recorded one,
// or if it needs a load and has no permit.
func (s *State) dueOrder(now time.Time, p *pool, n *node) (Order, bool) {
	at, recorded := p.positions[n.id]
	if !recorded {
		return s.releaseOrder(now, p, n)
	}
	want := p.record.assignment(at)
	have := n.lastProbe.assignment
	if n.lastProbe.boot != p.record.boot(at) || have == want && n.lastProbe.phase != PhaseIdle {
		return Order{}, false
	}
	if needsLoad(n, want) && !p.record.mayLoad(n.id, n.lastProbe.boot) {
		return Order{}, false
	}
	e := &p.record.entries[at.entry]
	order := s.newOrder(now, p, n, want)
	order.model, order.rank, order.members = e.model, at.rank, s.memberAddresses(e, at)
	return order, true
}

// releaseOrder returns the order to become idle. An idle instance gets it too if its last order was another one, so
// that it refuses that order if it arrives late.
func (s *State) releaseOrder(now time.Time, p *pool, n *node) (Order, bool) {
	if n.lastProbe.assignment.replica == "" && n.orderedAssignment.replica == "" {
		return Order{}, false
	}
	return s.newOrder(now, p, n, NewAssignment("", p.record.revision)), true
}

// newOrder returns an order that must be sent before its deadline. The deadline never exceeds the term of the lease.
func (s *State) newOrder(now time.Time, p *pool, n *node, a Assignment) Order {
	deadline := now.Add(s.settings.orderTimeout)
	if until := p.lease.Until(); until.Before(deadline) {
		deadline = until
	}
	return Order{id: n.id, address: n.listing.address, assignment: a, deadline: deadline}
}

// needsLoad reports whether the instance must load from the weight store to reach the assignment want.
func needsLoad(n *node, want Assignment) bool {
	return n.lastProbe.assignment.replica != want.replica || n.lastProbe.phase == PhaseIdle
}

// memberAddresses returns the addresses of the replica in rank order. For a substitute, its own address replaces that
// of the member it will succeed.
func (s *State) memberAddresses(e *entry, at position) []string {
	addresses := make([]string, len(e.slots))
	for rank, slot := range e.slots {
		id := slot.id
		if at.isSubstitute && rank == at.rank {
			id = slot.substitute.id
		}
		if n := s.nodes[id]; n != nil {
			addresses[rank] = n.listing.address
		}
	}
	return addresses
}

// orderAnswered sets when the next order to the instance may go out. A changed probe result brings this time forward.
func (s *State) orderAnswered(now time.Time, e OrderAnswered) []Effect {
	n := s.nodes[e.id]
	if n == nil {
		return nil
	}
	switch e.reply {
	case ReplyAccepted:
		n.nextOrder = now.Add(s.settings.maxProbeAge)
	case ReplyStale:
		n.nextOrder = now.Add(s.settings.maxProbeAge)
		s.rereadRecord(n)
	case ReplyUnanswered:
		n.nextOrder = now.Add(s.settings.orderTimeout)
	}
	return nil
}

// rereadRecord reads the record again, since an instance holds a higher fencing token than the order carried.
func (s *State) rereadRecord(n *node) {
	for _, p := range s.pools {
		if s.owns(p, n) {
			p.writer.Read()
		}
	}
}

// fits reports whether the instance has enough accelerators for one member of m.
func fits(n *node, m Model) bool { return n.listing.accelerators >= m.accelerators }

// sinceProbe returns the time since the instance last answered a probe, the longest duration if it never did.
func (n *node) sinceProbe(now time.Time) time.Duration {
	if !n.probed {
		return time.Duration(1<<63 - 1)
	}
	return now.Sub(n.lastProbe.at)
}
