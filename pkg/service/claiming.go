package service

import (
	"strconv"
	"time"

	"github.com/azurepond/azurepond/pkg/caller"
)

// String returns "writer.number".
func (t stamp) String() string { return t.writer + "." + strconv.FormatUint(t.number, 10) }

// take begins to claim the key of c.
func (s *State) take(now time.Time, c *call) []Effect {
	s.stamps++
	c.claim = &op{
		verb:   takeClaim,
		call:   c,
		key:    c.key,
		holder: stamp{s.settings.writer, s.stamps},
		print:  c.Fingerprint(),
	}
	c.shard = s.shard(c)
	c.shard.queue = append(c.shard.queue, c.claim)
	return s.pump(now, c.shard)
}

// release gives the key of c free, which no upstream ran; a claim that nobody sends on stays harmless if this fails.
func (s *State) release(now time.Time, c *call) []Effect {
	return s.conclude(now, c, &op{verb: releaseClaim})
}

// record keeps what became of c, so that the same key elsewhere learns of it.
func (s *State) record(now time.Time, c *call, phase phase, answer Answer) []Effect {
	return s.conclude(now, c, &op{verb: recordClaim, phase: phase, answer: answer})
}

func (s *State) conclude(now time.Time, c *call, o *op) []Effect {
	o.key, o.holder, o.print = c.key, c.claim.holder, c.claim.print
	sh := c.shard
	sh.holds--
	sh.queue = append(sh.queue, o)
	var effects []Effect
	if o.verb == recordClaim {
		effects = s.tell(now, sh, o)
	}
	return append(effects, s.pump(now, sh)...)
}

// tell ends the calls of this daemon that wait for the outcome in o, without waiting for the store.
func (s *State) tell(now time.Time, sh *shard, o *op) []Effect {
	var effects []Effect
	var left []*op
	for _, each := range sh.waiting {
		if each.key.text == o.key.text && each.call != nil {
			effects = append(effects, s.conclusion(now, each.call, o.claim())...)
			continue
		}
		left = append(left, each)
	}
	sh.waiting = left
	return effects
}

func (o *op) claim() claim {
	return claim{key: o.key.text, holder: o.holder, print: o.print, phase: o.phase, answer: o.answer}
}

// applyOp works o into the content to write and reports whether that changed.
func (s *State) applyOp(now time.Time, sh *shard, o *op) (bool, []Effect) {
	at, exists := sh.next.find(o.key.text)
	own := exists && sh.next[at].holder == o.holder
	if o.verb == takeClaim {
		return s.applyTake(now, sh, o, exists, own)
	}
	if !own || sh.next[at].phase != claimed {
		return false, nil
	}
	if o.verb == releaseClaim {
		sh.next = sh.next.without(o.key.text)
		return true, nil
	}
	recorded := sh.next[at]
	recorded.phase, recorded.answer = o.phase, o.answer
	sh.next = sh.next.with(recorded)
	return true, nil
}

func (s *State) applyTake(now time.Time, sh *shard, o *op, exists, own bool) (bool, []Effect) {
	switch {
	case own && o.call == nil:
		o.verb = releaseClaim
		return s.applyOp(now, sh, o)
	case o.call == nil:
		return false, nil
	case exists && !own:
		return false, s.meet(now, sh, o)
	case !o.key.accepted(now):
		return false, s.refuse(now, o, caller.KeyExpired)
	}
	fresh := claim{key: o.key.text, holder: o.holder, print: o.print, until: now.Add(window)}
	sh.next = sh.next.with(fresh)
	return true, nil
}

// meet ends or keeps waiting a call whose key another call holds.
func (s *State) meet(now time.Time, sh *shard, o *op) []Effect {
	at, _ := sh.next.find(o.key.text)
	held := sh.next[at]
	if s.undecided(now, held, o) {
		sh.waiting = append(sh.waiting, o)
		return nil
	}
	return s.conclusion(now, o.call, held)
}

// undecided reports whether the outcome of the call that holds a key may still come.
func (s *State) undecided(now time.Time, held claim, o *op) bool {
	if held.print != o.print || held.phase != claimed {
		return false
	}
	return held.holder.writer == s.settings.writer || now.Before(held.until.Add(MaxClockSkew))
}

// conclusion ends c, whose key another call holds, by what is known of that one.
func (s *State) conclusion(now time.Time, c *call, held claim) []Effect {
	switch {
	case held.print != c.Fingerprint():
		return s.finish(now, c, caller.NewNotRun(caller.KeyInUse, 0))
	case held.phase == done && held.answer.bodyStored:
		if !s.end(now, c) {
			return nil
		}
		return []Effect{Replay{c.ID(), held.answer}}
	case held.phase == unclear:
		return s.finish(now, c, caller.NewUnknown(caller.UpstreamFailed))
	}
	return s.finish(now, c, caller.NewUnknown(caller.KeyInUse))
}

// taken goes on with a call whose claim is in the store, if the claim is still fresh.
func (s *State) taken(now time.Time, sh *shard, o *op) []Effect {
	at, exists := sh.content.find(o.key.text)
	if !exists || sh.content[at].holder != o.holder {
		panic("service: a claim that was written is missing")
	}
	c := o.call
	if c == nil {
		sh.queue = append(sh.queue, &op{verb: releaseClaim, key: o.key, holder: o.holder, print: o.print})
		return nil
	}
	limit := earliest(sh.content[at].until, c.Deadline(), o.key.at.Add(MaxKeyAge))
	if now.Before(limit) {
		sh.holds++
		c.notAfter = limit
		return s.run(now, c)
	}
	if now.Before(c.Deadline()) && o.key.accepted(now) {
		sh.queue = append(sh.queue, o)
		return nil
	}
	sh.queue = append(sh.queue, &op{verb: releaseClaim, key: o.key, holder: o.holder, print: o.print})
	return s.refuse(now, o, caller.DeadlineExceeded)
}

func earliest(first time.Time, others ...time.Time) time.Time {
	for _, each := range others {
		if each.Before(first) {
			first = each
		}
	}
	return first
}

// refuse ends the call of o, which nobody ran.
func (s *State) refuse(now time.Time, o *op, reason caller.Reason) []Effect {
	again := time.Duration(0)
	if reason == caller.StoreUnavailable || reason == caller.Overload {
		again = comeBack
	}
	return s.finish(now, o.call, caller.NewNotRun(reason, again))
}

// recheck looks at those who wait for other calls after the content changed.
func (s *State) recheck(now time.Time, sh *shard) []Effect {
	var effects []Effect
	var left []*op
	for _, o := range sh.waiting {
		at, exists := sh.content.find(o.key.text)
		switch {
		case !exists:
			sh.queue = append(sh.queue, o)
		case s.undecided(now, sh.content[at], o):
			left = append(left, o)
		default:
			effects = append(effects, s.conclusion(now, o.call, sh.content[at])...)
		}
	}
	sh.waiting = left
	return effects
}

// overflow refuses the calls whose claims the object has no room for.
func (s *State) overflow(now time.Time, sh *shard) []Effect {
	var effects []Effect
	for _, o := range sh.open {
		if o.verb == takeClaim && o.call != nil {
			effects = append(effects, s.refuse(now, o, caller.Overload)...)
		}
	}
	sh.open = nil
	return effects
}

// unreadable refuses all calls of an object that holds something else; it is never overwritten.
func (s *State) unreadable(now time.Time, sh *shard) []Effect {
	var effects []Effect
	for _, o := range append(append(sh.open, sh.queue...), sh.waiting...) {
		if o.verb == takeClaim && o.call != nil {
			effects = append(effects, s.refuse(now, o, caller.StoreUnavailable)...)
		}
	}
	sh.open, sh.queue, sh.waiting, sh.read = nil, nil, nil, false
	return effects
}
