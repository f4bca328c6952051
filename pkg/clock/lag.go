package clock

import "time"

// recentWindow is how long a delay counts as recent. A daemon that was late once is likely to be late again soon.
const recentWindow = time.Second

// Lag is how late the daemon handled its timers recently; the zero value is a daemon that is on time.
type Lag struct {
	longest  time.Duration
	handled  time.Time // when the timer with the longest delay was handled
	reported time.Duration
}

// Observe records that a timer is handled at now, a delay after it was due.
func (l *Lag) Observe(now time.Time, delay time.Duration) {
	l.reported = max(l.reported, delay)
	if delay >= l.Recent(now) {
		l.longest, l.handled = delay, now
	}
}

// Recent returns the longest delay within the last second.
func (l *Lag) Recent(now time.Time) time.Duration {
	if now.Sub(l.handled) > recentWindow {
		return 0
	}
	return l.longest
}

// TakeLongest returns the longest delay since the last call.
func (l *Lag) TakeLongest() time.Duration {
	longest := l.reported
	l.reported = 0
	return longest
}
