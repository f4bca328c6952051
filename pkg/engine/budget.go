package engine

// budget is the retry budget of one model: a ratio of its calls, and a burst.
type budget struct{ spent float64 }

// refill returns the share of one call to the budget.
func (b *budget) refill(ratio float64) { b.spent = max(b.spent-ratio, 0) }

// spend reports whether one more retry is allowed, and counts it.
func (b *budget) spend(burst int) bool {
	if b.spent+1 > float64(burst) {
		return false
	}
	b.spent++
	return true
}
