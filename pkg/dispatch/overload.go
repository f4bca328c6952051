package dispatch

import "time"

// Lasting overload: for longer than a burst, more calls that can meet their goal arrive than slots become free. A slot for a
// call that is late already would make another one late. So late calls are denied, a call is queued only if it can get a slot
// in time, and the youngest call gets the next slot. After a short burst there are slots for the late calls too, so they wait.

// The thresholds of an overload.
const (
	overloadRatio   = 1.1 // of offered calls to granted slots; the moving averages differ slightly without an overload
	minOverloadRate = 4.0 // offered calls per second; the averages of fewer calls vary too much
)

// overloadDelay is how long more calls must be offered than slots are granted until an overload counts as lasting.
const overloadDelay = time.Second // slots turn over within one or two seconds

// countOffer counts a call that can be on time, when it gets a slot or asks to wait for one.
func (t *slotTable) countOffer(now time.Time, w slotWaiter) {
	if w.onTimeWait > 0 {
		t.offeredRate.add(now)
	}
	if !t.offersExceedGrants(now) {
		t.balancedAt = now
	}
}

// offersExceedGrants reports whether more calls that could be on time were offered recently than slots were granted.
func (t *slotTable) offersExceedGrants(now time.Time) bool {
	offered := t.offeredRate.perSecond(now)
	return offered >= minOverloadRate && offered > overloadRatio*t.grantedRate.perSecond(now)
}

// isOverloaded reports whether the overload of a shard lasts.
func (t *slotTable) isOverloaded(now time.Time) bool {
	return limitsOverload(t.policy) && t.offersExceedGrants(now) && now.Sub(t.balancedAt) > overloadDelay
}

// longestWait returns how long a call may be expected to wait for a slot.
func (t *slotTable) longestWait(now time.Time, w slotWaiter) time.Duration {
	if t.isOverloaded(now) && !t.isUnderserved(now, w.organisation) {
		return min(w.onTimeWait, w.maxWait)
	}
	return w.maxWait
}
