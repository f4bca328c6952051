package dispatch

import "time"

// The parts of a second in which arrivals are counted.
const budgetStep = 500 * time.Millisecond // a twentieth of the window that the platform counts over

// safety is the part of the budget that is used, since windows of daemons and platform don't begin together.
const safety = 0.8

// budget bounds how often requests to one service are sent again, over a sliding window.
type budget struct {
	steps []budgetCount
}

type budgetCount struct {
	at      time.Time
	firsts  int
	repeats int
}

func (b *budget) now(at time.Time, window time.Duration) *budgetCount {
	for len(b.steps) > 0 && at.Sub(b.steps[0].at) > window {
		b.steps = b.steps[1:]
	}
	if n := len(b.steps); n == 0 || at.Sub(b.steps[n-1].at) >= budgetStep {
		b.steps = append(b.steps, budgetCount{at: at})
	}
	return &b.steps[len(b.steps)-1]
}

// first counts a request that is sent for the first time.
func (b *budget) first(at time.Time, window time.Duration) { b.now(at, window).firsts++ }

// left returns how many requests may still be sent again.
func (b *budget) left(at time.Time, limits RetryLimits, sharers int) float64 {
	b.now(at, limits.window)
	firsts, repeats := 0, 0
	for _, step := range b.steps {
		firsts += step.firsts
		repeats += step.repeats
	}
	allowed := limits.ratio*float64(firsts) + limits.burst/float64(max(sharers, 1))
	return safety*allowed - float64(repeats)
}

// repeat takes one more send from the budget, and reports whether there was one left.
func (b *budget) repeat(at time.Time, limits RetryLimits, sharers int) bool {
	if b.left(at, limits, sharers) < 1 {
		return false
	}
	b.now(at, limits.window).repeats++
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
