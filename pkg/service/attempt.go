package service

import (
	"time"

	"github.com/azurepond/azurepond/pkg/caller"
)

// The HTTP statuses with which a service rejects a call. After a 429 the call did not run, after a 503 it may have run.
const (
	tooManyRequests    = 429
	serviceUnavailable = 503
)

// send sends c to an upstream that it has not tried, or ends it.
func (s *State) send(now time.Time, c *call) []Effect {
	u := c.pool.pick(now, s.settings.dataCentre, c.triedAddresses, &s.random)
	if u == nil || len(c.triedAddresses) == maxAttempts {
		return s.giveUp(now, c, caller.NoReplica)
	}
	s.lastAttempt++
	c.attempt, c.upstream = s.lastAttempt, u
	c.triedAddresses = append(c.triedAddresses, u.address)
	u.inFlight++
	s.attempts[c.attempt] = c
	return []Effect{Send{c.attempt, c.Call, u.address, c.notAfter}}
}

// giveUp ends c, which is not in flight and is not sent again.
func (s *State) giveUp(now time.Time, c *call, reason caller.Reason) []Effect {
	var outcome caller.Outcome = caller.NewNotRun(reason, defaultRetryAfter)
	if c.mayHaveRun {
		outcome = caller.NewUnknown(caller.UpstreamFailed)
	}
	effects := s.finish(now, c, outcome)
	if c.needsClaim() {
		effects = append(effects, s.release(now, c)...)
	}
	return effects
}

// endAttempt removes an attempt and returns its call and upstream, nil if the attempt has already ended.
func (s *State) endAttempt(attempt AttemptID) (*call, *upstream) {
	c := s.attempts[attempt]
	if c == nil {
		return nil, nil
	}
	delete(s.attempts, attempt)
	u := c.upstream
	u.inFlight--
	c.upstream = nil
	return c, u
}

func (s *State) reply(now time.Time, attempt AttemptID, answer Answer) []Effect {
	c, _ := s.endAttempt(attempt)
	if c == nil {
		return nil
	}
	refused := answer.status == tooManyRequests
	switch {
	case c.Idempotent():
		busy := refused || answer.status == serviceUnavailable
		if busy && s.spendRetry(now, c) {
			return s.send(now, c)
		}
		return s.finish(now, c, caller.Answered{})
	case refused && !c.finished && now.Before(c.notAfter) && c.pool.spendRetry(s.settings.retryBurst):
		return s.resendRefused(now, c)
	case refused:
		return s.giveUp(now, c, caller.Overload)
	case c.needsClaim():
		effects := s.finish(now, c, caller.Answered{})
		return append(effects, s.recordOutcome(now, c, phaseDone, answer)...)
	}
	return s.finish(now, c, caller.Answered{})
}

// resendRefused sends c, which an upstream rejected, to another one, or ends it if all have rejected it.
func (s *State) resendRefused(now time.Time, c *call) []Effect {
	if c.pool.pick(now, s.settings.dataCentre, c.triedAddresses, &s.random) == nil {
		return s.giveUp(now, c, caller.Overload)
	}
	return s.send(now, c)
}

// spendRetry reports whether an idempotent call may be retried, and counts the retry.
func (s *State) spendRetry(now time.Time, c *call) bool {
	if c.finished || !now.Before(c.Deadline()) || len(c.triedAddresses) == maxAttempts {
		return false
	}
	if c.pool.pick(now, s.settings.dataCentre, c.triedAddresses, &s.random) == nil {
		return false
	}
	return c.pool.spendRetry(s.settings.retryBurst)
}

func (s *State) fail(now time.Time, attempt AttemptID, failure Failure) []Effect {
	c, u := s.endAttempt(attempt)
	if c == nil {
		return nil
	}
	if failure == NotSent {
		u.unreachableUntil = now.Add(unreachableWindow)
		return s.resendUnsent(now, c)
	}
	c.mayHaveRun = true
	switch {
	case c.Idempotent():
		if failure != Halted && s.spendRetry(now, c) {
			return s.send(now, c)
		}
		return s.finish(now, c, caller.NewUnknown(caller.UpstreamFailed))
	case c.needsClaim():
		effects := s.finish(now, c, caller.NewUnknown(caller.UpstreamFailed))
		return append(effects, s.recordOutcome(now, c, phaseUnclear, Answer{})...)
	}
	return s.finish(now, c, caller.NewUnknown(caller.UnreliableUpstream))
}

// resendUnsent sends a call again of which no byte was sent, or ends it if it is too late.
func (s *State) resendUnsent(now time.Time, c *call) []Effect {
	if c.finished || !now.Before(c.notAfter) {
		return s.giveUp(now, c, caller.DeadlineExceeded)
	}
	return s.send(now, c)
}
