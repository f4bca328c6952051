package engine

import (
	"time"

	"github.com/azurepond/azurepond/pkg/caller"
)

// failureSlowness is the slowness recorded for a replica whose attempt broke, timed out or carried the ID of another
// call.
const failureSlowness = 4

func (s *State) fail(now time.Time, r Replicas, e Failed) []Effect {
	a, isKnown := s.attempts[e.attempt]
	if !isKnown {
		return nil
	}
	s.removeAttempt(now, a)
	c := a.call
	c.deliveredTokens = max(c.deliveredTokens, e.tokens)
	c.mayHaveRun = c.mayHaveRun || mayHaveRun(e.failure)
	if e.failure == Halted && !a.cancelled {
		c.endReason = caller.Cancelled
	}
	s.recordFailure(now, a, e.failure)
	var effects []Effect
	if e.failure == Crashed || e.failure == Halted && a.replicaLost {
		effects = s.recordCrash(now, r, a)
	}
	if s.calls[c.admitted.ID()] != c {
		return effects
	}
	return append(effects, s.retryOrEnd(now, r, c, e.failure)...)
}

// mayHaveRun reports whether an engine may have run a call whose attempt failed with failure.
func mayHaveRun(failure Failure) bool {
	switch failure {
	case NotSent, RefusedOverload, RefusedPermanently:
		return false
	}
	return true
}

// recordFailure makes the replica of a failed attempt less likely to be chosen. A rejection because of overload only
// pauses the replica.
func (s *State) recordFailure(now time.Time, a *attempt, failure Failure) {
	switch failure {
	case NotSent, Crashed:
		a.replica.recordFailure(now)
	case RefusedOverload:
		a.replica.lastOverload = now
	case Broken, IdentityMismatch, TimedOut:
		a.replica.observeSlowness(now, failureSlowness)
	}
}

// retryOrEnd retries, holds or ends a call whose attempt failed.
func (s *State) retryOrEnd(now time.Time, r Replicas, c *call, failure Failure) []Effect {
	if c.endReason != "" {
		return s.giveUp(c, c.endReason, 0)
	}
	if effects, isStopped := s.checkContent(now, c); isStopped {
		return effects
	}
	switch {
	case failure == RefusedPermanently:
		return s.giveUp(c, caller.UnreliableUpstream, 0)
	case c.mayHaveRun && !c.admitted.Idempotent():
		return s.giveUp(c, caller.UpstreamFailed, 0)
	case !c.admitted.Deadline().After(now):
		return s.giveUp(c, caller.DeadlineExceeded, 0)
	case c.attemptCount >= s.settings.MaxAttempts():
		return s.giveUp(c, exhaustedReason(c), overloadRetryAfter)
	case !s.budget(c.admitted.Target()).spend(s.settings.RetryBurst()):
		return s.giveUp(c, exhaustedReason(c), overloadRetryAfter)
	}
	return s.send(now, r, c)
}

// exhaustedReason returns the reason for ending a call after its last attempt.
func exhaustedReason(c *call) caller.Reason {
	if c.mayHaveRun {
		return caller.UpstreamFailed
	}
	return caller.Overload
}
