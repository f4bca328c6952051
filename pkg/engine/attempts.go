package engine

import (
	"time"

	"github.com/azurepond/azurepond/pkg/caller"
)

const (
	// overloadRetryAfter is the Retry-After time of a call whose attempts were all rejected, or that gets no further one.
	overloadRetryAfter = 2 * time.Second
	// noReplicaRetryAfter is the Retry-After time of a call while no replica is available.
	noReplicaRetryAfter = 5 * time.Second
	// maxRetryAfterJitter is the largest part of a Retry-After time that is added to it at random.
	maxRetryAfterJitter = 0.5
)

func (s *State) submit(now time.Time, r Replicas, admitted caller.Call) []Effect {
	if _, isKnown := s.calls[admitted.ID()]; isKnown {
		return nil
	}
	s.budget(admitted.Target()).refill(s.settings.RetryRatio())
	c := &call{admitted: admitted}
	s.calls[admitted.ID()] = c
	if effects, isStopped := s.checkContent(now, c); isStopped {
		return effects
	}
	return s.send(now, r, c)
}

// send starts the next attempt of c on a replica that c has not tried.
func (s *State) send(now time.Time, r Replicas, c *call) []Effect {
	best, isFound := s.route(now, r, c.admitted, c.triedReplicas)
	switch {
	case isFound:
		return s.sendTo(now, c, best)
	case r.Len(c.admitted.Target()) == 0:
		return s.giveUp(c, caller.NoReplica, noReplicaRetryAfter)
	}
	return s.giveUp(c, exhaustedReason(c), overloadRetryAfter)
}

func (s *State) sendTo(now time.Time, c *call, best candidate) []Effect {
	s.lastAttempt++
	a := &attempt{id: s.lastAttempt, call: c, replica: best.replica, lastProgress: now}
	s.attempts[a.id] = a
	best.replica.begin(now)
	c.runningAttempt = a.id
	c.attemptCount++
	c.triedReplicas = append(c.triedReplicas, best.replica.id)
	for _, hash := range c.admitted.PrefixHashes() {
		s.prefixes.store(hash, best.replica)
	}
	return []Effect{Send{a.id, c.admitted, best.replica.id, best.upstream.address, c.deliveredTokens}}
}

func (s *State) start(now time.Time, id AttemptID) {
	a, isKnown := s.attempts[id]
	if !isKnown || a.started {
		return
	}
	a.started = true
	a.lastProgress = now
}

func (s *State) complete(now time.Time, r Replicas, id AttemptID) []Effect {
	a, isKnown := s.attempts[id]
	if !isKnown {
		return nil
	}
	s.removeAttempt(now, a)
	effects := s.finish(a.call, caller.Answered{})
	return append(effects, s.contentCompleted(now, r, a.call.admitted.Fingerprint())...)
}

// removeAttempt removes an attempt that ended.
func (s *State) removeAttempt(now time.Time, a *attempt) {
	delete(s.attempts, a.id)
	a.replica.end(now)
	a.call.runningAttempt = 0
}

func (s *State) finish(c *call, outcome caller.Outcome) []Effect {
	delete(s.calls, c.admitted.ID())
	s.suspects.release(c)
	return []Effect{Finish{c.admitted.ID(), outcome}}
}

// giveUp ends a call without an answer. The outcome is NotRun only if no engine can have run the call.
func (s *State) giveUp(c *call, reason caller.Reason, retryAfter time.Duration) []Effect {
	if c.mayHaveRun {
		return s.finish(c, caller.NewUnknown(reason))
	}
	return s.finish(c, caller.NewNotRun(reason, retryAfter+s.jitter(retryAfter)))
}

// jitter returns a random part of retryAfter, so that rejected callers don't all retry at the same time.
func (s *State) jitter(retryAfter time.Duration) time.Duration {
	return time.Duration(float64(retryAfter) * maxRetryAfterJitter * fraction(s.random.Uint64()))
}

// fraction maps the high bits of random uniformly to [0, 1).
func fraction(random uint64) float64 { return float64(random>>11) / (1 << 53) }

func (s *State) cancelCall(id caller.ID) []Effect {
	c, isKnown := s.calls[id]
	if !isKnown {
		return nil
	}
	return s.endCall(c, caller.Cancelled)
}

// endCall ends a call for reason: at once if it has no attempt, else when its attempt ends.
func (s *State) endCall(c *call, reason caller.Reason) []Effect {
	if c.runningAttempt == 0 {
		return s.giveUp(c, reason, 0)
	}
	c.endReason = reason
	return s.cancelAttempt(s.attempts[c.runningAttempt])
}

// cancelAttempt cancels an attempt, at most once.
func (s *State) cancelAttempt(a *attempt) []Effect {
	if a.cancelled {
		return nil
	}
	a.cancelled = true
	return []Effect{Cancel{a.id}}
}
