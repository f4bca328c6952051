package memory

import (
	"context"
	"errors"
	"io"
)

// ErrNoMemory says that the memory for a body was not free in time. Nothing that was not free has been read.
var ErrNoMemory = errors.New("no memory is left for the body")

var errTooLong = errors.New("body exceeds its length or limit")

// FreeBodyBytes is the length of a body that is not taken from the pool, so that short ones are read in any case.
const FreeBodyBytes = 4 << 10

// Body is a body of a request that was read completely. The zero value is an empty one.
type Body struct {
	bytes []byte
	pool  *Pool
	taken []int64 // from the pool, in separate amounts
}

// Bytes returns the body. It is invalid after Free.
func (b *Body) Bytes() []byte { return b.bytes }

// Free gives the memory of the body back.
func (b *Body) Free() {
	for _, bytes := range b.taken {
		b.pool.Give(bytes, 0)
	}
	b.bytes, b.taken = nil, nil
}

// ReadBody reads a body of length bytes, or of unknown length if that is negative, and then of at most limit bytes. It waits for the memory
// until ctx ends, before it reads, and returns ErrNoMemory if there is none, or the error of the body. The memory for a large body is taken
// when its beginning has arrived, so that a caller which sends nothing holds little.
func ReadBody(ctx context.Context, pool *Pool, r io.Reader, length, limit int64) (*Body, error) {
	b := &Body{pool: pool}
	sizes := []int64{length}
	switch {
	case length < 0:
		sizes = []int64{min(FreeBodyBytes, limit), min(smallHolderBytes, limit), limit}
	case length > smallHolderBytes:
		sizes = []int64{smallHolderBytes, length}
	}
	for _, size := range sizes {
		if size > FreeBodyBytes && !b.take(ctx, size-int64(len(b.bytes))) {
			b.Free()
			return nil, ErrNoMemory
		}
		isWhole, err := b.fill(r, size)
		if err == nil && isWhole && int64(len(b.bytes)) < length {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			b.Free()
			return nil, err
		}
		if isWhole {
			return b, nil
		}
	}
	b.Free()
	return nil, errTooLong
}

func (b *Body) take(ctx context.Context, bytes int64) bool {
	if bytes <= 0 {
		return true
	}
	if !b.pool.Wait(ctx, bytes) {
		return false
	}
	b.taken = append(b.taken, bytes)
	return true
}

// maxUnreadBytes is how much memory is allocated before the body that needs it has arrived.
const maxUnreadBytes = 16 << 20

// grow allocates memory for a body of size bytes, and for one byte more, which shows whether the body has ended.
func (b *Body) grow(size int64) {
	capacity := min(size, max(maxUnreadBytes, 2*int64(len(b.bytes)))) + 1
	b.bytes = append(make([]byte, 0, capacity), b.bytes...)
}

// fill reads until the body has size bytes or ends, and reports whether it has ended.
func (b *Body) fill(r io.Reader, size int64) (isWhole bool, err error) {
	for int64(len(b.bytes)) <= size {
		if len(b.bytes) == cap(b.bytes) {
			b.grow(size)
		}
		n, err := r.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		if errors.Is(err, io.EOF) {
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
	return false, nil
}
