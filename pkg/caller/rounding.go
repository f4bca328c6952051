package caller

import (
	"math"
	"time"
)

// roundKeepingSum rounds values to integers with the same sum; offset (0 to 1) decides which values are rounded up.
func roundKeepingSum(values []float64, offset float64) []int {
	result := make([]int, len(values))
	sum := offset
	previous := 0
	for i, value := range values {
		sum += value
		rounded := int(math.Floor(sum + roundingTolerance))
		result[i] = rounded - previous
		previous = rounded
	}
	return result
}

// roundingTolerance absorbs floating-point errors in sums that are integers.
const roundingTolerance = 1e-9

// The offset stays the same for offsetIntervals allocations and then moves by offsetStep, the fractional part of the golden
// ratio, whose multiples are distributed evenly over [0, 1).
const (
	offsetIntervals = 4
	offsetStep      = 0.6180339887498949
)

// roundingOffset returns the rounding offset at now. It depends on the clock alone, so that all daemons use about the
// same offset.
func roundingOffset(now time.Time, interval time.Duration) float64 {
	steps := now.UnixNano() / int64(interval*offsetIntervals)
	_, offset := math.Modf(float64(steps%offsetCycle) * offsetStep)
	return offset
}

// offsetCycle is the number of steps after which the offsets repeat.
const offsetCycle = 1 << 20
