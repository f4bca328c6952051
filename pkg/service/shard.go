package service

import (
	"time"

	"github.com/azurepond/azurepond/pkg/object"
)

const (
	// The bounds of the interval at which an object is read while calls wait for another call with the same key.
	minPollInterval = 100 * time.Millisecond
	maxPollInterval = time.Second

	// The bounds of the backoff between attempts to reach the store.
	minStoreBackoff = 100 * time.Millisecond
	maxStoreBackoff = 2 * time.Second
)

// opKind is what an op does to a claim.
type opKind uint8

const (
	acquireClaim opKind = iota
	recordClaim
	releaseClaim
)

// op is a change of a claim that is not stored yet. A nil call means that the claim is no longer needed.
type op struct {
	kind        opKind
	call        *call
	key         key
	holder      holderID
	fingerprint uint64
	phase       phase
	answer      Answer
}

// shard is one object of claims that this daemon reads or writes. Changes that are queued during a write are batched
// into the next one.
type shard struct {
	span         int64
	writer       object.Writer
	stored       claims // as last read or written
	desired      claims // to be written
	writing      []*op  // in the write in progress
	queued       []*op  // for the next write
	waiting      []*op  // for the outcome of another call with the same key
	activeClaims int    // of calls that were sent, until their outcome is queued
	isRead       bool   // stored is valid
	nextPoll     time.Time
	pollInterval time.Duration
}

// isWaiting reports whether o waits for the call that holds its key.
func (sh *shard) isWaiting(o *op) bool {
	for _, waiter := range sh.waiting {
		if waiter == o {
			return true
		}
	}
	return false
}

// isIdle reports whether the shard has no pending work and no active claims.
func (sh *shard) isIdle() bool {
	return len(sh.writing) == 0 && len(sh.queued) == 0 && len(sh.waiting) == 0 && sh.activeClaims == 0
}

// dropFinished drops the waiting ops whose calls have finished.
func (sh *shard) dropFinished() {
	kept := sh.waiting[:0]
	for _, o := range sh.waiting {
		if o.call != nil {
			kept = append(kept, o)
		}
	}
	clear(sh.waiting[len(kept):])
	sh.waiting = kept
}

// scheduleRead requests a read if one is due: the first one, or a poll for the waiting calls.
func (sh *shard) scheduleRead(now time.Time) {
	if !sh.isRead && len(sh.writing) == 0 && !sh.isIdle() {
		sh.writer.Read()
		return
	}
	if len(sh.waiting) == 0 {
		sh.pollInterval = 0
		return
	}
	if sh.pollInterval == 0 {
		sh.pollInterval = minPollInterval
		sh.nextPoll = now.Add(sh.pollInterval)
		return
	}
	if now.Before(sh.nextPoll) || !sh.writer.Synced() {
		return
	}
	sh.pollInterval = min(2*sh.pollInterval, maxPollInterval)
	sh.nextPoll = now.Add(sh.pollInterval)
	sh.writer.Read()
}

// shardFor returns the shard that stores the claim of c.
func (s *State) shardFor(c *call) *shard {
	key := c.key.objectKey(c.Target())
	if existing := s.shards[key]; existing != nil {
		return existing
	}
	s.lastNumber++
	identity := holderID{s.settings.writer, s.lastNumber}.String()
	backoff := object.NewBackoff(minStoreBackoff, maxStoreBackoff, s.random.Uint64())
	created := &shard{
		span:   spanOf(c.key.createdAt),
		writer: object.NewWriter(key, identity, 0).WithBackoff(backoff),
	}
	s.shards[key] = created
	s.shardList = append(s.shardList, created)
	return created
}

// advance applies the queue and starts the requests that need no further result.
func (s *State) advance(now time.Time, sh *shard) []Effect {
	var effects []Effect
	sh.dropFinished()
	if sh.writer.Synced() && len(sh.queued) > 0 {
		effects = s.applyQueue(now, sh)
	}
	sh.scheduleRead(now)
	for _, request := range sh.writer.Tick(now, &s.refs) {
		s.shardByRequest[request.Ref()] = sh
		effects = append(effects, Store{request})
	}
	return effects
}

// applyQueue applies the queued ops and begins to write the result if it differs.
func (s *State) applyQueue(now time.Time, sh *shard) []Effect {
	var effects []Effect
	queue := sh.queued
	sh.queued = nil
	sh.desired = sh.stored
	for _, o := range queue {
		changed, more := s.applyOp(now, sh, o)
		effects = append(effects, more...)
		if changed {
			sh.writing = append(sh.writing, o)
		}
	}
	if len(sh.writing) == 0 {
		return effects
	}
	data, fits := encodeClaims(sh.desired)
	if !fits {
		return append(effects, s.rejectOverflow(now, sh)...)
	}
	sh.writer.Write(data)
	return effects
}

// storeCompleted applies the result of a request to the store.
func (s *State) storeCompleted(now time.Time, result object.Result) []Effect {
	sh := s.shardByRequest[result.Ref()]
	if sh == nil {
		return s.sweeper.result(s, now, result)
	}
	delete(s.shardByRequest, result.Ref())
	outcome := sh.writer.Apply(now, result)
	var effects []Effect
	switch outcome.(type) {
	case object.ReadCompleted:
		effects = s.readCompleted(now, sh)
	case object.Written:
		effects = s.writeCompleted(now, sh)
	case object.Superseded:
		sh.queued = append(sh.writing, sh.queued...)
		sh.writing = nil
		effects = s.readCompleted(now, sh)
	case object.Unreadable:
		return s.rejectAll(now, sh)
	}
	return append(effects, s.advance(now, sh)...)
}

// readCompleted applies the claims that were read, which another daemon may have changed.
func (s *State) readCompleted(now time.Time, sh *shard) []Effect {
	content, err := decodeClaims(sh.writer.Value())
	if err != nil {
		return s.rejectAll(now, sh)
	}
	sh.stored, sh.isRead = content, true
	return s.recheckWaiting(now, sh)
}

func (s *State) writeCompleted(now time.Time, sh *shard) []Effect {
	ops := sh.writing
	sh.writing = nil
	sh.stored = sh.desired
	var effects []Effect
	for _, o := range ops {
		if o.kind == acquireClaim {
			effects = append(effects, s.claimAcquired(now, sh, o)...)
		}
	}
	return append(effects, s.recheckWaiting(now, sh)...)
}
