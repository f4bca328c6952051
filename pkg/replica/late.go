package replica

import (
	"slices"
	"time"
)

// An order without an answer may have been accepted, and may be carried out seconds later, after newer orders and by a later start of the
// instance. Until then, an answered leave does not prove that the instance stays out of the replica, and a close not that it stays closed.

// maxOrderDelay is how long after it was sent an order may be carried out.
const maxOrderDelay = 13 * time.Second

// lateOrder is an order that was sent and not answered.
type lateOrder struct {
	verb     Verb
	replica  replicaEpoch
	token    uint64
	sentAt   time.Time
	isLogged bool // that a release waits for it
}

// noteSent stores a join or an open until it is answered.
func (s *State) noteSent(now time.Time, o Order) {
	if o.verb == VerbJoin || o.verb == VerbOpen {
		late := &lateOrder{verb: o.verb, replica: replicaEpoch{o.replica, o.epoch}, token: o.fencingToken, sentAt: now}
		s.lateOrders[o.id] = append(s.lateOrders[o.id], late)
	}
}

// noteAnswered forgets an order that was answered.
func (s *State) noteAnswered(o Order) {
	kept := slices.DeleteFunc(s.lateOrders[o.id], func(late *lateOrder) bool { return late.token == o.fencingToken })
	if s.lateOrders[o.id] = kept; len(kept) == 0 {
		delete(s.lateOrders, o.id)
	}
}

// isInherited reports whether an order of the leader before that concerns a replica may still be carried out at a time.
func (s *State) isInherited(at time.Time, key replicaEpoch) bool {
	return key.epoch <= s.inheritedEpoch && at.Sub(s.inheritedAt) < maxOrderDelay
}

// isAfterLate reports whether at is later than the time at which an unanswered order of a kind to an instance may still be carried out.
func (s *State) isAfterLate(at time.Time, id ID, verb Verb, key replicaEpoch) bool {
	if verb == VerbOpen && s.isInherited(at, key) {
		return false
	}
	return !slices.ContainsFunc(s.lateOrders[id], func(late *lateOrder) bool {
		return late.verb == verb && late.replica == key && at.Sub(late.sentAt) < maxOrderDelay
	})
}

// lateJoin returns a replica of a higher epoch than target, so that an instance in target still accepts its join, that an unanswered join may
// make the instance a member of.
func (s *State) lateJoin(now time.Time, id ID, target replicaEpoch) (other replicaEpoch, isFound bool) {
	for _, late := range s.lateOrders[id] {
		if late.verb == VerbJoin && late.replica.epoch > target.epoch && now.Sub(late.sentAt) < maxOrderDelay {
			return late.replica, true
		}
	}
	return replicaEpoch{}, false
}

// logLate logs once for which orders a release waits.
func (s *State) logLate(id ID, verb Verb, key replicaEpoch) {
	for _, late := range s.lateOrders[id] {
		if late.verb == verb && late.replica == key && !late.isLogged {
			late.isLogged = true
			s.emit(LogEntry{
				message: "release waits for an order that may come late", replica: key.replica, epoch: key.epoch, members: []ID{id}, reason: "not answered",
			})
		}
	}
}
