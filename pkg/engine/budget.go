package engine

// budget is the retry budget of one model. Each retry spends one, up to the burst, and each new call refills a part of
// one.
type budget struct{ spent float64 }

// refill credits the budget with ratio, the number of retries that one new call allows.
func (b *budget) refill(ratio float64) { b.spent = max(b.spent-ratio, 0) }

// spend reports whether one more retry is allowed, and counts it.
func (b *budget) spend(burst int) bool {
	if b.spent+1 > float64(burst) {
		return false
	}
	b.spent++
	return true
}
