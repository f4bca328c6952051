package dispatch

import "time"

// Fairness when one organisation floods all daemons: each of many daemons has too few calls to detect that, but the
// owner of a shard sees how many slots each organisation gets.

// countGrant counts a slot granted to an organisation.
func (t *slotTable) countGrant(now time.Time, organisation string) {
	r := t.grantRates[organisation]
	if r == nil {
		r = &rate{}
		t.grantRates[organisation] = r
	}
	r.add(now)
}

// grantRate returns the recent rate of slots granted to an organisation, per second.
func (t *slotTable) grantRate(now time.Time, organisation string) float64 {
	if r := t.grantRates[organisation]; r != nil {
		return r.perSecond(now)
	}
	return 0
}

// limitedUnderservedRatio is the fraction of an even share below which an organisation is underserved while all upstreams of a shard name
// limits. The slots of low limits are so far apart that the calls of an organisation with few calls would all be late.
const limitedUnderservedRatio = 0.9

// isUnderserved reports whether an organisation gets far less than an even share of the slots. It is then not the cause
// of the queue.
func (t *slotTable) isUnderserved(now time.Time, organisation string) bool {
	total, organisations := 0.0, 0.0
	for _, r := range t.grantRates {
		if perSecond := r.perSecond(now); perSecond > 0 {
			total += perSecond
			organisations++
		}
	}
	ratio := underservedRatio
	if t.isLimited {
		ratio = limitedUnderservedRatio
	}
	return t.grantRate(now, organisation)*organisations < ratio*total
}
