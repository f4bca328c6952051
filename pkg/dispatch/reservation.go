package dispatch

import (
	"slices"
	"time"
)

// Reservations: a call for which no slot is expected in time is refused when it arrives, with the time at which a slot is expected for it.
// The caller that returns at that time goes first, at whatever daemon and shard it arrives. The times are spread over the slots that calls
// on time leave, so that callers that return do not displace them.

// The limits of reservations.
const (
	maxReservationRatio = 1.0 / 3 // of the time left to the caller; callers don't respect longer Retry-After times
	minReservationRatio = 1.0 / 8 // of that time; callers that return sooner meet the burst that refused them
	minReservedShare    = 0.02    // of the slots that become free, while calls that can be on time need all; 0.05 costs more than it gains
	reservationSpread   = 0.5     // of the wait, by which times that are not reserved are spread
)

// maxQueuedRatio is the part of the time within which a call is on time that it may be expected to wait while an overload lasts. Calls beyond
// it are refused when they arrive; few waiting calls suffice to use all slots. With 0.4, most of the refused calls had waited until they
// were late in a replay of 1.2 times the capacity (TestScarceSlots).
const maxQueuedRatio = 0.25

// reservation is the time at which a denied call was told to return.
type reservation struct {
	content uint64 // hash of the content of the request, which its retry has too
	due     time.Time
}

// deny returns the reply to a request that gets no slot.
func (s *State) deny(now time.Time, up Upstreams, w slotWaiter) SlotReply {
	return SlotReply{
		requestID: w.requestID, status: SlotDenied, excess: s.slotTable(w.shard).queued(now) + 1, retryAfter: s.reserve(now, up, w),
	}
}

// reserve returns after what time a slot is expected for a denied call, and keeps that time for it if its caller can wait so long.
func (s *State) reserve(now time.Time, up Upstreams, w slotWaiter) time.Duration {
	table := s.slotTable(w.shard)
	if table.isLimited {
		return s.limitedRetryAfter(now, up, w.SlotRequest)
	}
	if !refusesAtArrival(table.policy) {
		return 0
	}
	if i := table.reservationOf(w); i >= 0 {
		return later(table.returns[i].due, now).Sub(now)
	}
	perSecond := table.spareRate(now)
	if perSecond <= 0 {
		return 0
	}
	interval := waitFor(1, perSecond)
	earliest := time.Duration(minReservationRatio * float64(w.timeLeft))
	due := now.Add(max(earliest, s.expectedSlotWait(now, up, w)))
	due = later(due, table.lastReturn.Add(interval))
	wait := due.Sub(now)
	if float64(wait) > maxReservationRatio*float64(w.timeLeft) || w.content == 0 {
		return wait + time.Duration(reservationSpread*s.random.Float64()*float64(wait))
	}
	table.lastReturn = due
	table.returns = append(table.returns, reservation{w.content, due})
	return wait
}

// spareRate returns the rate of the slots that calls that can be on time leave, per second.
func (t *slotTable) spareRate(now time.Time) float64 {
	released := t.releaseRate.perSecond(now)
	return max(released-t.offeredRate.perSecond(now), minReservedShare*released)
}

// rateFor returns the rate of the slots that become free for a call. A late call gets those that calls on time leave, any other one those that
// more urgent calls leave.
func (t *slotTable) rateFor(now time.Time, w slotWaiter) float64 {
	if refusesAtArrival(t.policy) && t.offersExceedGrants(now) && w.isLate(now) {
		return t.spareRate(now)
	}
	released, urgent := t.releaseRate.perSecond(now), 0.0
	if !refusesAtArrival(t.policy) || !t.offersExceedGrants(now) {
		return released
	}
	for priority, r := range t.urgentRates {
		if priority < w.priority {
			urgent += r.perSecond(now)
		}
	}
	return max(released-urgentWeight*urgent, minReservedShare*released)
}

// urgentWeight is the part of the more urgent calls that is expected to overtake a waiting call; the others are refused or get slots of
// other shards. With 0, less urgent calls are served more often than urgent ones, as they may wait longer; with 1, too few of them.
const urgentWeight = 0.5

// urgentRate returns the rate of offered calls of a priority.
func (t *slotTable) urgentRate(priority int) *rate {
	r := t.urgentRates[priority]
	if r == nil {
		r = &rate{}
		t.urgentRates[priority] = r
	}
	return r
}

// isAhead reports whether a waiting call delays one that arrives. While an overload lasts, the younger of two equal calls gets a slot first,
// but the older one counts all the same: otherwise the queue would have no bound.
func (t *slotTable) isAhead(now time.Time, other, w slotWaiter) bool {
	isEqual := other.due.IsZero() && other.isLate(now) == w.isLate(now) && other.priority == w.priority && other.organisation == w.organisation
	return isEqual && refusesAtArrival(t.policy) && !t.isLimited || t.compare(now, other, w) <= 0
}

// takeReservation gives a request the reservation of its caller, also if the caller returns early: it then waits until the reservation
// is due, behind the others.
func (t *slotTable) takeReservation(now time.Time, w *slotWaiter) {
	t.returns = slices.DeleteFunc(t.returns, func(r reservation) bool { return now.Sub(r.due) > returnSlack })
	i := t.reservationOf(*w)
	if i < 0 || float64(t.returns[i].due.Sub(now)) > maxWaitTimeoutRatio*float64(w.timeLeft) {
		return // the daemon of the call would not wait so long
	}
	w.due = later(t.returns[i].due, now)
	w.maxWait = min(max(w.maxWait, w.due.Sub(now)+returnSlack), w.timeLeft)
	t.returns = slices.Delete(t.returns, i, i+1)
}

// reservationOf returns the index of a call's reservation, -1 if it has none.
func (t *slotTable) reservationOf(w slotWaiter) int {
	return slices.IndexFunc(t.returns, func(r reservation) bool { return r.content == w.content && w.content != 0 })
}

// waitFor returns the time in which a number of slots become free, at most maxExpectedWait.
func waitFor(slots int, perSecond float64) time.Duration {
	return time.Duration(min(float64(slots)/perSecond, maxExpectedWait.Seconds()) * float64(time.Second))
}

// maxExpectedWait limits an expected wait, which may exceed the range of a duration while hardly any slot becomes free.
const maxExpectedWait = time.Hour

// isExpected reports whether the reservation of a call is due.
func (w slotWaiter) isExpected(now time.Time) bool { return !w.due.IsZero() && !now.Before(w.due) }

// usedTime returns the part of the route's timeout that the caller has used before, as by earlier tries.
func (c *call) usedTime() time.Duration {
	if c.timeout <= 0 {
		return 0
	}
	return max(c.route.Timeout()-c.timeout, 0)
}

// shardTries returns in how many shards a free slot is requested for a call. A caller that returns may have a reservation in any of them.
func (s *State) shardTries(c *call) int {
	if refusesAtArrival(s.policy) && c.usedTime() > 0 {
		return shardsPerModel
	}
	return maxShardTries
}

// mayBeLate reports whether a call gets a slot although calls that can be on time need all of them: the calls of an underserved organisation
// may, but not those of its callers that return.
func (t *slotTable) mayBeLate(now time.Time, w slotWaiter) bool {
	return t.isUnderserved(now, w.organisation) && (w.onTimeWait > 0 || !refusesAtArrival(t.policy))
}

// queued returns the number of waiting calls as other daemons learn it, which send their calls to the shard with the fewest. Late calls do not
// count: otherwise calls that can be on time would avoid a shard that serves the late ones.
func (t *slotTable) queued(now time.Time) int {
	if !refusesAtArrival(t.policy) {
		return len(t.waiters)
	}
	count := 0
	for _, w := range t.waiters {
		if !w.isLate(now) {
			count++
		}
	}
	return count
}
