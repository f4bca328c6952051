package object

import (
	"math/rand/v2"
	"time"
)

// Defaults of a Backoff.
const (
	defaultBackoffBase  = 200 * time.Millisecond
	defaultBackoffLimit = 20 * time.Second
)

// Backoff is an exponential backoff. Each delay is drawn from the upper three quarters of a window that doubles with each
// failure, so that processes that failed together do not retry together. The zero value uses the defaults.
type Backoff struct {
	base     time.Duration
	limit    time.Duration
	failures uint
	random   rand.PCG
}

// NewBackoff returns a backoff whose windows grow from base to limit; seed is the seed of its random delays.
func NewBackoff(base, limit time.Duration, seed uint64) Backoff {
	b := Backoff{base: base, limit: limit}
	b.random.Seed(seed, seed)
	return b
}

// Next returns the delay before the next attempt and counts one more failure.
func (b *Backoff) Next() time.Duration {
	window := b.window()
	b.failures++
	return window/4 + b.draw(window-window/4)
}

// Jitter returns a delay drawn uniformly from zero to window, without counting a failure.
func (b *Backoff) Jitter(window time.Duration) time.Duration { return b.draw(window) }

// Reset sets the number of failures to zero after a success.
func (b *Backoff) Reset() { b.failures = 0 }

// Failures returns the number of failures since the last success.
func (b *Backoff) Failures() int { return int(b.failures) }

func (b *Backoff) window() time.Duration {
	base, limit := b.base, b.limit
	if base <= 0 {
		base = defaultBackoffBase
	}
	if limit <= 0 {
		limit = defaultBackoffLimit
	}
	for range b.failures {
		base *= 2
		if base >= limit {
			return limit
		}
	}
	return base
}

func (b *Backoff) draw(window time.Duration) time.Duration {
	if window <= 0 {
		return 0
	}
	return time.Duration(rand.New(&b.random).Int64N(int64(window)))
}
