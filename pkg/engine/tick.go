package engine

import (
	"sort"
	"time"

	"github.com/azurepond/azurepond/pkg/caller"
)

func (s *State) tick(now time.Time, r Replicas) []Effect {
	s.discoverReplicas(now, r)
	var effects []Effect
	for _, a := range s.sortedAttempts() {
		effects = append(effects, s.checkAttempt(now, r, a)...)
	}
	for _, c := range append([]*call(nil), s.suspects.held...) {
		if !c.admitted.Deadline().After(now) {
			effects = append(effects, s.giveUp(c, caller.DeadlineExceeded, 0)...)
		}
	}
	effects = append(effects, s.runTrials(now, r)...)
	effects = append(effects, s.readCaches(now, r)...)
	if now.Sub(s.lastCleanup) >= cleanupInterval {
		s.lastCleanup = now
		s.evictReplicas(now)
		s.suspects.evictExpired(now)
	}
	return effects
}

// checkAttempt ends an attempt whose call is past its deadline, whose replica is no longer available, or that makes no
// progress.
func (s *State) checkAttempt(now time.Time, r Replicas, a *attempt) []Effect {
	if !a.call.admitted.Deadline().After(now) {
		return s.endCall(a.call, caller.DeadlineExceeded)
	}
	if _, isAvailable := r.Find(a.replica.id); !isAvailable {
		a.replicaLost = true
		return s.cancelAttempt(a)
	}
	limit := s.settings.StallTimeout()
	if !a.started {
		limit = s.settings.FirstTokenTimeout()
	}
	if now.Sub(a.lastProgress) < limit {
		return nil
	}
	if !a.cancelled {
		a.replica.observeSlowness(now, maxSlowness)
	}
	return s.cancelAttempt(a)
}

// sortedAttempts returns the attempts in the order in which they started.
func (s *State) sortedAttempts() []*attempt {
	list := make([]*attempt, 0, len(s.attempts))
	for _, a := range s.attempts {
		list = append(list, a)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].id < list[j].id })
	return list
}
