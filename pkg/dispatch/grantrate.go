package dispatch

import "time"

// The decisions of this file answer an organisation that floods all daemons: the daemon that keeps the count of a share
// sees what each organisation got of it, while each of many daemons has too few calls to tell.

// give counts a place that an organisation got.
func (t *slotTable) countGrant(now time.Time, organisation string) {
	r := t.granted[organisation]
	if r == nil {
		r = &rate{}
		t.granted[organisation] = r
	}
	r.add(now)
}

// part returns how many places an organisation got in a second, over the last ones.
func (t *slotTable) grantRate(now time.Time, organisation string) float64 {
	if r := t.granted[organisation]; r != nil {
		return r.perSecond(now)
	}
	return 0
}

// isShort reports whether an organisation got far less than an even part: it is not what causes the others to wait.
func (t *slotTable) isUnderserved(now time.Time, organisation string) bool {
	total, organisations := 0.0, 0.0
	for _, r := range t.granted {
		if perSecond := r.perSecond(now); perSecond > 0 {
			total += perSecond
			organisations++
		}
	}
	return t.grantRate(now, organisation)*organisations < underservedRatio*total
}
