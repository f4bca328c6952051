package service

import (
	"time"

	"github.com/azurepond/azurepond/pkg/caller"
)

// call is a call that has not finished or whose attempt still runs.
type call struct {
	caller.Call
	pool           *pool
	submittedAt    time.Time
	claimOp        *op
	shard          *shard
	key            key
	notAfter       time.Time // no attempt is sent after it
	attempt        AttemptID // the last one
	upstream       *upstream // of the running attempt, nil for none
	triedAddresses []string
	mayHaveRun     bool // an attempt failed after the call may have reached the upstream
	finished       bool
	finishedAt     time.Time
	cancelSent     bool
}

// needsClaim reports whether the call must hold a claim to run.
func (c *call) needsClaim() bool { return c.claimOp != nil }

// isInFlight reports whether an attempt of the call runs.
func (c *call) isInFlight() bool { return c.upstream != nil }

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
	c := &call{Call: submitted, pool: pool, submittedAt: now, notAfter: submitted.Deadline()}
	if submitted.Idempotent() {
		pool.earnRetry(s.settings.retryRatio)
	}
	if submitted.Idempotent() || submitted.Key() == "" {
		s.track(c)
		return s.send(now, c)
	}
	parsed, valid := parseKey(submitted.Key())
	if !valid || !parsed.accepted(now) {
		return []Effect{Finish{submitted.ID(), caller.NewNotRun(caller.KeyExpired, 0)}}
	}
	c.key = parsed
	s.track(c)
	return s.claimKey(now, c)
}

func (s *State) track(c *call) {
	s.calls[c.ID()] = c
	s.tracked = append(s.tracked, c)
}

// finish reports the outcome of c to its caller, once.
func (s *State) finish(now time.Time, c *call, outcome caller.Outcome) []Effect {
	if !s.markFinished(now, c) {
		return nil
	}
	return []Effect{Finish{c.ID(), outcome}}
}

// markFinished marks c as finished and reports whether its caller was still waiting.
func (s *State) markFinished(now time.Time, c *call) bool {
	if c.finished {
		return false
	}
	c.finished, c.finishedAt = true, now
	delete(s.calls, c.ID())
	if c.needsClaim() && !c.isInFlight() {
		c.claimOp.call = nil
	}
	return true
}

// cancel ends the call of a caller that disconnected. A call that holds a claim and was sent continues, so that its
// answer is stored.
func (s *State) cancel(now time.Time, id caller.ID) []Effect {
	c := s.calls[id]
	if c == nil {
		return nil
	}
	return s.abandon(now, c, caller.Cancelled)
}

// abandon ends a call whose caller no longer waits.
func (s *State) abandon(now time.Time, c *call, reason caller.Reason) []Effect {
	if c.isInFlight() {
		effects := s.finish(now, c, caller.NewUnknown(reason))
		if c.needsClaim() {
			return effects
		}
		return append(effects, s.cancelAttempt(c)...)
	}
	if c.needsClaim() && c.shard.isWaiting(c.claimOp) {
		return s.finish(now, c, caller.NewUnknown(reason))
	}
	return s.finish(now, c, caller.NewNotRun(reason, 0))
}

// cancelAttempt cancels the attempt of c, once.
func (s *State) cancelAttempt(c *call) []Effect {
	if c.cancelSent {
		return nil
	}
	c.cancelSent = true
	return []Effect{Cancel{c.attempt}}
}
