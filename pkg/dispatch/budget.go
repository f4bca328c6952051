package dispatch

import "time"

// bucketWidth is the resolution of the sliding window, a twentieth of the platform's window.
const bucketWidth = 500 * time.Millisecond

// budgetSafety is the fraction of the budget that is used. The rest is a margin, since the windows of the daemons and
// the platform are not aligned.
const budgetSafety = 0.8

// budget limits the retries of one service over a sliding window.
type budget struct {
	buckets []budgetBucket
}

// budgetBucket counts the requests and retries of one bucketWidth.
type budgetBucket struct {
	start    time.Time
	requests int
	retries  int
}

// bucket returns the current bucket, and drops those that are older than the window.
func (b *budget) bucket(at time.Time, window time.Duration) *budgetBucket {
	for len(b.buckets) > 0 && at.Sub(b.buckets[0].start) > window {
		b.buckets = b.buckets[1:]
	}
	if n := len(b.buckets); n == 0 || at.Sub(b.buckets[n-1].start) >= bucketWidth {
		b.buckets = append(b.buckets, budgetBucket{start: at})
	}
	return &b.buckets[len(b.buckets)-1]
}

// countRequest counts a new request.
func (b *budget) countRequest(at time.Time, window time.Duration) { b.bucket(at, window).requests++ }

// remaining returns the number of retries left. While the number of peers is unknown, there is no share of the burst.
func (b *budget) remaining(at time.Time, limits RetryLimits, peers int) float64 {
	b.bucket(at, limits.window)
	requests, retries := 0, 0
	for _, bucket := range b.buckets {
		requests += bucket.requests
		retries += bucket.retries
	}
	allowed := limits.ratio * float64(requests)
	if peers > 0 {
		allowed += limits.burst / float64(peers)
	}
	return budgetSafety*allowed - float64(retries)
}

// takeRetry takes a retry from the budget, and reports whether one was left.
func (b *budget) takeRetry(at time.Time, limits RetryLimits, peers int) bool {
	if b.remaining(at, limits, peers) < 1 {
		return false
	}
	b.bucket(at, limits.window).retries++
	return true
}

// RetryLimits limit the retries of all daemons together.
type RetryLimits struct {
	ratio  float64
	burst  float64
	window time.Duration
}

// NewRetryLimits returns limits that allow ratio times the requests plus burst in each window.
func NewRetryLimits(ratio, burst float64, window time.Duration) RetryLimits {
	return RetryLimits{ratio, burst, window}
}
