package service

import (
	"time"

	"github.com/azurepond/azurepond/pkg/caller"
)

func (s *State) tick(now time.Time) []Effect {
	effects := s.expireCalls(now)
	kept := s.shardList[:0]
	for _, sh := range s.shardList {
		if s.dropIfIdle(now, sh) {
			continue
		}
		effects = append(effects, s.advance(now, sh)...)
		kept = append(kept, sh)
	}
	clear(s.shardList[len(kept):])
	s.shardList = kept
	return append(effects, s.sweeper.tick(s, now)...)
}

// expireCalls ends the calls whose timeouts have passed and drops those that ended.
func (s *State) expireCalls(now time.Time) []Effect {
	var effects []Effect
	kept := s.tracked[:0]
	for _, c := range s.tracked {
		effects = append(effects, s.expire(now, c)...)
		if !c.finished || c.isInFlight() {
			kept = append(kept, c)
		}
	}
	clear(s.tracked[len(kept):])
	s.tracked = kept
	return effects
}

func (s *State) expire(now time.Time, c *call) []Effect {
	switch {
	case c.finished:
		if c.isInFlight() && now.After(c.finishedAt.Add(maxDetachedTime)) {
			return s.cancelAttempt(c)
		}
		return nil
	case c.waitsForStore() && s.storeWaitExceeded(now, c):
		return s.finish(now, c, caller.NewNotRun(caller.StoreUnavailable, defaultRetryAfter))
	case !now.Before(c.Deadline()):
		return s.rejectLate(now, c)
	}
	return nil
}

func (s *State) rejectLate(now time.Time, c *call) []Effect {
	if c.needsClaim() && c.shard.isWaiting(c.claimOp) {
		return s.abandon(now, c, caller.KeyInUse)
	}
	return s.abandon(now, c, caller.DeadlineExceeded)
}

// waitsForStore reports whether c waits for its claim to be stored.
func (c *call) waitsForStore() bool {
	return c.needsClaim() && !c.isInFlight() && !c.finished && !c.shard.isWaiting(c.claimOp)
}

// storeWaitExceeded reports whether c has waited for the store for the maximum time of its service.
func (s *State) storeWaitExceeded(now time.Time, c *call) bool {
	waited := now.Sub(c.submittedAt)
	failing := c.shard.writer.Failures() > 0
	if c.pool.service.waitsForStore {
		return failing && !now.Before(c.Deadline())
	}
	return failing && waited >= maxStoreWait || waited >= sendWindow
}

// dropIfIdle drops a shard that is idle or expired, unless calls of this daemon still hold claims in it.
func (s *State) dropIfIdle(now time.Time, sh *shard) bool {
	if !sh.isIdle() && !isSpanExpired(sh.span, now) {
		return false
	}
	if sh.activeClaims > 0 {
		return false
	}
	delete(s.shards, sh.writer.Key())
	return true
}
