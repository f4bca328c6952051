package service

import (
	"strconv"
	"time"

	"github.com/azurepond/azurepond/pkg/caller"
)

// String returns "writer.number".
func (h holderID) String() string { return h.writer + "." + strconv.FormatUint(h.number, 10) }

// claimKey begins to claim the key of c.
func (s *State) claimKey(now time.Time, c *call) []Effect {
	s.lastNumber++
	c.claimOp = &op{
		kind:        acquireClaim,
		call:        c,
		key:         c.key,
		holder:      holderID{s.settings.writer, s.lastNumber},
		fingerprint: c.Fingerprint(),
	}
	c.shard = s.shardFor(c)
	c.shard.queued = append(c.shard.queued, c.claimOp)
	return s.advance(now, c.shard)
}

// release removes the claim of c, which no upstream ran. If this fails, the claim remains but no call is sent for it.
func (s *State) release(now time.Time, c *call) []Effect {
	return s.queueOutcome(now, c, &op{kind: releaseClaim})
}

// recordOutcome stores the outcome of c with its claim, for calls with the same key at other daemons.
func (s *State) recordOutcome(now time.Time, c *call, phase phase, answer Answer) []Effect {
	return s.queueOutcome(now, c, &op{kind: recordClaim, phase: phase, answer: answer})
}

func (s *State) queueOutcome(now time.Time, c *call, o *op) []Effect {
	o.key, o.holder, o.fingerprint = c.key, c.claimOp.holder, c.claimOp.fingerprint
	sh := c.shard
	sh.activeClaims--
	sh.queued = append(sh.queued, o)
	var effects []Effect
	if o.kind == recordClaim {
		effects = s.resolveWaiting(now, sh, o)
	}
	return append(effects, s.advance(now, sh)...)
}

// resolveWaiting ends the calls of this daemon that wait for the outcome in o, without waiting for the store.
func (s *State) resolveWaiting(now time.Time, sh *shard, o *op) []Effect {
	var effects []Effect
	var remaining []*op
	for _, waiter := range sh.waiting {
		if waiter.key.text == o.key.text && waiter.call != nil {
			effects = append(effects, s.finishByClaim(now, waiter.call, o.claim())...)
			continue
		}
		remaining = append(remaining, waiter)
	}
	sh.waiting = remaining
	return effects
}

func (o *op) claim() claim {
	return claim{key: o.key.text, holder: o.holder, fingerprint: o.fingerprint, phase: o.phase, answer: o.answer}
}

// applyOp applies o to the claims to be written and reports whether they changed.
func (s *State) applyOp(now time.Time, sh *shard, o *op) (bool, []Effect) {
	i, exists := sh.desired.find(o.key.text)
	isOwn := exists && sh.desired[i].holder == o.holder
	if o.kind == acquireClaim {
		return s.applyAcquire(now, sh, o, exists, isOwn)
	}
	if !isOwn || sh.desired[i].phase != phaseClaimed {
		return false, nil
	}
	if o.kind == releaseClaim {
		sh.desired = sh.desired.without(o.key.text)
		return true, nil
	}
	recorded := sh.desired[i]
	recorded.phase, recorded.answer = o.phase, o.answer
	sh.desired = sh.desired.with(recorded)
	return true, nil
}

func (s *State) applyAcquire(now time.Time, sh *shard, o *op, exists, isOwn bool) (bool, []Effect) {
	switch {
	case isOwn && o.call == nil:
		o.kind = releaseClaim
		return s.applyOp(now, sh, o)
	case o.call == nil:
		return false, nil
	case exists && !isOwn:
		return false, s.resolveConflict(now, sh, o)
	case !o.key.accepted(now):
		return false, s.reject(now, o, caller.KeyExpired)
	}
	acquired := claim{key: o.key.text, holder: o.holder, fingerprint: o.fingerprint, sendDeadline: now.Add(sendWindow)}
	sh.desired = sh.desired.with(acquired)
	return true, nil
}

// resolveConflict handles a call whose key is claimed by another call. The call waits if that outcome may still arrive,
// otherwise it ends.
func (s *State) resolveConflict(now time.Time, sh *shard, o *op) []Effect {
	i, _ := sh.desired.find(o.key.text)
	existing := sh.desired[i]
	if s.isUndecided(now, existing, o) {
		sh.waiting = append(sh.waiting, o)
		return nil
	}
	return s.finishByClaim(now, o.call, existing)
}

// isUndecided reports whether the outcome of the call that holds a key may still arrive.
func (s *State) isUndecided(now time.Time, existing claim, o *op) bool {
	if existing.fingerprint != o.fingerprint || existing.phase != phaseClaimed {
		return false
	}
	return existing.holder.writer == s.settings.writer || now.Before(existing.sendDeadline.Add(MaxClockSkew))
}

// finishByClaim ends c with the recorded outcome of the call that holds its key.
func (s *State) finishByClaim(now time.Time, c *call, existing claim) []Effect {
	switch {
	case existing.fingerprint != c.Fingerprint():
		return s.finish(now, c, caller.NewNotRun(caller.KeyInUse, 0))
	case existing.phase == phaseDone && existing.answer.bodyStored:
		if !s.markFinished(now, c) {
			return nil
		}
		return []Effect{Replay{c.ID(), existing.answer}}
	case existing.phase == phaseUnclear:
		return s.finish(now, c, caller.NewUnknown(caller.UpstreamFailed))
	}
	return s.finish(now, c, caller.NewUnknown(caller.KeyInUse))
}

// claimAcquired sends the call of o, whose claim is stored, if the send window is still open.
func (s *State) claimAcquired(now time.Time, sh *shard, o *op) []Effect {
	i, exists := sh.stored.find(o.key.text)
	if !exists || sh.stored[i].holder != o.holder {
		panic("service: a stored claim is missing from its object")
	}
	c := o.call
	if c == nil {
		sh.queued = append(sh.queued, &op{kind: releaseClaim, key: o.key, holder: o.holder, fingerprint: o.fingerprint})
		return nil
	}
	sendBy := earliest(sh.stored[i].sendDeadline, c.Deadline(), o.key.createdAt.Add(MaxKeyAge))
	if now.Before(sendBy) {
		sh.activeClaims++
		c.notAfter = sendBy
		return s.send(now, c)
	}
	if now.Before(c.Deadline()) && o.key.accepted(now) {
		sh.queued = append(sh.queued, o)
		return nil
	}
	sh.queued = append(sh.queued, &op{kind: releaseClaim, key: o.key, holder: o.holder, fingerprint: o.fingerprint})
	return s.reject(now, o, caller.DeadlineExceeded)
}

func earliest(first time.Time, others ...time.Time) time.Time {
	for _, each := range others {
		if each.Before(first) {
			first = each
		}
	}
	return first
}

// reject ends the call of o, which no upstream ran.
func (s *State) reject(now time.Time, o *op, reason caller.Reason) []Effect {
	retryAfter := time.Duration(0)
	if reason == caller.StoreUnavailable || reason == caller.Overload {
		retryAfter = defaultRetryAfter
	}
	return s.finish(now, o.call, caller.NewNotRun(reason, retryAfter))
}

// recheckWaiting checks the calls that wait for other calls against the changed claims.
func (s *State) recheckWaiting(now time.Time, sh *shard) []Effect {
	var effects []Effect
	var remaining []*op
	for _, o := range sh.waiting {
		i, exists := sh.stored.find(o.key.text)
		switch {
		case !exists:
			sh.queued = append(sh.queued, o)
		case s.isUndecided(now, sh.stored[i], o):
			remaining = append(remaining, o)
		default:
			effects = append(effects, s.finishByClaim(now, o.call, sh.stored[i])...)
		}
	}
	sh.waiting = remaining
	return effects
}

// rejectOverflow rejects the calls whose claims do not fit into the object.
func (s *State) rejectOverflow(now time.Time, sh *shard) []Effect {
	var effects []Effect
	for _, o := range sh.writing {
		if o.kind == acquireClaim && o.call != nil {
			effects = append(effects, s.reject(now, o, caller.Overload)...)
		}
	}
	sh.writing = nil
	return effects
}

// rejectAll rejects all calls of an object that does not contain claims. The object is never overwritten.
func (s *State) rejectAll(now time.Time, sh *shard) []Effect {
	var effects []Effect
	for _, o := range append(append(sh.writing, sh.queued...), sh.waiting...) {
		if o.kind == acquireClaim && o.call != nil {
			effects = append(effects, s.reject(now, o, caller.StoreUnavailable)...)
		}
	}
	sh.writing, sh.queued, sh.waiting, sh.isRead = nil, nil, nil, false
	return effects
}
