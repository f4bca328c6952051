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
type place struct {
	formation
	head ID
}

// departure is the leaving of one replica by one instance.
type departure struct {
	id   ID
	from formation
}

// isReleased reports whether an instance may join target; if not, it orders what is needed.
func (s *State) isReleased(now time.Time, n *node, target formation) bool {
	if n.sure.Before(s.since) {
		s.suspect(now, n.id) // it tells its place itself, since an entry may be old
		return false
	}
	for _, p := range s.places(n) {
		if p.formation != target && !s.isEnded(now, n, p) {
			return false
		}
	}
	delete(s.past, n.id)
	return true
}

// places returns the replicas that an instance may be in: the one that it tells of, and those recorded since it joined
// the last one.
func (s *State) places(n *node) []place {
	places := s.past[n.id]
	if n.member.phase == PhaseNone {
		return places
	}
	told := place{formation: n.member.formation()}
	if head := s.headOf(n.member); head != nil {
		told.head = head.id
	}
	if slices.ContainsFunc(places, func(p place) bool { return p.formation == told.formation }) {
		return places
	}
	return append(slices.Clone(places), told)
}

// isEnded reports whether a place of n takes and runs no calls; if not, it orders what ends it.
func (s *State) isEnded(now time.Time, n *node, p place) bool {
	head := s.nodes[p.head]
	if !head.lives() {
		if s.left[departure{n.id, p.formation}] {
			return true
		}
		s.send(now, n, Order{verb: VerbLeave, replica: p.replica, epoch: p.epoch}, 0)
		return false
	}
	isServing := head.member.formation() == p.formation && head.member.serves()
	switch {
	case isServing:
		delete(s.unopened, p.formation)
	case s.ended[p.formation] || s.left[departure{head.id, p.formation}]:
		return true
	case s.unopened[p.formation]:
		s.send(now, head, Order{verb: VerbLeave, replica: p.replica, epoch: p.epoch}, 0)
		return false
	}
	s.close(now, head, p.formation)
	return false
}

func (s *State) headOf(m Membership) *node {
	for _, n := range s.nodes {
		if n.member.isOf(m.replica, m.epoch) && n.member.rank == 0 {
			return n
		}
	}
	return nil
}

// close ends the work of a replica: at once if a member is missing, else after its calls had time to end.
func (s *State) close(now time.Time, head *node, f formation) {
	since, isKnown := s.drains[f.replica]
	if !isKnown {
		since = now
		s.drains[f.replica] = now
	}
	verb := VerbCloseWait
	if head.member.formation() != f || !s.isComplete(head) || now.Sub(since) >= drainLimit {
		verb = VerbCloseCut
	}
	s.send(now, head, Order{verb: verb, replica: f.replica, epoch: f.epoch}, 0)
}

// answeredOrder takes over what an instance has begun to do, or had done already.
func (s *State) answeredOrder(now time.Time, n *node, e OrderAnswered) {
	f := formation{e.order.replica, e.order.epoch}
	if e.reply == ReplyUnfit && (e.order.verb == VerbCloseCut || e.order.verb == VerbCloseWait) {
		s.unopened[f] = true // it may be about to open, which a close does not prevent
	}
	if e.reply != ReplyBegun && e.reply != ReplyDone {
		return
	}
	switch e.order.verb {
	case VerbJoin:
		if n.member.epoch < f.epoch {
			rank := slices.Index(e.order.members, n.id)
			n.place(now, NewMembership(f.replica, f.epoch, rank, PhaseJoining))
		}
	case VerbCloseCut, VerbCloseWait:
		s.ended[f] = s.ended[f] || e.order.verb == VerbCloseCut && e.reply == ReplyBegun
		s.unopened[f] = s.unopened[f] || e.reply == ReplyDone
		if n.member.isOf(f.replica, f.epoch) && n.member.phase == PhaseOpen {
			n.place(now, NewMembership(f.replica, f.epoch, n.member.rank, PhaseClosing))
		}
	case VerbLeave:
		s.left[departure{n.id, f}] = true
		if n.member.isOf(f.replica, f.epoch) {
			n.place(now, Membership{epoch: f.epoch})
		}
	}
}

// place takes over the place that an instance has by an order that it carries out.
func (n *node) place(now time.Time, m Membership) { n.member, n.sure, n.changed = m, now, now }

// noteEnd takes over that a head that was closing has ended its calls.
func (s *State) noteEnd(before Membership, n *node) {
	if before.phase == PhaseClosing && n.member.phase == PhaseReady && n.member.formation() == before.formation() {
		s.ended[before.formation()] = true
	}
}

// depart remembers the replicas that a new record takes instances out of.
func (s *State) depart(next record) {
	kept := map[formation]bool{}
	for _, g := range next.groups {
		kept[formation{g.name, g.epoch}] = true
	}
	for _, g := range s.record.groups {
		f := formation{g.name, g.epoch}
		if kept[f] {
			continue
		}
		for _, m := range g.members {
			s.past[m.id] = append(s.past[m.id], place{f, g.members[0].id})
		}
	}
	s.forgetEnds(next.fence)
}

// endsKept is for how many decisions the end of a replica is remembered; a release takes two or three.
const endsKept = 256

func (s *State) forgetEnds(fence uint64) {
	for f := range s.ended {
		if f.epoch+endsKept < fence {
			delete(s.ended, f)
		}
	}
	for f := range s.unopened {
		if f.epoch+endsKept < fence {
			delete(s.unopened, f)
		}
	}
	for d := range s.left {
		if d.from.epoch+endsKept < fence {
			delete(s.left, d)
		}
	}
	for id := range s.past {
		if s.nodes[id] == nil {
			delete(s.past, id)
		}
	}
}
