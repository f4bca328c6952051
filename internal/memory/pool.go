package memory

import "sync"

// smallHolderBytes is what a holder may take while any memory is left. One that has more leaves half of the pool to others.
const smallHolderBytes = 64 << 10

// Pool is an amount of memory for the holders of one kind. The zero value has no limit.
type Pool struct {
	mutex   sync.Mutex
	limit   int64 // 0 for none
	used    int64
	peak    int64
	refused int64
}

// Usage is the state of a pool.
type Usage struct {
	limit, used, peak, refused int64
}

// Limit returns the limit of the pool in bytes, 0 for none.
func (u Usage) Limit() int64 { return u.limit }

// Used returns how many bytes are in use.
func (u Usage) Used() int64 { return u.used }

// Peak returns how many bytes were in use at most.
func (u Usage) Peak() int64 { return u.peak }

// Refused returns how often a holder did not get what it asked for.
func (u Usage) Refused() int64 { return u.refused }

// SetLimit sets the limit in bytes, 0 for none. Holders keep what they have.
func (p *Pool) SetLimit(bytes int64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.limit = bytes
}

// Usage returns the state of the pool.
func (p *Pool) Usage() Usage {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return Usage{p.limit, p.used, p.peak, p.refused}
}

// Take takes bytes for a holder that has held bytes of the pool, and reports whether it did.
func (p *Pool) Take(bytes, held int64) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	limit := p.limit
	if held+bytes > smallHolderBytes {
		limit /= 2
	}
	if p.limit > 0 && p.used+bytes > limit {
		p.refused++
		return false
	}
	p.used += bytes
	p.peak = max(p.peak, p.used)
	return true
}

// Give returns bytes to the pool.
func (p *Pool) Give(bytes int64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.used -= bytes
}
