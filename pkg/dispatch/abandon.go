package dispatch

import (
	"maps"
	"slices"
	"time"
)

// A broken invariant in the handling of one call must not end the calls of all others. The driver recovers from the panic and abandons that
// call, whose state may be inconsistent. A panic that is about no call is about the state of the daemon, which only a new start repairs.

// workOn notes that a call is handled now.
func (s *State) workOn(c *call) { s.currentCall = c }

// workOnRequest notes that a request for a slot is handled now. One of this daemon belongs to a call that is noted already.
func (s *State) workOnRequest(w slotWaiter) {
	if w.daemon != "" {
		s.currentCall, s.currentRequest = nil, slotRequestKey{w.daemon, w.requestID, w.shard}
	}
}

// slotRequestKey identifies a request of another daemon for a slot.
type slotRequestKey struct {
	daemon    string
	requestID uint64
	shard     Shard
}

// Abandon ends the call for which Reduce has panicked, or forgets the request of another daemon for a slot. It returns the effects that are left
// to carry out, also those from before the panic, and whether there was such a call or request.
func (s *State) Abandon(now time.Time) (effects []Effect, isFound bool) {
	c, request := s.currentCall, s.currentRequest
	s.currentCall, s.currentRequest = nil, slotRequestKey{}
	switch {
	case c != nil && !c.hasEnded:
		s.abandonCall(now, c)
	case request.requestID != 0:
		s.abandonRequest(request)
	default:
		return nil, false
	}
	return s.effects, true
}

// abandonCall ends a call whatever its state is.
func (s *State) abandonCall(now time.Time, c *call) {
	final := c.finalEffect
	for _, id := range slices.Sorted(maps.Keys(s.attempts)) {
		a := s.attempts[id]
		if a.call != c {
			continue
		}
		c.attempt = a
		s.removeAttempt(now, a)
		if !a.isCancelled {
			s.emit(Cancel{a.id})
		}
		c.runs++ // it may have run
	}
	maps.DeleteFunc(s.pendingSlots, func(_ uint64, pending *pendingSlot) bool { return pending.call == c })
	switch {
	case final != nil:
		s.emit(final)
		s.finish(now, c, NoteFailed, "", Internal.String())
	case c.runs > 0 || c.hasPartialAnswer:
		s.emit(Fail{c.id, Internal, false})
		s.finish(now, c, NoteFailed, "", Internal.String())
	default:
		s.refuse(now, c, Internal, 0)
	}
}

// abandonRequest forgets a request of another daemon, which goes on without a reply.
func (s *State) abandonRequest(key slotRequestKey) {
	if table := s.slotTables[key.shard]; table != nil {
		table.waiters = slices.DeleteFunc(table.waiters, func(w slotWaiter) bool {
			return w.daemon == key.daemon && w.requestID == key.requestID
		})
	}
}
