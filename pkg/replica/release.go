package replica

import (
	"maps"
	"slices"
	"time"
)

// An instance joins another replica only once each replica that it may belong to is closed. Only an answer of the head proves
// that: it aborted its calls, or it has nothing to close and left, as it may be about to open. A head that finishes its calls
// is asked again once it is reported ready. If the head is unreachable, the instance itself must answer an order to leave.
// Neither the reported membership nor the record is proof: a report may be older than the opening, and the record is all
// that a new leader knows of the orders of the previous one.

// assignment is a replica that an instance may belong to, and the head of the replica.
type assignment struct {
	replicaEpoch
	head ID
}

// departure says that a start of an instance left a replica.
type departure struct {
	id          ID
	incarnation int64
	replica     replicaEpoch
}

func (n *node) departureFrom(key replicaEpoch) departure { return departure{n.id, n.incarnation, key} }

// isReleased reports whether an instance may join target. If not, it sends the next order that releases the instance.
func (s *State) isReleased(now time.Time, n *node, target replicaEpoch) bool {
	if n.membershipConfirmed.Before(s.leadingSince) {
		s.suspect(now, n.id) // asks for a report of its membership, as its entry may be outdated
		return false
	}
	for _, a := range s.assignments(n) {
		if a.replicaEpoch != target && !s.isClosed(now, n, a) {
			return false
		}
	}
	if other, isFound := s.lateJoin(now, n.id, target); isFound {
		s.logLate(n.id, VerbJoin, other)
		return false
	}
	delete(s.formerAssignments, n.id)
	return true
}

// assignments returns the replicas that an instance may belong to: the one that it reports, and those that it was recorded
// in since it was last released.
func (s *State) assignments(n *node) []assignment {
	candidates := s.formerAssignments[n.id]
	if n.membership.phase == PhaseNone {
		return candidates
	}
	reported := assignment{replicaEpoch: n.membership.replicaEpoch()}
	if head := s.headOf(n.membership); head != nil {
		reported.head = head.id
	}
	if slices.ContainsFunc(candidates, func(a assignment) bool { return a.replicaEpoch == reported.replicaEpoch }) {
		return candidates
	}
	return append(slices.Clone(candidates), reported)
}

// isClosed reports whether a replica accepts and runs no calls. If not, it sends the order that closes it, or that makes n
// leave it.
func (s *State) isClosed(now time.Time, n *node, a assignment) bool {
	head := s.nodes[a.head]
	if !head.isAlive() {
		answeredAt, hasLeft := s.departures[n.departureFrom(a.replicaEpoch)]
		isMember := n.membership.isIn(a.replica, a.epoch) // an order that came late may have made it one again
		switch {
		case hasLeft && !isMember && s.isAfterLate(answeredAt, n.id, VerbJoin, a.replicaEpoch):
			return true
		case s.isAfterLate(now, n.id, VerbJoin, a.replicaEpoch):
			s.send(now, n, Order{verb: VerbLeave, replica: a.replica, epoch: a.epoch}, 0)
		default:
			s.logLate(n.id, VerbJoin, a.replicaEpoch)
		}
		return false
	}
	leftAt, hasLeft := s.departures[head.departureFrom(a.replicaEpoch)]
	isServing := head.membership.replicaEpoch() == a.replicaEpoch && head.membership.isServing()
	switch {
	case isServing:
		delete(s.nothingToClose, a.replicaEpoch)
	case s.closed[a.replicaEpoch] != "":
		return true
	case hasLeft && (s.isAfterLate(leftAt, head.id, VerbOpen, a.replicaEpoch) || s.isAfterLate(leftAt, head.id, VerbJoin, a.replicaEpoch)):
		return true
	case s.nothingToClose[a.replicaEpoch] != "":
		s.send(now, head, Order{verb: VerbLeave, replica: a.replica, epoch: a.epoch}, 0)
		return false
	}
	s.closeReplica(now, head, a.replicaEpoch)
	return false
}

func (s *State) headOf(m Membership) *node {
	for _, n := range s.nodes {
		if n.membership.isIn(m.replica, m.epoch) && n.membership.rank == 0 {
			return n
		}
	}
	return nil
}

// applyEffect applies what a reply says of the replica and of the membership of the instance. After ReplyBegun and ReplyDone
// it sets the membership without waiting for a report.
func (s *State) applyEffect(now time.Time, n *node, e OrderAnswered) {
	key := replicaEpoch{e.order.replica, e.order.epoch}
	if e.reply == ReplyUnfit && (e.order.verb == VerbCloseCut || e.order.verb == VerbCloseWait) {
		s.nothingToClose[key] = n.id // it may be about to open, which a close does not prevent
	}
	if e.reply != ReplyBegun && e.reply != ReplyDone {
		return
	}
	switch e.order.verb {
	case VerbJoin:
		if n.membership.epoch < key.epoch {
			rank := slices.Index(e.order.members, n.id)
			n.setMembership(now, NewMembership(key.replica, key.epoch, rank, PhaseJoining))
		}
	case VerbCloseCut, VerbCloseWait:
		s.applyClose(now, n, e)
	case VerbLeave:
		if s.nothingToClose[key] != "" && s.isAfterLate(now, n.id, VerbOpen, key) && n.membership.isIn(key.replica, key.epoch) && n.membership.rank == 0 {
			s.setClosed(key, n, "left by its head")
		}
		s.departures[n.departureFrom(key)] = now
		if n.membership.isIn(key.replica, key.epoch) {
			n.setMembership(now, Membership{epoch: key.epoch})
		}
	}
}

// applyClose applies the answer of a head to a close. A head that waits for its calls answers ReplyBegun again while it does.
func (s *State) applyClose(now time.Time, n *node, e OrderAnswered) {
	key := replicaEpoch{e.order.replica, e.order.epoch}
	phase := PhaseClosing
	switch {
	case e.reply == ReplyDone:
		s.nothingToClose[key] = n.id
		phase = PhaseReady
	case e.order.verb == VerbCloseCut && !s.isAfterLate(now, n.id, VerbOpen, key):
		s.nothingToClose[key] = n.id // it may open again unless it leaves
		phase = PhaseReady
	case e.order.verb == VerbCloseCut:
		s.setClosed(key, n, "answered")
		if n.membership.phase != PhaseOpen {
			return
		}
	}
	if n.membership.isIn(key.replica, key.epoch) && n.membership.phase != phase {
		n.setMembership(now, NewMembership(key.replica, key.epoch, n.membership.rank, phase))
	}
}

// setMembership sets the membership that follows from an order that the instance carries out.
func (n *node) setMembership(now time.Time, m Membership) {
	n.membership, n.membershipConfirmed, n.membershipChanged = m, now, now
}

// setClosed marks a replica as closed. The reason says what shows that its head serves no more.
func (s *State) setClosed(key replicaEpoch, head *node, reason string) {
	if s.closed[key] == "" && s.leading {
		s.emit(LogEntry{message: "replica closed", replica: key.replica, epoch: key.epoch, members: []ID{head.id}, reason: reason})
	}
	s.closed[key] = head.id
}

// noteRemovals stores the replicas that a new record removes instances from.
func (s *State) noteRemovals(now time.Time, next record) {
	kept := map[replicaEpoch]bool{}
	for _, g := range next.groups {
		kept[replicaEpoch{g.name, g.epoch}] = true
	}
	for _, g := range s.record.groups {
		key := replicaEpoch{g.name, g.epoch}
		if kept[key] {
			continue
		}
		for _, m := range g.members {
			s.formerAssignments[m.id] = append(s.formerAssignments[m.id], assignment{key, g.members[0].id})
		}
	}
	s.forgetClosed(now, next.epoch)
}

// closedRetention is for how many epochs a closed replica is remembered. A release takes two or three.
const closedRetention = 256

// forgetReleases discards what heads and instances answered before, so that they are asked again. Another leader, or one with a
// restored record, may have opened a replica since.
func (s *State) forgetReleases() {
	clear(s.closed)
	clear(s.departures)
	clear(s.nothingToClose)
}

// forgetAnswers discards what an earlier start of an instance answered. The next one knows nothing of it, and orders that were sent before may
// still be carried out by it.
func (s *State) forgetAnswers(id ID) {
	isOfInstance := func(_ replicaEpoch, head ID) bool { return head == id }
	maps.DeleteFunc(s.closed, isOfInstance)
	maps.DeleteFunc(s.nothingToClose, isOfInstance)
	maps.DeleteFunc(s.departures, func(d departure, _ time.Time) bool { return d.id == id })
}

func (s *State) forgetClosed(now time.Time, epoch uint64) {
	for key := range s.closings {
		if key.epoch+closedRetention < epoch {
			delete(s.closings, key)
		}
	}
	for key := range s.closed {
		if key.epoch+closedRetention < epoch {
			delete(s.closed, key)
		}
	}
	for key := range s.nothingToClose {
		if key.epoch+closedRetention < epoch {
			delete(s.nothingToClose, key)
		}
	}
	for d := range s.departures {
		if d.replica.epoch+closedRetention < epoch {
			delete(s.departures, d)
		}
	}
	for id, orders := range s.lateOrders {
		orders = slices.DeleteFunc(orders, func(late *lateOrder) bool { return now.Sub(late.sentAt) >= maxOrderDelay })
		if s.lateOrders[id] = orders; len(orders) == 0 {
			delete(s.lateOrders, id)
		}
	}
	for id := range s.formerAssignments {
		if s.nodes[id] == nil {
			delete(s.formerAssignments, id)
		}
	}
}
