package memory

// Holding is the memory that one holder has taken of a pool, step by step. The zero value takes memory without a limit.
type Holding struct {
	pool         *Pool
	small, large int64 // taken up to smallHolderBytes, and beyond
}

// NewHolding returns an empty holding of a pool.
func NewHolding(pool *Pool) Holding { return Holding{pool: pool} }

// Bytes returns how many bytes are held.
func (h *Holding) Bytes() int64 { return h.small + h.large }

// Grow takes bytes more, and reports whether they were free.
func (h *Holding) Grow(bytes int64) bool {
	if h.pool != nil && !h.pool.Take(bytes, h.Bytes()) {
		return false
	}
	if h.Bytes()+bytes <= smallHolderBytes {
		h.small += bytes
	} else {
		h.large += bytes
	}
	return true
}

// Free gives all of it back.
func (h *Holding) Free() {
	if h.pool != nil && h.large > 0 {
		h.pool.Give(h.large, smallHolderBytes)
	}
	if h.pool != nil && h.small > 0 {
		h.pool.Give(h.small, 0)
	}
	h.small, h.large = 0, 0
}
