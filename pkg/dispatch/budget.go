package dispatch

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/azurepond/azurepond/pkg/quantity"
)

// bucketWidth is the resolution of the sliding window, a twentieth of the platform's window.
const bucketWidth = 500 * time.Millisecond

// budgetSafety is the fraction of the budget that is used. The rest is a margin, since the windows of the daemons and
// the platform are not aligned.
const budgetSafety = 0.8

// budgetSpans is the number of spans at the end of the window, of a quarter of it and more, each of which keeps to the ratio and the burst.
// Otherwise a daemon could send the retries for a whole window of requests at once, just before it starts again or its callers go to
// another daemon, where the requests of the next window allow as many. With quarters, the ratio is exceeded by a quarter at most then, which
// the margin covers.
const budgetSpans = 4

// budget limits the retries of one service over a sliding window. A retry is reserved when it is granted and counts until it is sent, since
// it may wait for an upstream, and from then on for a window.
type budget struct {
	buckets  []budgetBucket
	reserved int // retries that were granted and not sent yet
}

// budgetBucket counts the requests and retries of one bucketWidth.
type budgetBucket struct {
	start    time.Time
	requests int
	retries  int
}

// bucket returns the current bucket, and drops those that ended before the window.
func (b *budget) bucket(at time.Time, window time.Duration) *budgetBucket {
	for len(b.buckets) > 0 && at.Sub(b.buckets[0].start) > window+bucketWidth {
		b.buckets = b.buckets[1:]
	}
	if n := len(b.buckets); n == 0 || at.Sub(b.buckets[n-1].start) >= bucketWidth {
		b.buckets = append(b.buckets, budgetBucket{start: at})
	}
	return &b.buckets[len(b.buckets)-1]
}

// countRequest counts a new request.
func (b *budget) countRequest(at time.Time, window time.Duration) { b.bucket(at, window).requests++ }

// remaining returns the number of retries left: the fewest that any of the last spans of the window allows. While the number of sharers is
// unknown, there is no share of the burst.
func (b *budget) remaining(at time.Time, limits RetryLimits, sharers int) float64 {
	b.bucket(at, limits.window)
	burst := 0.0
	if sharers > 0 {
		burst = limits.burst / float64(sharers)
	}
	remaining := math.Inf(1)
	for span := 1; span <= budgetSpans; span++ {
		requests, retries := b.count(at, limits.window*time.Duration(span)/budgetSpans)
		left := budgetSafety*(limits.ratio*float64(requests)+burst) - float64(retries+b.reserved)
		if span < budgetSpans {
			left++ // the few requests of a short span may allow less than one retry
		}
		remaining = min(remaining, left)
	}
	return remaining
}

// count returns the requests of the buckets that are within the last span, and the retries of these and of the bucket in which it begins.
func (b *budget) count(at time.Time, span time.Duration) (requests, retries int) {
	for _, bucket := range b.buckets {
		age := at.Sub(bucket.start)
		if age <= span {
			requests += bucket.requests
		}
		if age <= span+bucketWidth {
			retries += bucket.retries
		}
	}
	return requests, retries
}

// reserve grants a retry, and reports whether one was left. It must be followed by spend or release.
func (b *budget) reserve(at time.Time, limits RetryLimits, sharers int) bool {
	if b.remaining(at, limits, sharers) < 1 {
		return false
	}
	b.reserved++
	return true
}

// spend counts a reserved retry as sent.
func (b *budget) spend(at time.Time, limits RetryLimits) {
	b.reserved--
	b.bucket(at, limits.window).retries++
}

// release returns a reserved retry that is not sent.
func (b *budget) release() { b.reserved-- }

// isUnused reports whether a budget counts nothing, so that a new one allows the same.
func (b *budget) isUnused(at time.Time, limits RetryLimits) bool {
	return b.reserved == 0 && !slices.ContainsFunc(b.buckets, func(bucket budgetBucket) bool {
		return at.Sub(bucket.start) <= limits.window+bucketWidth
	})
}

// forgetBudgets removes the budgets of services that got no requests within the window.
func (s *State) forgetBudgets(now time.Time) {
	maps.DeleteFunc(s.budgets, func(_ string, b *budget) bool { return b.isUnused(now, s.settings.retries) })
}

// RetryLimits limit the retries of all daemons together.
type RetryLimits struct {
	ratio  float64
	burst  float64
	window time.Duration
}

// NewRetryLimits returns limits that allow ratio times the requests plus burst in each window. Ratio and burst are from 0 to
// quantity.MaxCount.
func NewRetryLimits(ratio, burst float64, window time.Duration) RetryLimits {
	limit := func(value float64) float64 { return min(max(value, 0), quantity.MaxCount) }
	return RetryLimits{limit(ratio), limit(burst), window}
}

// Window returns the length of the window.
func (l RetryLimits) Window() time.Duration { return l.window }

// reserveRetry reports whether the budget grants the next send of a call, or has granted it before.
func (s *State) reserveRetry(now time.Time, c *call) bool {
	if !c.hasReservedRetry {
		c.hasReservedRetry = s.budget(c.service).reserve(now, s.settings.retries, s.retrySharers)
	}
	return c.hasReservedRetry
}

// spendRetry counts the retry that was reserved for a call, if any, since the call is sent.
func (s *State) spendRetry(now time.Time, c *call) {
	if c.hasReservedRetry {
		c.hasReservedRetry = false
		s.budget(c.service).spend(now, s.settings.retries)
	}
}

// releaseRetry returns the retry that was reserved for a call, if any, since the call ends.
func (s *State) releaseRetry(c *call) {
	if c.hasReservedRetry {
		c.hasReservedRetry = false
		s.budget(c.service).release()
	}
}
