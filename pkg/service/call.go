package service

import (
	"time"

	"github.com/azurepond/azurepond/pkg/caller"
)

// call is a call that has not finished, or one whose attempt still runs.
type call struct {
	caller.Call
	pool     *pool
	born     time.Time
	claim    *op
	shard    *shard
	key      key
	notAfter time.Time
	attempt  AttemptID
	at       *upstream
	tried    []string
	ran      bool
	finished bool
	told     time.Time
	halted   bool
}

// keyed reports whether the call must hold a claim to run.
func (c *call) keyed() bool { return c.claim != nil }

// flying reports whether an attempt of the call runs.
func (c *call) flying() bool { return c.at != nil }

func (s *State) submit(now time.Time, submitted caller.Call) []Effect {
	if _, exists := s.calls[submitted.ID()]; exists {
		panic("service: a call was submitted twice")
	}
	pool := s.pools[submitted.Target()]
	if pool == nil {
		return []Effect{Finish{submitted.ID(), caller.NewNotRun(caller.UnknownTarget, 0)}}
	}
	if !now.Before(submitted.Deadline()) {
		return []Effect{Finish{submitted.ID(), caller.NewNotRun(caller.DeadlineExceeded, 0)}}
	}
	c := &call{Call: submitted, pool: pool, born: now, notAfter: submitted.Deadline()}
	if submitted.Idempotent() {
		pool.earn(s.settings.retryRatio)
	}
	if submitted.Idempotent() || submitted.Key() == "" {
		s.add(c)
		return s.run(now, c)
	}
	parsed, valid := parseKey(submitted.Key())
	if !valid || !parsed.accepted(now) {
		return []Effect{Finish{submitted.ID(), caller.NewNotRun(caller.KeyExpired, 0)}}
	}
	c.key = parsed
	s.add(c)
	return s.take(now, c)
}

func (s *State) add(c *call) {
	s.calls[c.ID()] = c
	s.order = append(s.order, c)
}

// finish tells the caller how its call ended, once.
func (s *State) finish(now time.Time, c *call, outcome caller.Outcome) []Effect {
	if !s.end(now, c) {
		return nil
	}
	return []Effect{Finish{c.ID(), outcome}}
}

// end forgets the caller of c and reports whether it was still waiting.
func (s *State) end(now time.Time, c *call) bool {
	if c.finished {
		return false
	}
	c.finished, c.told = true, now
	delete(s.calls, c.ID())
	if c.keyed() && !c.flying() {
		c.claim.call = nil
	}
	return true
}

// cancel ends the call of a caller that left; one that holds a claim and was sent runs on, so that its answer is kept.
func (s *State) cancel(now time.Time, id caller.ID) []Effect {
	c := s.calls[id]
	if c == nil {
		return nil
	}
	return s.abandon(now, c, caller.Cancelled)
}

// abandon ends a call that nobody waits for any more.
func (s *State) abandon(now time.Time, c *call, reason caller.Reason) []Effect {
	if c.flying() {
		effects := s.finish(now, c, caller.NewUnknown(reason))
		if c.keyed() {
			return effects
		}
		return append(effects, s.halt(c)...)
	}
	if c.keyed() && c.shard.waits(c.claim) {
		return s.finish(now, c, caller.NewUnknown(reason))
	}
	return s.finish(now, c, caller.NewNotRun(reason, 0))
}

// halt cancels the attempt of c, once.
func (s *State) halt(c *call) []Effect {
	if c.halted {
		return nil
	}
	c.halted = true
	return []Effect{Cancel{c.attempt}}
}
