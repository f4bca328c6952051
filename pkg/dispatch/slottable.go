package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/azurepond/azurepond/pkg/quantity"
)

// The limits of a slot table.
const (
	usageTTL       = 10 * time.Second // calls take about three seconds; each change renews a report
	maxSlotWaiters = 1024             // per shard; a second of calls at the largest fleets
	prefillRatio   = 0.5              // of the engine's prefill rate, while it also decodes
)

// slotTable tracks the slots of a shard at its owner.
type slotTable struct {
	replicas    map[string]*replicaSlots
	waiters     []slotWaiter     // requests that wait for a slot
	grantRates  map[string]*rate // of granted slots, by organisation
	releaseRate rate             // of slots that became free
	grantedRate rate             // of slots granted
	balancedAt  time.Time        // when the granted slots last sufficed for the offered calls
	offeredRate rate             // of calls that could meet their goal when they requested a slot

	isLimited     bool        // all upstreams of the shard name limits or are cold
	hasLimits     bool        // one of them does
	hasCold       bool        // one of them is cold
	limitedReturn time.Time   // the latest time at which a denied call was told to return
	returns       []time.Time // the times at which denied calls were told to return, in order

	policy    policy
	lastSlack time.Time // when slots last sufficed for calls that can no longer meet their goal
}

// replicaSlots tracks the calls at one replica.
type replicaSlots struct {
	daemons              map[string]daemonCalls // by name, this one under ""
	pendingPrefillTokens float64                // estimated prompt tokens sent but not prefilled yet
	estimatedAt          time.Time              // time of that estimate
	slowdown             float64                // average of observed over expected time to the first event, 0 if unknown
	isProbing            bool                   // the next report replaces the slowdown
	slowdownAt           time.Time              // time of the last reported slowdown or granted probe
	tokens               float64                // requests that the limit of the upstream allows now
	refilledAt           time.Time              // time of that count, zero while there is no limit
}

// daemonCalls is the number of calls of one daemon at a replica.
type daemonCalls struct {
	calls      int
	reportedAt time.Time
}

// slotWaiter is a slot request that waits, with the daemon that sent it.
type slotWaiter struct {
	SlotRequest
	daemon     string
	queuedAt   time.Time
	isExpected bool // the call was denied before and told to return now
}

func (s *State) slotTable(shard Shard) *slotTable {
	t := s.slotTables[shard]
	if t == nil {
		t = &slotTable{replicas: map[string]*replicaSlots{}, grantRates: map[string]*rate{}, policy: s.policy}
		s.slotTables[shard] = t
	}
	return t
}

func (t *slotTable) replica(head string) *replicaSlots {
	r := t.replicas[head]
	if r == nil {
		r = &replicaSlots{daemons: map[string]daemonCalls{}}
		t.replicas[head] = r
	}
	return r
}

func (r *replicaSlots) calls() int {
	total := 0
	for _, daemon := range r.daemons {
		total += daemon.calls
	}
	return total
}

// setCalls sets the number of calls of a daemon, and drops expired reports.
func (r *replicaSlots) setCalls(now time.Time, daemon string, calls int) {
	r.daemons[daemon] = daemonCalls{calls, now}
	r.dropExpired(now)
}

func (r *replicaSlots) dropExpired(now time.Time) {
	maps.DeleteFunc(r.daemons, func(_ string, daemon daemonCalls) bool {
		return daemon.calls <= 0 || now.Sub(daemon.reportedAt) > usageTTL
	})
}

// deductPrefilled deducts the tokens that were prefilled since the last estimate.
func (r *replicaSlots) deductPrefilled(now time.Time, tokensPerSecond float64) {
	r.pendingPrefillTokens = max(r.pendingPrefillTokens-now.Sub(r.estimatedAt).Seconds()*tokensPerSecond, 0)
	r.estimatedAt = now
}

// decideSlotRequest grants a slot, queues the request or denies it.
func (s *State) decideSlotRequest(now time.Time, up Upstreams, daemon string, request SlotRequest) SlotReply {
	table := s.slotTable(request.shard)
	waiter := slotWaiter{SlotRequest: request, daemon: daemon, queuedAt: now}
	s.workOnRequest(waiter)
	reply := SlotReply{requestID: request.requestID, status: SlotDenied, excess: len(table.waiters) + 1}
	if !s.hasReplicas(up, request) {
		reply.status = SlotNoReplicas
		return reply
	}
	s.refreshLimits(now, up, request.shard)
	waiter.isExpected = table.takeReturn(now, request)
	if !slices.ContainsFunc(table.waiters, slotWaiter.isUnrestricted) {
		table.lastSlack = now
		if target, isFree := s.bestReplica(now, up, waiter); isFree {
			table.countOffer(now, waiter)
			return s.grantSlot(now, up, table, waiter, target)
		}
	}
	if request.maxWait == 0 {
		return reply
	}
	table.countOffer(now, waiter)
	if len(table.waiters) < maxSlotWaiters && !table.isUnservable(now, waiter) &&
		s.expectedSlotWait(now, up, waiter) <= table.longestWait(now, waiter) {
		table.waiters = append(table.waiters, waiter)
		reply.status = SlotQueued
		return reply
	}
	reply.retryAfter = s.limitedRetryAfter(now, up, request)
	return reply
}

// slackWindow is how long late calls may still queue after slots last sufficed for one. About fifty slots of a shard
// become free in that time.
const slackWindow = time.Second

// isUnservable reports whether a call can no longer meet its goal and all slots go to calls that can. A call of an
// underserved organisation is never unservable.
func (t *slotTable) isUnservable(now time.Time, w slotWaiter) bool {
	return !w.isExpected && !t.isUnderserved(now, w.organisation) && w.isLate(now) &&
		(now.Sub(t.lastSlack) > slackWindow || t.isOverloaded(now))
}

// expectedWait returns the expected wait of a call behind those ahead of it, at the rate at which slots become free.
func (t *slotTable) expectedWait(now time.Time, w slotWaiter) time.Duration {
	perSecond := t.releaseRate.perSecond(now)
	if perSecond <= 0 {
		return 0
	}
	return quantity.Seconds(float64(t.ahead(now, w)) / perSecond)
}

// ahead returns the number of calls that wait ahead of one that arrives.
func (t *slotTable) ahead(now time.Time, w slotWaiter) int {
	ahead := 0
	for _, other := range t.waiters {
		if t.compare(now, other, w) <= 0 {
			ahead++
		}
	}
	return ahead
}

// compare orders waiting requests: first those that were told to return now, then those of underserved organisations,
// those that can still meet their latency goal, those of a more urgent priority, those of organisations with fewer slots
// granted recently, and the older ones. While the overload of the shard lasts, the younger ones come first: in order of
// arrival, all would wait until they can just no longer meet their goal.
func (t *slotTable) compare(now time.Time, a, b slotWaiter) int {
	byAge := a.queuedAt.Compare(b.queuedAt)
	if t.isOverloaded(now) && isYoungestFirst(t.policy) && !t.isLimited {
		byAge = -byAge
	}
	return cmp.Or(
		cmp.Compare(boolToInt(b.isExpected), boolToInt(a.isExpected)),
		cmp.Compare(boolToInt(t.isUnderserved(now, b.organisation)), boolToInt(t.isUnderserved(now, a.organisation))),
		cmp.Compare(boolToInt(a.isLate(now)), boolToInt(b.isLate(now))),
		cmp.Compare(a.priority, b.priority),
		cmp.Compare(t.grantRate(now, a.organisation), t.grantRate(now, b.organisation)),
		byAge,
	)
}

func (w slotWaiter) isLate(now time.Time) bool { return now.Sub(w.queuedAt) > w.onTimeWait }

// serveWaiters grants the free slots of a shard to waiting requests.
func (s *State) serveWaiters(now time.Time, up Upstreams, shard Shard) {
	table := s.slotTable(shard)
	table.waiters = slices.DeleteFunc(table.waiters, func(w slotWaiter) bool { return now.Sub(w.queuedAt) >= w.maxWait })
	s.refreshLimits(now, up, shard)
	s.denyUnservable(now, up, table)
	var skipped []slotWaiter // restricted to regions without a free slot
	for len(table.waiters) > 0 {
		best := slices.MinFunc(table.waiters, func(a, b slotWaiter) int { return table.compare(now, a, b) })
		target, isFree := s.bestReplica(now, up, best)
		if !isFree && best.isUnrestricted() {
			break
		}
		table.waiters = slices.DeleteFunc(table.waiters, func(w slotWaiter) bool {
			return w.daemon == best.daemon && w.requestID == best.requestID
		})
		if !isFree {
			skipped = append(skipped, best)
			continue
		}
		if best.isLate(now) || len(table.waiters) == 0 {
			table.lastSlack = now
		}
		s.replySlot(now, up, best, s.grantSlot(now, up, table, best, target))
	}
	if len(table.waiters) == 0 {
		table.lastSlack = now
	}
	table.waiters = append(table.waiters, skipped...)
}

// isUnrestricted reports whether the call may be sent to any upstream of the shard. Only such a waiting call keeps others from a free slot.
func (w slotWaiter) isUnrestricted() bool { return !w.regions.IsRestricted() }

// denyUnservable denies the waiting requests that are unservable.
func (s *State) denyUnservable(now time.Time, up Upstreams, table *slotTable) {
	var denied []slotWaiter
	table.waiters = slices.DeleteFunc(table.waiters, func(w slotWaiter) bool {
		isUnservable := table.isUnservable(now, w)
		if isUnservable {
			denied = append(denied, w)
		}
		return isUnservable
	})
	for _, w := range denied {
		s.replySlot(now, up, w, SlotReply{requestID: w.requestID, status: SlotDenied, excess: len(table.waiters)})
	}
}

// replySlot replies to the daemon of a waiting request, which may be this one.
func (s *State) replySlot(now time.Time, up Upstreams, w slotWaiter, reply SlotReply) {
	if w.daemon != "" {
		s.emit(ReplySlot{w.daemon, reply})
		return
	}
	s.handleSlotReply(now, up, reply)
}

// handlePeersChanged removes the calls and waiting requests of daemons that are no longer live.
func (s *State) handlePeersChanged(live []string) {
	isGone := func(name string) bool { return name != "" && !slices.Contains(live, name) }
	for _, table := range s.slotTables {
		table.waiters = slices.DeleteFunc(table.waiters, func(w slotWaiter) bool { return isGone(w.daemon) })
		for _, replica := range table.replicas {
			maps.DeleteFunc(replica.daemons, func(name string, _ daemonCalls) bool { return isGone(name) })
		}
	}
}

// handleUsageReported applies a usage report and grants the slots that it frees.
func (s *State) handleUsageReported(now time.Time, up Upstreams, e UsageReported) {
	changed := map[Shard]int{}
	for _, head := range slices.Sorted(maps.Keys(e.usage)) {
		shard, isKnown := s.shardOfKnown(up, head)
		if !isKnown {
			continue
		}
		table := s.slotTable(shard)
		replica := table.replica(head)
		if released := replica.daemons[e.from].calls - e.usage[head].calls; released > 0 {
			table.releaseRate.addCount(now, released)
		}
		replica.setCalls(now, e.from, e.usage[head].calls)
		replica.recordSlowdown(now, e.usage[head].slowdown)
		changed[shard]++
	}
	for _, shard := range sortedShards(changed) {
		s.serveWaiters(now, up, shard)
	}
}

// shardOfListed returns the shard of a replica that is listed.
func (s *State) shardOfListed(up Upstreams, head string) (Shard, bool) {
	service, _ := s.config.EngineService()
	for _, m := range service.Engine().Models() {
		for _, t := range up.Replicas(m.Name()) {
			if t.name == head {
				return shardOf(m.Name(), head), true
			}
		}
	}
	for shard := range s.slotTables {
		if shard.service != "" && slices.ContainsFunc(up.Processes(shard.service), func(t Target) bool { return t.name == head }) {
			return shard, true
		}
	}
	return Shard{}, false
}

// shardOfKnown returns the shard of a replica that is listed or has a slot table entry. Calls that end while the
// replica is not listed must not occupy its slots when it is listed again.
func (s *State) shardOfKnown(up Upstreams, head string) (Shard, bool) {
	for shard, table := range s.slotTables {
		if table.replicas[head] != nil {
			return shard, true
		}
	}
	return s.shardOfListed(up, head)
}

// serveAllWaiters serves the waiting requests of all shards, for slots that become free without a usage report: a
// replica was added, or reports expired.
func (s *State) serveAllWaiters(now time.Time, up Upstreams) {
	waiting := map[Shard]int{}
	for shard, table := range s.slotTables {
		if len(table.waiters) == 0 {
			continue
		}
		waiting[shard]++
		for _, replica := range table.replicas {
			replica.dropExpired(now)
		}
	}
	for _, shard := range sortedShards(waiting) {
		s.serveWaiters(now, up, shard)
	}
}

func sortedShards(set map[Shard]int) []Shard {
	return slices.SortedFunc(maps.Keys(set), func(a, b Shard) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.model, b.model), cmp.Compare(a.number, b.number))
	})
}

// forgetReplicas removes the entries of replicas that are no longer listed, rates that fell to 0, and tables without
// replicas and waiting requests.
func (s *State) forgetReplicas(up Upstreams) {
	for shard, table := range s.slotTables {
		for head := range table.replicas {
			if _, isListed := s.shardOfListed(up, head); !isListed {
				delete(table.replicas, head)
			}
		}
		maps.DeleteFunc(table.grantRates, func(_ string, r *rate) bool { return r.perSecond(s.lastCleanup) == 0 })
		if len(table.replicas)+len(table.waiters) == 0 {
			delete(s.slotTables, shard)
		}
	}
}
