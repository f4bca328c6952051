package service

import (
	"time"

	"github.com/azurepond/azurepond/pkg/object"
)

const (
	firstPoll = 100 * time.Millisecond
	lastPoll  = time.Second

	// retryBase and retryLimit bound the time between two tries to reach the store.
	retryBase  = 100 * time.Millisecond
	retryLimit = 2 * time.Second
)

// verb is what an op does to a claim.
type verb uint8

const (
	takeClaim verb = iota
	recordClaim
	releaseClaim
)

// op is one change of a claim that is not in the store yet; a nil call means that nobody wants a claim any more.
type op struct {
	verb   verb
	call   *call
	key    key
	holder stamp
	print  uint64
	phase  phase
	answer Answer
}

// shard is one object of claims that this daemon works on: all changes that come up during one write go into the next.
type shard struct {
	span    int64
	writer  object.Writer
	content claims
	next    claims
	open    []*op
	queue   []*op
	waiting []*op
	holds   int
	read    bool
	poll    time.Time
	pause   time.Duration
}

// waits reports whether o waits for the call that holds its key.
func (sh *shard) waits(o *op) bool {
	for _, each := range sh.waiting {
		if each == o {
			return true
		}
	}
	return false
}

// idle reports whether nothing is left to do.
func (sh *shard) idle() bool {
	return len(sh.open) == 0 && len(sh.queue) == 0 && len(sh.waiting) == 0 && sh.holds == 0
}

// forget drops those who wait although their callers no longer do.
func (sh *shard) forget() {
	left := sh.waiting[:0]
	for _, o := range sh.waiting {
		if o.call != nil {
			left = append(left, o)
		}
	}
	clear(sh.waiting[len(left):])
	sh.waiting = left
}

// ask asks for a read if one is needed: the first one, or a poll for those who wait.
func (sh *shard) ask(now time.Time) {
	if !sh.read && len(sh.open) == 0 && !sh.idle() {
		sh.writer.Read()
		return
	}
	if len(sh.waiting) == 0 {
		sh.pause = 0
		return
	}
	if sh.pause == 0 {
		sh.pause = firstPoll
		sh.poll = now.Add(sh.pause)
		return
	}
	if now.Before(sh.poll) || !sh.writer.Synced() {
		return
	}
	sh.pause = min(2*sh.pause, lastPoll)
	sh.poll = now.Add(sh.pause)
	sh.writer.Read()
}

// shard returns the object that holds the claim of c.
func (s *State) shard(c *call) *shard {
	name := c.key.object(c.Target())
	if known := s.shards[name]; known != nil {
		return known
	}
	s.stamps++
	identity := stamp{s.settings.writer, s.stamps}.String()
	backoff := object.NewBackoff(retryBase, retryLimit, s.random.Uint64())
	created := &shard{
		span:   spanOf(c.key.at),
		writer: object.NewWriter(name, identity, 0).WithBackoff(backoff),
	}
	s.shards[name] = created
	s.active = append(s.active, created)
	return created
}

// pump takes the shard as far as it gets without a further result.
func (s *State) pump(now time.Time, sh *shard) []Effect {
	var effects []Effect
	sh.forget()
	if sh.writer.Synced() && len(sh.queue) > 0 {
		effects = s.apply(now, sh)
	}
	sh.ask(now)
	for _, request := range sh.writer.Tick(now, &s.refs) {
		s.pending[request.Ref()] = sh
		effects = append(effects, Store{request})
	}
	return effects
}

// apply works the queue into the content and begins to write the result if it differs.
func (s *State) apply(now time.Time, sh *shard) []Effect {
	var effects []Effect
	queue := sh.queue
	sh.queue = nil
	sh.next = sh.content
	for _, o := range queue {
		changed, more := s.applyOp(now, sh, o)
		effects = append(effects, more...)
		if changed {
			sh.open = append(sh.open, o)
		}
	}
	if len(sh.open) == 0 {
		return effects
	}
	data, fits := encodeClaims(sh.next)
	if !fits {
		return append(effects, s.overflow(now, sh)...)
	}
	sh.writer.Write(data)
	return effects
}

// result takes in what became of a request to the store.
func (s *State) result(now time.Time, result object.Result) []Effect {
	sh := s.pending[result.Ref()]
	if sh == nil {
		return s.sweep.result(s, now, result)
	}
	delete(s.pending, result.Ref())
	outcome := sh.writer.Apply(now, result)
	var effects []Effect
	switch outcome.(type) {
	case object.ReadCompleted:
		effects = s.reread(now, sh)
	case object.Written:
		effects = s.written(now, sh)
	case object.Superseded:
		sh.queue = append(sh.open, sh.queue...)
		sh.open = nil
		effects = s.reread(now, sh)
	case object.Unreadable:
		return s.unreadable(now, sh)
	}
	return append(effects, s.pump(now, sh)...)
}

// reread takes in the content that another daemon may have left.
func (s *State) reread(now time.Time, sh *shard) []Effect {
	content, err := decodeClaims(sh.writer.Value())
	if err != nil {
		return s.unreadable(now, sh)
	}
	sh.content, sh.read = content, true
	return s.recheck(now, sh)
}

func (s *State) written(now time.Time, sh *shard) []Effect {
	ops := sh.open
	sh.open = nil
	sh.content = sh.next
	var effects []Effect
	for _, o := range ops {
		if o.verb == takeClaim {
			effects = append(effects, s.taken(now, sh, o)...)
		}
	}
	return append(effects, s.recheck(now, sh)...)
}
