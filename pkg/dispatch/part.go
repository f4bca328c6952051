package dispatch

import "time"

// The decisions of this file answer an organisation that floods all daemons: the daemon that keeps the count of a share
// sees what each organisation got of it, while each of many daemons has too few calls to tell.

// give counts a place that an organisation got.
func (l *ledger) give(now time.Time, organisation string) {
	r := l.given[organisation]
	if r == nil {
		r = &rate{}
		l.given[organisation] = r
	}
	r.add(now)
}

// part returns how many places an organisation got in a second, over the last ones.
func (l *ledger) part(now time.Time, organisation string) float64 {
	if r := l.given[organisation]; r != nil {
		return r.per(now)
	}
	return 0
}

// isShort reports whether an organisation got far less than an even part: it is not what causes the others to wait.
func (l *ledger) isShort(now time.Time, organisation string) bool {
	all, count := 0.0, 0.0
	for _, r := range l.given {
		if per := r.per(now); per > 0 {
			all += per
			count++
		}
	}
	return l.part(now, organisation)*count < shortPart*all
}
