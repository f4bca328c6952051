package dispatch

import "time"

// The parts of a second in which arrivals are counted.
const bucketWidth = 500 * time.Millisecond // a twentieth of the window that the platform counts over

// safety is the part of the budget that is used, since windows of daemons and platform don't begin together.
const budgetSafety = 0.8

// budget bounds how often requests to one service are sent again, over a sliding window.
type budget struct {
	buckets []budgetBucket
}

type budgetBucket struct {
	start    time.Time
	requests int
	retries  int
}

func (b *budget) bucket(at time.Time, window time.Duration) *budgetBucket {
	for len(b.buckets) > 0 && at.Sub(b.buckets[0].start) > window {
		b.buckets = b.buckets[1:]
	}
	if n := len(b.buckets); n == 0 || at.Sub(b.buckets[n-1].start) >= bucketWidth {
		b.buckets = append(b.buckets, budgetBucket{start: at})
	}
	return &b.buckets[len(b.buckets)-1]
}

// first counts a request that is sent for the first time.
func (b *budget) countRequest(at time.Time, window time.Duration) { b.bucket(at, window).requests++ }

// left returns how many requests may still be sent again.
func (b *budget) remaining(at time.Time, limits RetryLimits, sharers int) float64 {
	b.bucket(at, limits.window)
	requests, retries := 0, 0
	for _, bucket := range b.buckets {
		requests += bucket.requests
		retries += bucket.retries
	}
	allowed := limits.ratio*float64(requests) + limits.burst/float64(max(sharers, 1))
	return budgetSafety*allowed - float64(retries)
}

// repeat takes one more send from the budget, and reports whether there was one left.
func (b *budget) takeRetry(at time.Time, limits RetryLimits, sharers int) bool {
	if b.remaining(at, limits, sharers) < 1 {
		return false
	}
	b.bucket(at, limits.window).retries++
	return true
}

// RetryLimits bound how often all daemons together send requests again.
type RetryLimits struct {
	ratio  float64
	burst  float64
	window time.Duration
}

// NewRetryLimits returns the bound of ratio times the requests plus burst, over each window.
func NewRetryLimits(ratio, burst float64, window time.Duration) RetryLimits {
	return RetryLimits{ratio, burst, window}
}
