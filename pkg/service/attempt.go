package service

import (
	"time"

	"github.com/azurepond/azurepond/pkg/caller"
)

// The HTTP statuses by which a service turns a call away: 429 before it ran, 503 maybe not.
const (
	tooManyRequests    = 429
	serviceUnavailable = 503
)

// run sends c to an upstream that it did not try yet, or ends it.
func (s *State) run(now time.Time, c *call) []Effect {
	u := c.pool.pick(now, s.settings.centre, c.tried, &s.random)
	if u == nil || len(c.tried) == maxTries {
		return s.giveUp(now, c, caller.NoReplica)
	}
	s.last++
	c.attempt, c.at = s.last, u
	c.tried = append(c.tried, u.address)
	u.flying++
	s.attempts[c.attempt] = c
	return []Effect{Send{c.attempt, c.Call, u.address, c.notAfter}}
}

// giveUp ends c, which is not in flight, for want of an upstream.
func (s *State) giveUp(now time.Time, c *call, reason caller.Reason) []Effect {
	var outcome caller.Outcome = caller.NewNotRun(reason, comeBack)
	if c.ran {
		outcome = caller.NewUnknown(caller.UpstreamFailed)
	}
	effects := s.finish(now, c, outcome)
	if c.keyed() {
		effects = append(effects, s.release(now, c)...)
	}
	return effects
}

// land takes c out of flight; it returns nil for an attempt that is not known, whose report is too late.
func (s *State) land(attempt AttemptID) (*call, *upstream) {
	c := s.attempts[attempt]
	if c == nil {
		return nil, nil
	}
	delete(s.attempts, attempt)
	u := c.at
	u.flying--
	c.at = nil
	return c, u
}

func (s *State) reply(now time.Time, attempt AttemptID, answer Answer) []Effect {
	c, _ := s.land(attempt)
	if c == nil {
		return nil
	}
	refused := answer.status == tooManyRequests
	switch {
	case c.Idempotent():
		busy := refused || answer.status == serviceUnavailable
		if busy && s.mayRetry(now, c) {
			return s.run(now, c)
		}
		return s.finish(now, c, caller.Answered{})
	case refused && !c.finished && now.Before(c.notAfter) && c.pool.spend(s.settings.retryBurst):
		return s.rerun(now, c)
	case refused:
		return s.giveUp(now, c, caller.Overload)
	case c.keyed():
		effects := s.finish(now, c, caller.Answered{})
		return append(effects, s.record(now, c, done, answer)...)
	}
	return s.finish(now, c, caller.Answered{})
}

// rerun sends c, which no upstream ran, to another one, or ends it as refused by all.
func (s *State) rerun(now time.Time, c *call) []Effect {
	if c.pool.pick(now, s.settings.centre, c.tried, &s.random) == nil {
		return s.giveUp(now, c, caller.Overload)
	}
	return s.run(now, c)
}

// mayRetry reports whether an idempotent call may run once more, and counts it.
func (s *State) mayRetry(now time.Time, c *call) bool {
	if c.finished || !now.Before(c.Deadline()) || len(c.tried) == maxTries {
		return false
	}
	if c.pool.pick(now, s.settings.centre, c.tried, &s.random) == nil {
		return false
	}
	return c.pool.spend(s.settings.retryBurst)
}

func (s *State) fail(now time.Time, attempt AttemptID, failure Failure) []Effect {
	c, u := s.land(attempt)
	if c == nil {
		return nil
	}
	if failure == NotSent {
		u.avoided = now.Add(avoidTime)
		return s.unsent(now, c)
	}
	c.ran = true
	switch {
	case c.Idempotent():
		if failure != Halted && s.mayRetry(now, c) {
			return s.run(now, c)
		}
		return s.finish(now, c, caller.NewUnknown(caller.UpstreamFailed))
	case c.keyed():
		effects := s.finish(now, c, caller.NewUnknown(caller.UpstreamFailed))
		return append(effects, s.record(now, c, unclear, Answer{})...)
	}
	return s.finish(now, c, caller.NewUnknown(caller.UnreliableUpstream))
}

// unsent goes on with a call whose attempt left this daemon with no byte.
func (s *State) unsent(now time.Time, c *call) []Effect {
	if c.finished || !now.Before(c.notAfter) {
		return s.giveUp(now, c, caller.DeadlineExceeded)
	}
	return s.run(now, c)
}
