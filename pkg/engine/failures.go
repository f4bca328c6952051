package engine

import (
	"time"

	"github.com/azurepond/azurepond/pkg/caller"
)

// slowRatio is how much slower than the others a replica counts whose attempt broke or timed out.
const slowRatio = 4

func (s *State) fail(now time.Time, r Replicas, e Failed) []Effect {
	a, isKnown := s.attempts[e.attempt]
	if !isKnown {
		return nil
	}
	s.drop(now, a)
	c := a.call
	c.tokens = max(c.tokens, e.tokens)
	c.ran = c.ran || mayHaveRun(e.failure)
	if e.failure == Halted && !a.cancelled {
		c.reason = caller.Cancelled
	}
	s.blame(now, a, e.failure)
	var effects []Effect
	if e.failure == Crashed || e.failure == Halted && a.lost {
		effects = s.crash(now, r, a)
	}
	if s.calls[c.call.ID()] != c {
		return effects
	}
	return append(effects, s.recover(now, r, c, e.failure)...)
}

// mayHaveRun reports whether an engine may have run a call whose attempt failed like that.
func mayHaveRun(f Failure) bool {
	switch f {
	case NotSent, RefusedOverload, RefusedPermanently:
		return false
	}
	return true
}

// blame makes the replica of a failed attempt less likely to be chosen. A refusal from overload is no failure of it.
func (s *State) blame(now time.Time, a *attempt, f Failure) {
	switch f {
	case NotSent, Crashed:
		a.own.restart(now)
	case RefusedOverload:
		a.own.busy = now
	case Broken, IdentityMismatch, TimedOut:
		a.own.observe(now, slowRatio)
	}
}

// recover decides what becomes of a call whose attempt failed.
func (s *State) recover(now time.Time, r Replicas, c *call, f Failure) []Effect {
	if c.reason != "" {
		return s.giveUp(c, c.reason, 0)
	}
	if effects, isStopped := s.inspect(now, c); isStopped {
		return effects
	}
	switch {
	case f == RefusedPermanently:
		return s.giveUp(c, caller.Unreliable, 0)
	case c.ran && !c.call.Idempotent():
		return s.giveUp(c, caller.Broken, 0)
	case !c.call.Deadline().After(now):
		return s.giveUp(c, caller.Late, 0)
	case c.count >= s.settings.MaxAttempts():
		return s.giveUp(c, exhausted(c), againBusy)
	case !s.budget(c.call.Target()).spend(s.settings.RetryBurst()):
		return s.giveUp(c, exhausted(c), againBusy)
	}
	return s.send(now, r, c)
}

// exhausted returns why a call is given up after its last attempt.
func exhausted(c *call) caller.Reason {
	if c.ran {
		return caller.Broken
	}
	return caller.Overload
}
