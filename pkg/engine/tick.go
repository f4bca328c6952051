package engine

import (
	"sort"
	"time"

	"github.com/azurepond/azurepond/pkg/caller"
)

func (s *State) tick(now time.Time, r Replicas) []Effect {
	s.survey(now, r)
	var effects []Effect
	for _, a := range s.sortedAttempts() {
		effects = append(effects, s.watch(now, r, a)...)
	}
	for _, c := range append([]*call(nil), s.suspects.held...) {
		if !c.call.Deadline().After(now) {
			effects = append(effects, s.giveUp(c, caller.Late, 0)...)
		}
	}
	effects = append(effects, s.tryAll(now, r)...)
	effects = append(effects, s.read(now, r)...)
	if now.Sub(s.forgotten) >= forgetEvery {
		s.forgotten = now
		s.forget(now)
		s.suspects.forget(now)
	}
	return effects
}

// watch ends an attempt whose call is too late, whose replica isn't whole any more, or that makes no progress.
func (s *State) watch(now time.Time, r Replicas, a *attempt) []Effect {
	if !a.call.call.Deadline().After(now) {
		return s.stop(a.call, caller.Late)
	}
	if _, isWhole := r.Find(a.own.replica); !isWhole {
		a.lost = true
		return s.halt(a)
	}
	limit := s.settings.StallTimeout()
	if !a.started {
		limit = s.settings.FirstTokenTimeout()
	}
	if now.Sub(a.reported) < limit {
		return nil
	}
	if !a.cancelled {
		a.own.observe(now, paceWorst)
	}
	return s.halt(a)
}

// sortedAttempts returns the attempts in the order of their beginning.
func (s *State) sortedAttempts() []*attempt {
	list := make([]*attempt, 0, len(s.attempts))
	for _, a := range s.attempts {
		list = append(list, a)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].id < list[j].id })
	return list
}
