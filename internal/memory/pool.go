package memory

import (
	"context"
	"slices"
	"sync"
)

// smallHolderBytes is what a holder may take while any memory is left. What it has beyond that is taken from one half of the pool, and so
// leaves the other half to small holders.
const smallHolderBytes = 64 << 10

// Pool is an amount of memory for the holders of one kind. The zero value has no limit.
type Pool struct {
	mutex     sync.Mutex
	limit     int64 // 0 for none
	used      int64
	largeUsed int64 // of used, by holders beyond smallHolderBytes
	peak      int64
	refused   int64
	waiters   []*waiter // in the order of their arrival
}

// waiter waits for memory.
type waiter struct {
	bytes   int64
	granted chan struct{} // closed when it has the memory
}

// Usage is the state of a pool.
type Usage struct {
	limit, used, peak, refused int64
	waiting                    int
}

// Limit returns the limit of the pool in bytes, 0 for none.
func (u Usage) Limit() int64 { return u.limit }

// Used returns how many bytes are in use.
func (u Usage) Used() int64 { return u.used }

// Peak returns how many bytes were in use at most.
func (u Usage) Peak() int64 { return u.peak }

// Refused returns how often a holder did not get what it asked for.
func (u Usage) Refused() int64 { return u.refused }

// Waiting returns how many holders wait for memory.
func (u Usage) Waiting() int { return u.waiting }

// SetLimit sets the limit in bytes, 0 for none. Holders keep what they have.
func (p *Pool) SetLimit(bytes int64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.limit = bytes
	p.serveWaiters()
}

// Usage returns the state of the pool.
func (p *Pool) Usage() Usage {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return Usage{p.limit, p.used, p.peak, p.refused, len(p.waiters)}
}

// Take takes bytes for a holder that has held bytes of the pool, and reports whether it did.
func (p *Pool) Take(bytes, held int64) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	isLarge := held+bytes > smallHolderBytes
	if !p.fits(bytes, isLarge) {
		p.refused++
		return false
	}
	p.take(bytes, isLarge)
	return true
}

// Wait takes bytes for a holder that has none, as soon as they are free, and reports whether it did before ctx ended. Large holders are
// served in the order of their arrival; one that needs more than there is for large ones gets it while there is no other.
func (p *Pool) Wait(ctx context.Context, bytes int64) bool {
	p.mutex.Lock()
	isLarge := bytes > smallHolderBytes
	if p.fitsNext(bytes, isLarge) && !(isLarge && p.hasLargeWaiter()) {
		p.take(bytes, isLarge)
		p.mutex.Unlock()
		return true
	}
	w := &waiter{bytes, make(chan struct{})}
	p.waiters = append(p.waiters, w)
	p.mutex.Unlock()
	select {
	case <-w.granted:
		return true
	case <-ctx.Done():
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	i := slices.Index(p.waiters, w)
	if i < 0 {
		return true // it was granted meanwhile
	}
	p.waiters = slices.Delete(p.waiters, i, i+1)
	p.refused++
	p.serveWaiters() // those behind it may fit
	return false
}

// Give returns bytes of a holder that has held bytes left.
func (p *Pool) Give(bytes, held int64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.used -= bytes
	if held+bytes > smallHolderBytes {
		p.largeUsed -= bytes
	}
	p.serveWaiters()
}

func (p *Pool) take(bytes int64, isLarge bool) {
	p.used += bytes
	if isLarge {
		p.largeUsed += bytes
	}
	p.peak = max(p.peak, p.used)
}

func (p *Pool) fits(bytes int64, isLarge bool) bool {
	return p.limit <= 0 || p.used+bytes <= p.limit && (!isLarge || p.largeUsed+bytes <= p.limit/2)
}

// fitsNext reports whether bytes fit for a holder that waits for all that it needs.
func (p *Pool) fitsNext(bytes int64, isLarge bool) bool {
	return p.fits(bytes, isLarge) || isLarge && p.largeUsed == 0 && bytes > p.limit/2
}

func (p *Pool) hasLargeWaiter() bool {
	return slices.ContainsFunc(p.waiters, func(w *waiter) bool { return w.bytes > smallHolderBytes })
}

// serveWaiters gives free memory to those that wait. A large one that doesn't fit holds up the large ones behind it, but no small ones.
func (p *Pool) serveWaiters() {
	isLargeBlocked := false
	kept := p.waiters[:0]
	for _, w := range p.waiters {
		isLarge := w.bytes > smallHolderBytes
		if isLarge && isLargeBlocked || !p.fitsNext(w.bytes, isLarge) {
			isLargeBlocked = isLargeBlocked || isLarge
			kept = append(kept, w)
			continue
		}
		p.take(w.bytes, isLarge)
		close(w.granted)
	}
	clear(p.waiters[len(kept):])
	p.waiters = kept
}
