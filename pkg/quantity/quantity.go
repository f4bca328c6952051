package quantity

import "time"

// MaxCount is the highest count. A million of them can be added.
const MaxCount = 1 << 40

// MaxDuration is the longest duration. A hundred of them can be added.
const MaxDuration = 365 * 24 * time.Hour

// Count returns a number as a count from 0 to MaxCount, and 0 for NaN.
func Count(value float64) int {
	switch {
	case !(value > 0): // also NaN
		return 0
	case value >= MaxCount:
		return MaxCount
	}
	return int(value)
}

// Limit returns an integer as a count from 0 to MaxCount.
func Limit(value int64) int { return int(min(max(value, 0), MaxCount)) }

// Duration returns a number of units as a duration from -MaxDuration to MaxDuration, and 0 for NaN.
func Duration(value float64, unit time.Duration) time.Duration {
	product := value * float64(unit)
	switch {
	case product >= float64(MaxDuration):
		return MaxDuration
	case product <= -float64(MaxDuration):
		return -MaxDuration
	case product != product: // NaN
		return 0
	}
	return time.Duration(product)
}

// Seconds returns a number of seconds as a duration from -MaxDuration to MaxDuration, and 0 for NaN.
func Seconds(value float64) time.Duration { return Duration(value, time.Second) }

// Milliseconds returns a number of milliseconds as a duration from -MaxDuration to MaxDuration, and 0 for NaN.
func Milliseconds(value float64) time.Duration { return Duration(value, time.Millisecond) }
