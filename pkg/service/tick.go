package service

import (
	"time"

	"github.com/azurepond/azurepond/pkg/caller"
)

func (s *State) tick(now time.Time) []Effect {
	effects := s.overdue(now)
	left := s.active[:0]
	for _, sh := range s.active {
		if s.drop(now, sh) {
			continue
		}
		effects = append(effects, s.pump(now, sh)...)
		left = append(left, sh)
	}
	clear(s.active[len(left):])
	s.active = left
	return append(effects, s.sweep.tick(s, now)...)
}

// overdue ends the calls that waited long enough and forgets those that ended.
func (s *State) overdue(now time.Time) []Effect {
	var effects []Effect
	left := s.order[:0]
	for _, c := range s.order {
		effects = append(effects, s.expire(now, c)...)
		if !c.finished || c.flying() {
			left = append(left, c)
		}
	}
	clear(s.order[len(left):])
	s.order = left
	return effects
}

func (s *State) expire(now time.Time, c *call) []Effect {
	switch {
	case c.finished:
		if c.flying() && now.After(c.told.Add(detached)) {
			return s.halt(c)
		}
		return nil
	case c.claiming() && s.storeDown(now, c):
		return s.finish(now, c, caller.NewNotRun(caller.StoreUnavailable, comeBack))
	case !now.Before(c.Deadline()):
		return s.late(now, c)
	}
	return nil
}

func (s *State) late(now time.Time, c *call) []Effect {
	if c.keyed() && c.shard.waits(c.claim) {
		return s.abandon(now, c, caller.KeyInUse)
	}
	return s.abandon(now, c, caller.DeadlineExceeded)
}

// claiming reports whether c waits for the store.
func (c *call) claiming() bool {
	return c.keyed() && !c.flying() && !c.finished && !c.shard.waits(c.claim)
}

// storeDown reports whether c waited for the store as long as its service wants.
func (s *State) storeDown(now time.Time, c *call) bool {
	waited := now.Sub(c.born)
	failing := c.shard.writer.Failures() > 0
	if c.pool.service.waits {
		return failing && !now.Before(c.Deadline())
	}
	return failing && waited >= patience || waited >= window
}

// drop forgets a shard that has nothing left to do, or whose keys nobody accepts any more.
func (s *State) drop(now time.Time, sh *shard) bool {
	if !sh.idle() && !expired(sh.span, now) {
		return false
	}
	if sh.holds > 0 {
		return false
	}
	delete(s.shards, sh.writer.Key())
	return true
}
