package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/azurepond/azurepond/pkg/quantity"
)

// An upstream in need names in its answers the rate of requests that it accepts from all daemons together, for as long as it names it.
// The owner of its shard grants its slots at that rate. While an upstream names a limit, every send to it needs a slot, also
// a retry and a call of a plain service, and a daemon whose slot request is not answered sends it nothing.

// Limit is what an answer of an upstream says about the rate of requests that it accepts; the zero value says nothing.
type Limit struct {
	isKnown   bool
	perSecond float64 // 0 for no limit
}

// minLimit is the lowest rate per second that a limit may have. The end of a lower one would not be heard for too long.
const minLimit = 0.1

// MaxLimit is more requests per second than one upstream can get.
const MaxLimit = 1e9

// NewLimit returns a limit of requests per second from all daemons together, at least minLimit and at most MaxLimit.
func NewLimit(perSecond float64) Limit { return Limit{true, min(max(perSecond, minLimit), MaxLimit)} }

// NoLimit returns the limit of an answer that names none.
func NoLimit() Limit { return Limit{isKnown: true} }

// PerSecond returns the rate in requests per second, 0 for no limit.
func (l Limit) PerSecond() float64 { return l.perSecond }

// upstreamLimit is the limit of an upstream, as this daemon knows it.
type upstreamLimit struct {
	perSecond  float64
	learnedAt  time.Time // when an answer or a peer last named it
	reportedAt time.Time // when this daemon last told it to the owner of the shard, or as the owner to all daemons
}

// The times of messages about limits.
const (
	limitReportInterval = 2 * time.Second  // in which an owner that has just started learns of the limits
	limitShareInterval  = 20 * time.Second // a daemon that starts learns of the limits that were shared within the TTL
	limitTTL            = time.Minute
)

// observeLimit records what an answer to an attempt says about the limit of its upstream. An answer without a limit ends the limit only if
// its request was sent after the limit was last named: answers may overtake each other.
func (s *State) observeLimit(now time.Time, up Upstreams, a *attempt, l Limit) {
	known := s.limits[a.target()]
	if !l.isKnown || l.perSecond == 0 && (known.perSecond == 0 || !a.sentAt.After(known.learnedAt)) {
		return
	}
	s.setLimit(now, a.target(), l.perSecond, answerSource)
	shard := s.shardFor(a.call, a.target())
	s.startLimit(now, up, shard)
	s.publishLimit(now, up.Owner(shard), a.target(), l.perSecond, known)
}

// startLimit lets the limits of a shard that this daemon owns accumulate from now on, and not from the first slot request on.
func (s *State) startLimit(now time.Time, up Upstreams, shard Shard) {
	if up.Owner(shard) == "" {
		s.refreshLimits(now, up, shard)
	}
}

// The sources of the limits that no peer reported.
const (
	answerSource = "answer" // to this daemon
	listSource   = "list"   // no longer has the upstream
)

// setLimit records the limit of an upstream, 0 for none.
func (s *State) setLimit(now time.Time, name string, perSecond float64, source string) {
	known := s.limits[name]
	if perSecond != known.perSecond {
		s.emit(LimitChanged{name, perSecond, source})
	}
	if perSecond == 0 {
		delete(s.limits, name)
		return
	}
	s.limits[name] = upstreamLimit{perSecond, now, known.reportedAt}
}

// publishLimit tells the owner of an upstream's shard a limit that has begun, changed or ended since before, and repeats it from time to
// time. The owner tells it to all daemons.
func (s *State) publishLimit(now time.Time, owner, name string, perSecond float64, before upstreamLimit) {
	isUrgent, interval := perSecond < before.perSecond, limitReportInterval
	if owner == "" { // the others need to know only whether there is a limit
		isUrgent, interval = false, limitShareInterval
	}
	isNew := (perSecond == 0) != (before.perSecond == 0)
	if !isNew && !isUrgent && now.Sub(before.reportedAt) < interval {
		return
	}
	if limit, isKnown := s.limits[name]; isKnown {
		limit.reportedAt = now
		s.limits[name] = limit
	}
	if owner == "" {
		s.emit(ShareLimit{name, perSecond, limitTTL})
		return
	}
	s.emit(ReportLimit{owner, name, perSecond})
}

// handleLimitReported records the limit that another daemon knows. As the owner of the shard, this daemon tells it to the others.
func (s *State) handleLimitReported(now time.Time, up Upstreams, e LimitReported) {
	before := s.limits[e.upstream]
	s.setLimit(now, e.upstream, e.perSecond, e.from)
	shard, isKnown := s.shardOfKnown(up, e.upstream)
	if isKnown {
		s.startLimit(now, up, shard)
	}
	if !e.isShared && (!isKnown || up.Owner(shard) == "") {
		s.publishLimit(now, "", e.upstream, e.perSecond, before)
	}
}

// hasLimited reports whether an upstream of a call names a limit or is cold.
func (s *State) hasLimited(now time.Time, up Upstreams, c *call) bool {
	return len(s.limits)+len(s.coldShards) > 0 &&
		slices.ContainsFunc(s.targets(up, c), func(t Target) bool { return s.limitsRequests(now, t) })
}

// limitsRequests reports whether an upstream names a limit or is cold.
func (s *State) limitsRequests(now time.Time, t Target) bool { return s.allowedRate(now, t) > 0 }

// allowedRate returns the requests per second that an upstream accepts from all daemons together, 0 for no limit. The lower rate holds if
// it both names a limit and is cold.
func (s *State) allowedRate(now time.Time, t Target) float64 {
	named, cold := s.limits[t.name].perSecond, t.coldRateAt(now)
	if named == 0 || cold == 0 {
		return named + cold
	}
	return min(named, cold)
}

// requestQueuedSlots requests slots for the queued calls that need one because of a limit.
func (s *State) requestQueuedSlots(now time.Time, up Upstreams) {
	for _, c := range slices.Clone(s.queue) {
		if slices.Contains(s.queue, c) && s.mayRequestSlot(now, up, c) {
			s.dequeue(c)
			s.requestSlot(now, up, c)
		}
	}
}

// mayRequestSlot reports whether a queued call that needs a slot because of a limit can request one, since the owner of the shard is
// responsive again.
func (s *State) mayRequestSlot(now time.Time, up Upstreams, c *call) bool {
	if !s.hasLimited(now, up, c) || !s.needsSlot(now, up, c) || !s.hasUntried(up, c) || s.throttledFor(now, up, c) > 0 {
		return false
	}
	shard, isFound := s.leastLoadedShard(now, up, c)
	return isFound && !now.Before(s.unresponsive[up.Owner(shard)])
}

// How many requests an unused limit accumulates: a number of them, and those of a time. Together with the requests of a window they stay
// below what upstreams tolerate, also while a shard moves to another owner.
const (
	limitBurst     = 2
	limitBurstTime = 250 * time.Millisecond
)

// grantLimit is what the owner of a shard may grant of an upstream: requests per second, and how many of them accumulate while they are
// not used. The zero value is no limit.
type grantLimit struct {
	isLimited bool
	perSecond float64
	burst     float64
}

// grantLimit returns what this daemon may grant of an upstream of a shard.
func (s *State) grantLimit(now time.Time, shard Shard, t Target) grantLimit {
	named := grantLimit{}
	if perSecond := s.limits[t.name].perSecond; perSecond > 0 {
		named = grantLimit{true, perSecond, limitBurst + perSecond*limitBurstTime.Seconds()}
	}
	perSecond := t.coldRateAt(now)
	if perSecond == 0 {
		return named
	}
	cold := s.coldGrantLimit(now, shard, perSecond)
	if !named.isLimited {
		return cold
	}
	return grantLimit{true, min(named.perSecond, cold.perSecond), min(named.burst, cold.burst)}
}

// refill adds the requests that a limit has allowed since the last time. A new owner starts without any, since the previous one may have
// granted them.
func (r *replicaSlots) refill(now time.Time, a grantLimit) {
	switch {
	case !a.isLimited:
		r.tokens, r.refilledAt = 0, time.Time{}
		return
	case !r.refilledAt.IsZero():
		r.tokens = min(r.tokens+a.perSecond*now.Sub(r.refilledAt).Seconds(), a.burst)
	}
	r.refilledAt = now
}

// isAllowed reports whether the limit of an upstream allows another request now.
func (r *replicaSlots) isAllowed() bool { return r.refilledAt.IsZero() || r.tokens >= 1 }

// allowed returns how many of a number of requests the limit of an upstream allows now.
func (r *replicaSlots) allowed(count int) int {
	if r.refilledAt.IsZero() {
		return count
	}
	return min(count, quantity.Count(r.tokens))
}

func (r *replicaSlots) takeToken() {
	if !r.refilledAt.IsZero() {
		r.tokens--
	}
}

// refreshLimits refills the limits of the upstreams of a shard.
func (s *State) refreshLimits(now time.Time, up Upstreams, shard Shard) {
	table := s.slotTable(shard)
	if len(s.limits)+len(s.coldShards) == 0 && !table.hasLimits {
		return
	}
	members := s.members(up, shard)
	table.isLimited, table.hasLimits, table.hasCold = len(members) > 0, false, false
	for _, t := range members {
		limit := s.grantLimit(now, shard, t)
		table.replica(t.name).refill(now, limit)
		table.isLimited = table.isLimited && limit.isLimited
		table.hasLimits = table.hasLimits || limit.isLimited
		table.hasCold = table.hasCold || t.coldRateAt(now) > 0
	}
}

// expectedSlotWait returns the expected wait of a call behind those ahead of it.
func (s *State) expectedSlotWait(now time.Time, up Upstreams, w slotWaiter) time.Duration {
	table := s.slotTable(w.shard)
	if !table.isLimited {
		return table.expectedWait(now, w)
	}
	wait := s.limitedWait(now, up, w.shard, table.ahead(now, w))
	if table.hasCold { // which may allow more requests than slots become free
		return max(wait, table.expectedWait(now, w))
	}
	return wait
}

// limitedWait returns the time until the limits of all upstreams of a shard have allowed a number of requests and one more, or until one
// of them is no longer cold.
func (s *State) limitedWait(now time.Time, up Upstreams, shard Shard, ahead int) time.Duration {
	table, members := s.slotTable(shard), s.members(up, shard)
	granted := make([]int, len(members))
	next := func(i int) float64 { // seconds until the next request to a member
		t := members[i]
		wait := max(float64(granted[i]+1)-table.replica(t.name).tokens, 0) / s.allowedRate(now, t)
		if s.limits[t.name].perSecond == 0 {
			return min(wait, t.coldUntil.Sub(now).Seconds())
		}
		return wait
	}
	wait := 0.0
	for range ahead + 1 {
		earliest := 0
		for i := range members {
			if next(i) < next(earliest) {
				earliest = i
			}
		}
		wait = next(earliest)
		granted[earliest]++
	}
	return quantity.Seconds(wait)
}

// limitedRetryAfter returns when a call that is denied because of the limits of a shard may get a slot, 0 if they are not the reason. The
// calls that were told to return get the times after each other. While an overload lasts, no slot is expected in the time that is left
// to the caller.
func (s *State) limitedRetryAfter(now time.Time, up Upstreams, request SlotRequest) time.Duration {
	table := s.slotTable(request.shard)
	if !table.isLimited {
		return 0
	}
	perSecond := 0.0
	for _, t := range s.members(up, request.shard) {
		perSecond += s.allowedRate(now, t)
	}
	first := now.Add(s.limitedWait(now, up, request.shard, len(table.waiters)))
	due := later(first, table.limitedReturn.Add(quantity.Seconds(1/perSecond)))
	wait := due.Sub(now)
	switch {
	case table.isOverloaded(now):
		return max(wait, request.timeLeft)
	case wait < request.timeLeft:
		table.limitedReturn = due
		table.returns = append(table.returns, due)
	}
	return wait
}

// returnSlack is how much later than told a denied call may return.
const returnSlack = 500 * time.Millisecond

// takeReturn reports whether a call that waits for a slot is one of those that were told to return now.
func (t *slotTable) takeReturn(now time.Time, request SlotRequest) bool {
	for len(t.returns) > 0 && now.Sub(t.returns[0]) > returnSlack {
		t.returns = t.returns[1:]
	}
	if request.maxWait == 0 || request.onTimeWait > 0 || len(t.returns) == 0 || now.Before(t.returns[0]) {
		return false
	}
	t.returns = t.returns[1:]
	return true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// IsLimited reports whether an upstream names a limit.
func (s *State) IsLimited(name string) bool { return s.limits[name].perSecond > 0 }

// Limited returns the number of upstreams that name a limit.
func (s *State) Limited() int { return len(s.limits) }

// forgetLimits removes the limits of upstreams that are no longer listed.
func (s *State) forgetLimits(now time.Time, up Upstreams) {
	if len(s.limits) == 0 {
		return
	}
	listed := map[string]bool{}
	for name := range s.config.Services() {
		for _, t := range up.Processes(name) {
			listed[t.name] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.limits)) {
		if !listed[name] {
			s.setLimit(now, name, 0, listSource)
		}
	}
}
