package caller

import (
	"math/bits"
	"time"
)

const (
	// latencyClasses is the number of classes of calls by their limit of tokens. Each class covers twice the range of
	// the one before.
	latencyClasses = 18
	// latencyGain is the weight of one call in the averages.
	latencyGain = 1.0 / 16
)

// latencyStats holds the time from dispatch to end of calls, by their limit of tokens.
type latencyStats struct {
	overall  average
	byTokens [latencyClasses]average
}

// average is a moving average with its mean deviation, in seconds.
type average struct {
	mean      float64
	deviation float64
	samples   int
}

func (a *average) add(seconds float64) {
	if a.samples == 0 {
		a.mean, a.deviation = seconds, seconds/2
	}
	a.samples++
	gap := seconds - a.mean
	a.mean += latencyGain * gap
	a.deviation += latencyGain * (max(gap, -gap) - a.deviation)
}

// lowerBound returns a time that most calls exceed.
func (a *average) lowerBound() time.Duration { return seconds(max(a.mean-a.deviation, 0)) }

// upperBound returns a time that few calls exceed.
func (a *average) upperBound() time.Duration { return seconds(a.mean + upperDeviations*a.deviation) }

// upperDeviations is how many mean deviations above the mean few calls are.
const upperDeviations = 3

func (l *latencyStats) add(tokens int, elapsed time.Duration) {
	l.overall.add(elapsed.Seconds())
	l.byTokens[latencyClass(tokens)].add(elapsed.Seconds())
}

// lowerBound returns a time that most calls with this limit of tokens exceed, 0 without samples.
func (l *latencyStats) lowerBound(tokens int) time.Duration {
	class := &l.byTokens[latencyClass(tokens)]
	if class.samples == 0 {
		return 0
	}
	return class.lowerBound()
}

// upperBound returns a time that few calls with this limit of tokens exceed, 0 without samples.
func (l *latencyStats) upperBound(tokens int) time.Duration {
	class := &l.byTokens[latencyClass(tokens)]
	if class.samples == 0 {
		return 0
	}
	return class.upperBound()
}

// mean returns the mean time of all calls, 0 without samples.
func (l *latencyStats) mean() time.Duration { return seconds(l.overall.mean) }

func latencyClass(tokens int) int { return min(bits.Len(uint(max(tokens, 0))), latencyClasses-1) }

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }
