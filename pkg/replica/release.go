package replica

import (
	"slices"
	"time"
)

// An instance joins another replica only once each replica that it may be in has ended: the head answered a close and was
// seen not to serve, or it had nothing to close and left, since it may be about to open; or, where the head is out of
// reach, the instance answered that it left. Reports and the list lag, and a new leader knows the orders of the one before
// only by the record, so neither is enough by itself.

// place is a replica that an instance may be in, and the head that would serve it.
type assignment struct {
	replicaEpoch
	head ID
}

// departure is the leaving of one replica by one instance.
type departure struct {
	id      ID
	replica replicaEpoch
}

// isReleased reports whether an instance may join target; if not, it orders what is needed.
func (s *State) isReleased(now time.Time, n *node, target replicaEpoch) bool {
	if n.memberConfirmed.Before(s.leadingSince) {
		s.suspect(now, n.id) // it tells its place itself, since an entry may be old
		return false
	}
	for _, p := range s.assignments(n) {
		if p.replicaEpoch != target && !s.isClosed(now, n, p) {
			return false
		}
	}
	delete(s.formerAssignments, n.id)
	return true
}

// places returns the replicas that an instance may be in: the one that it tells of, and those recorded since it joined
// the last one.
func (s *State) assignments(n *node) []assignment {
	places := s.formerAssignments[n.id]
	if n.member.phase == PhaseNone {
		return places
	}
	told := assignment{replicaEpoch: n.member.replicaEpoch()}
	if head := s.headOf(n.member); head != nil {
		told.head = head.id
	}
	if slices.ContainsFunc(places, func(p assignment) bool { return p.replicaEpoch == told.replicaEpoch }) {
		return places
	}
	return append(slices.Clone(places), told)
}

// isEnded reports whether a place of n takes and runs no calls; if not, it orders what ends it.
func (s *State) isClosed(now time.Time, n *node, p assignment) bool {
	head := s.nodes[p.head]
	if !head.isAlive() {
		if s.departures[departure{n.id, p.replicaEpoch}] {
			return true
		}
		s.send(now, n, Order{verb: VerbLeave, replica: p.replica, epoch: p.epoch}, 0)
		return false
	}
	isServing := head.member.replicaEpoch() == p.replicaEpoch && head.member.isServing()
	switch {
	case isServing:
		delete(s.nothingToClose, p.replicaEpoch)
	case s.closed[p.replicaEpoch] || s.departures[departure{head.id, p.replicaEpoch}]:
		return true
	case s.nothingToClose[p.replicaEpoch]:
		s.send(now, head, Order{verb: VerbLeave, replica: p.replica, epoch: p.epoch}, 0)
		return false
	}
	s.closeReplica(now, head, p.replicaEpoch)
	return false
}

func (s *State) headOf(m Membership) *node {
	for _, n := range s.nodes {
		if n.member.isIn(m.replica, m.epoch) && n.member.rank == 0 {
			return n
		}
	}
	return nil
}

// close ends the work of a replica: at once if a member is missing, else after its calls had time to end.
func (s *State) closeReplica(now time.Time, head *node, f replicaEpoch) {
	since, isKnown := s.closingSince[f.replica]
	if !isKnown {
		since = now
		s.closingSince[f.replica] = now
	}
	verb := VerbCloseWait
	if head.member.replicaEpoch() != f || !s.isComplete(head) || now.Sub(since) >= drainTimeout {
		verb = VerbCloseCut
	}
	s.send(now, head, Order{verb: verb, replica: f.replica, epoch: f.epoch}, 0)
}

// answeredOrder takes over what an instance has begun to do, or had done already.
func (s *State) applyEffect(now time.Time, n *node, e OrderAnswered) {
	f := replicaEpoch{e.order.replica, e.order.epoch}
	if e.reply == ReplyUnfit && (e.order.verb == VerbCloseCut || e.order.verb == VerbCloseWait) {
		s.nothingToClose[f] = true // it may be about to open, which a close does not prevent
	}
	if e.reply != ReplyBegun && e.reply != ReplyDone {
		return
	}
	switch e.order.verb {
	case VerbJoin:
		if n.member.epoch < f.epoch {
			rank := slices.Index(e.order.members, n.id)
			n.setMember(now, NewMembership(f.replica, f.epoch, rank, PhaseJoining))
		}
	case VerbCloseCut, VerbCloseWait:
		s.closed[f] = s.closed[f] || e.order.verb == VerbCloseCut && e.reply == ReplyBegun
		s.nothingToClose[f] = s.nothingToClose[f] || e.reply == ReplyDone
		if n.member.isIn(f.replica, f.epoch) && n.member.phase == PhaseOpen {
			n.setMember(now, NewMembership(f.replica, f.epoch, n.member.rank, PhaseClosing))
		}
	case VerbLeave:
		s.departures[departure{n.id, f}] = true
		if n.member.isIn(f.replica, f.epoch) {
			n.setMember(now, Membership{epoch: f.epoch})
		}
	}
}

// place takes over the place that an instance has by an order that it carries out.
func (n *node) setMember(now time.Time, m Membership) {
	n.member, n.memberConfirmed, n.memberChanged = m, now, now
}

// noteEnd takes over that a head that was closing has ended its calls.
func (s *State) noteClosed(before Membership, n *node) {
	if before.phase == PhaseClosing && n.member.phase == PhaseReady && n.member.replicaEpoch() == before.replicaEpoch() {
		s.closed[before.replicaEpoch()] = true
	}
}

// depart remembers the replicas that a new record takes instances out of.
func (s *State) noteRemovals(next record) {
	kept := map[replicaEpoch]bool{}
	for _, g := range next.groups {
		kept[replicaEpoch{g.name, g.epoch}] = true
	}
	for _, g := range s.record.groups {
		f := replicaEpoch{g.name, g.epoch}
		if kept[f] {
			continue
		}
		for _, m := range g.members {
			s.formerAssignments[m.id] = append(s.formerAssignments[m.id], assignment{f, g.members[0].id})
		}
	}
	s.forgetClosed(next.epoch)
}

// endsKept is for how many decisions the end of a replica is remembered; a release takes two or three.
const endsKept = 256

func (s *State) forgetClosed(fence uint64) {
	for f := range s.closed {
		if f.epoch+endsKept < fence {
			delete(s.closed, f)
		}
	}
	for f := range s.nothingToClose {
		if f.epoch+endsKept < fence {
			delete(s.nothingToClose, f)
		}
	}
	for d := range s.departures {
		if d.replica.epoch+endsKept < fence {
			delete(s.departures, d)
		}
	}
	for id := range s.formerAssignments {
		if s.nodes[id] == nil {
			delete(s.formerAssignments, id)
		}
	}
}
