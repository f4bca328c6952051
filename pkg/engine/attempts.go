package engine

import (
	"time"

	"github.com/azurepond/azurepond/pkg/caller"
)

const (
	// againBusy is when to come back after all attempts were turned away.
	againBusy = 2 * time.Second
	// againRepair is when to come back while no replica takes calls.
	againRepair = 5 * time.Second
	// againJitter is the largest part by which the time to come back is drawn out.
	againJitter = 0.5
)

func (s *State) submit(now time.Time, r Replicas, admitted caller.Call) []Effect {
	if _, isKnown := s.calls[admitted.ID()]; isKnown {
		return nil
	}
	s.budget(admitted.Target()).earn(s.settings.RetryRatio())
	c := &call{call: admitted}
	s.calls[admitted.ID()] = c
	if effects, isStopped := s.inspect(now, c); isStopped {
		return effects
	}
	return s.send(now, r, c)
}

// send begins the next attempt of c on a replica that it has not tried.
func (s *State) send(now time.Time, r Replicas, c *call) []Effect {
	best, isFound := s.route(now, r, c.call, c.tried)
	switch {
	case isFound:
		return s.sendTo(now, c, best)
	case r.Len(c.call.Target()) == 0:
		return s.giveUp(c, caller.NoReplica, againRepair)
	}
	return s.giveUp(c, exhausted(c), againBusy)
}

func (s *State) sendTo(now time.Time, c *call, best choice) []Effect {
	s.last++
	a := &attempt{id: s.last, call: c, own: best.own, reported: now}
	s.attempts[a.id] = a
	best.own.begin(now)
	c.attempt = a.id
	c.count++
	c.tried = append(c.tried, best.own.replica)
	for _, hash := range c.call.Prefix() {
		s.prefixes.store(hash, best.own)
	}
	return []Effect{Send{a.id, c.call, best.own.replica, best.seen.address, c.tokens}}
}

func (s *State) start(now time.Time, id AttemptID) {
	a, isKnown := s.attempts[id]
	if !isKnown || a.started {
		return
	}
	a.started = true
	a.reported = now
}

func (s *State) end(now time.Time, r Replicas, id AttemptID) []Effect {
	a, isKnown := s.attempts[id]
	if !isKnown {
		return nil
	}
	s.drop(now, a)
	effects := s.finish(a.call, caller.Answered{})
	return append(effects, s.prove(now, r, a.call.call.Fingerprint())...)
}

// drop forgets an attempt that ended.
func (s *State) drop(now time.Time, a *attempt) {
	delete(s.attempts, a.id)
	a.own.end(now)
	a.call.attempt = 0
}

func (s *State) finish(c *call, outcome caller.Outcome) []Effect {
	delete(s.calls, c.call.ID())
	s.suspects.release(c)
	return []Effect{Finish{c.call.ID(), outcome}}
}

// giveUp ends a call without an answer: as not run only if no engine may have run it.
func (s *State) giveUp(c *call, reason caller.Reason, again time.Duration) []Effect {
	if c.ran {
		return s.finish(c, caller.NewUnknown(reason))
	}
	return s.finish(c, caller.NewNotRun(reason, again+s.jitter(again)))
}

// jitter returns a random part of again, so that refused callers don't come back together.
func (s *State) jitter(again time.Duration) time.Duration {
	return time.Duration(float64(again) * againJitter * fraction(s.random.Uint64()))
}

// fraction maps the high bits of random evenly to 0 to 1.
func fraction(random uint64) float64 { return float64(random>>11) / (1 << 53) }

func (s *State) cancel(id caller.ID) []Effect {
	c, isKnown := s.calls[id]
	if !isKnown {
		return nil
	}
	return s.stop(c, caller.Cancelled)
}

// stop ends a call for reason: at once if it isn't running, else when its attempt has ended.
func (s *State) stop(c *call, reason caller.Reason) []Effect {
	if c.attempt == 0 {
		return s.giveUp(c, reason, 0)
	}
	c.reason = reason
	return s.halt(s.attempts[c.attempt])
}

// halt cancels an attempt once.
func (s *State) halt(a *attempt) []Effect {
	if a.cancelled {
		return nil
	}
	a.cancelled = true
	return []Effect{Cancel{a.id}}
}
