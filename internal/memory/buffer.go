package memory

import (
	"errors"
	"io"
	"sync"
)

// The sizes of the parts of a buffer. The first part is not taken from the pool, so that short bodies are always held.
const (
	firstPartBytes = 4 << 10
	partBytes      = 32 << 10
)

// parts has the parts that are not in use, so that large bodies leave no garbage.
var parts = sync.Pool{New: func() any { return new([partBytes]byte) }}

// Buffer holds a body in parts, so that it never takes more than its length and a part. The zero value takes memory without a limit.
type Buffer struct {
	pool  *Pool
	parts [][]byte
	size  int
	taken int64 // from the pool
}

// NewBuffer returns an empty buffer that takes its memory from a pool.
func NewBuffer(pool *Pool) *Buffer { return &Buffer{pool: pool} }

// Len returns the number of bytes in the buffer.
func (b *Buffer) Len() int { return b.size }

// ReadAll reads a body until its end, and reports whether it did. It ends before that, without an error, when the buffer has more than
// limit bytes or the pool has no memory left.
func (b *Buffer) ReadAll(r io.Reader, limit int) (isWhole bool, err error) {
	for b.size <= limit && b.reserve() {
		last := b.parts[len(b.parts)-1]
		n, err := r.Read(last[len(last):cap(last)])
		b.parts[len(b.parts)-1] = last[:len(last)+n]
		b.size += n
		switch {
		case errors.Is(err, io.EOF):
			return b.size <= limit, nil
		case err != nil:
			return false, err
		}
	}
	return false, nil
}

// reserve ensures that the last part has room, and reports whether it has.
func (b *Buffer) reserve() bool {
	switch count := len(b.parts); {
	case count == 0:
		b.parts = append(b.parts, make([]byte, 0, firstPartBytes))
		return true
	case len(b.parts[count-1]) < cap(b.parts[count-1]):
		return true
	}
	if b.pool != nil && !b.pool.Take(partBytes, b.taken) {
		return false
	}
	b.taken += partBytes
	b.parts = append(b.parts, parts.Get().(*[partBytes]byte)[:0])
	return true
}

// WriteTo writes the body and removes each part once it was written.
func (b *Buffer) WriteTo(w io.Writer) (written int64, err error) {
	for len(b.parts) > 0 {
		n, err := w.Write(b.parts[0])
		written += int64(n)
		b.size -= n
		if err != nil {
			return written, err
		}
		b.removeFirst()
	}
	return written, nil
}

// Free removes the body.
func (b *Buffer) Free() {
	for len(b.parts) > 0 {
		b.removeFirst()
	}
	b.size = 0
}

func (b *Buffer) removeFirst() {
	part := b.parts[0]
	b.parts = b.parts[1:]
	if cap(part) != partBytes {
		return
	}
	parts.Put((*[partBytes]byte)(part[:partBytes]))
	b.taken -= partBytes
	if b.pool != nil {
		b.pool.Give(partBytes, b.taken)
	}
}
