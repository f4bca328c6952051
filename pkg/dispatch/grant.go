package dispatch

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/azurepond/azurepond/pkg/quantity"
)

// Slot requests coordinate daemons that send to the same replicas. Without them each daemon learns a replica's load
// only from the few responses that it gets itself, seconds late, so that calls queue in some replicas while others
// have free slots. The replicas of a model are divided into shards. One daemon owns each shard and grants its slots;
// the others request a slot from it before they send. If none is free, calls wait at the owner, which grants the next
// free slot to the most urgent one.

// shardsPerModel is the number of shards of a model. More shards spread the work of their owners; with fewer, a waiting
// call can get the next free slot of more replicas.
const shardsPerModel = 4 // a dozen replicas make three per shard, each of which frees a slot every 50 ms

// The limits of slot requests.
const (
	slotRequestTimeout    = 40 * time.Millisecond  // ten round trips between the data centres of a region
	maxSlotRequestTimeout = 200 * time.Millisecond // longer waits make a call late
	slotRequestWaits      = 2                      // how often a request waits for this daemon: to write it and to read the reply
	unresponsiveBackoff   = time.Second            // after a missing reply; a restart takes about as long
	maxShardTries         = 2                      // shards that are tried for a free slot before a call waits for one
)

// Shard is a part of the replicas of a model, or all processes of a plain service, whose slots one daemon grants.
type Shard struct {
	service string // empty for replicas
	model   string
	number  uint64
}

// shardOf returns the shard of a replica, by its head.
func shardOf(model, head string) Shard {
	return NewShard(model, xxhash.Sum64String(head))
}

// NewShard returns a shard of the replicas of model.
func NewShard(model string, number uint64) Shard {
	return Shard{model: model, number: number % shardsPerModel}
}

// NewServiceShard returns the shard of all processes of a plain service.
func NewServiceShard(service string) Shard { return Shard{service: service} }

// Service returns the plain service of the shard, empty for replicas of a model.
func (s Shard) Service() string { return s.service }

// Model returns the model of the replicas.
func (s Shard) Model() string { return s.model }

// Number returns the number of the shard within its model.
func (s Shard) Number() uint64 { return s.number }

// String returns the shard as model/number, or as the name of its service.
func (s Shard) String() string {
	if s.service != "" {
		return s.service
	}
	return s.model + "/" + strconv.FormatUint(s.number, 10)
}

// pendingSlot is a slot request without a final reply.
type pendingSlot struct {
	call     *call
	shard    Shard
	owner    string
	sentAt   time.Time
	deadline time.Time // until when the call waits for a slot, if isQueued
	isLast   bool      // no other shard is tried after this one
	isQueued bool      // waits at the owner for a free slot
}

// shardLoad is the load of a shard in the last reply of its owner.
type shardLoad struct {
	excess     int // waiting calls minus free slots
	receivedAt time.Time
}

// forgetShards removes the loads of shards that are no longer valid, and the backoffs of daemons that have ended.
func (s *State) forgetShards(now time.Time) {
	maps.DeleteFunc(s.shardLoads, func(_ Shard, load shardLoad) bool { return now.Sub(load.receivedAt) > maxShardLoadAge })
	maps.DeleteFunc(s.unresponsive, func(_ string, until time.Time) bool { return !now.Before(until) })
}

// maxShardLoadAge is how long the load of a shard is valid; slots turn over within a few seconds.
const maxShardLoadAge = time.Second

// needsSlot reports whether a call needs a slot before it is sent. A retry does not, to avoid further delay, unless an upstream of the
// call names a limit or is cold.
func (s *State) needsSlot(now time.Time, up Upstreams, c *call) bool {
	return requestsSlots(s.policy) && (c.sends == 0 && s.isModelCall(c) || s.hasLimited(now, up, c))
}

// shardFor returns the shard of an upstream of a call.
func (s *State) shardFor(c *call, name string) Shard {
	if s.isModelCall(c) {
		return shardOf(c.model, name)
	}
	return NewServiceShard(c.service)
}

// requestSlot requests a slot for a call: first a free one in up to maxShardTries shards, then one to wait for in the
// least loaded shard. It places the call without a slot if there is no shard or its owner recently did not reply.
func (s *State) requestSlot(now time.Time, up Upstreams, c *call) {
	s.workOn(c)
	shard, isFound := s.pickShard(now, up, c)
	maxWait := time.Duration(0)
	if len(c.deniedShards) >= maxShardTries || !isFound || shard.service != "" {
		shard, isFound = s.leastLoadedShard(now, up, c)
		maxWait = max(s.waitDeadline(c).Sub(now), 1)
	}
	owner := up.Owner(shard)
	if !isFound || now.Before(s.unresponsive[owner]) {
		s.placeWithoutSlot(now, up, c)
		return
	}
	s.lastSlotRequest++
	s.pendingSlots[s.lastSlotRequest] = &pendingSlot{call: c, shard: shard, owner: owner, sentAt: now, isLast: maxWait > 0}
	request := SlotRequest{
		requestID: s.lastSlotRequest, shard: shard, promptTokens: c.promptTokens, priority: c.priority,
		onTimeWait: max(s.onTimeUntil(c).Sub(now), 0), maxWait: maxWait,
		organisation: c.organisation, timeLeft: c.deadline.Sub(now), tried: c.tried, regions: c.regions, centre: up.Centre(),
	}
	if owner != "" {
		s.emit(RequestSlot{owner, request})
		return
	}
	s.handleSlotReply(now, up, s.decideSlotRequest(now, up, "", request))
}

// pickShard returns the less loaded of the shards of two random replicas, or that of a random replica in this data centre unless all slots of
// that shard are known to be taken.
func (s *State) pickShard(now time.Time, up Upstreams, c *call) (Shard, bool) {
	var shards, local []Shard
	for _, t := range s.targets(up, c) {
		shard := s.shardFor(c, t.name)
		if slices.Contains(c.deniedShards, shard) || slices.Contains(c.tried, t.name) {
			continue
		}
		shards = append(shards, shard)
		if prefersLocal(s.policy) && t.isLocal && t.centre != "" {
			local = append(local, shard)
		}
	}
	if len(shards) == 0 {
		return Shard{}, false
	}
	if len(local) > 0 {
		if shard := local[s.random.IntN(len(local))]; s.mayHaveRoom(now, shard) {
			return shard, true
		}
	}
	a, b := shards[s.random.IntN(len(shards))], shards[s.random.IntN(len(shards))]
	if s.excess(now, b) < s.excess(now, a) {
		a = b
	}
	return a, true
}

// leastLoadedShard returns the shard of a model with the lowest known load per replica.
func (s *State) leastLoadedShard(now time.Time, up Upstreams, c *call) (Shard, bool) {
	replicas := map[Shard]int{}
	for _, t := range s.targets(up, c) {
		if !slices.Contains(c.tried, t.name) {
			replicas[s.shardFor(c, t.name)]++
		}
	}
	var best Shard
	lowest := 0.0
	for i, shard := range sortedShards(replicas) {
		if load := float64(s.excess(now, shard)) / float64(replicas[shard]); i == 0 || load < lowest {
			best, lowest = shard, load
		}
	}
	return best, len(replicas) > 0
}

func (s *State) excess(now time.Time, shard Shard) int {
	if load := s.shardLoads[shard]; now.Sub(load.receivedAt) <= maxShardLoadAge {
		return load.excess
	}
	return 0
}

// onTimeUntil returns the time until which a waiting call can still meet its latency goal.
func (s *State) onTimeUntil(c *call) time.Time {
	switch {
	case c.hasPartialAnswer:
		return s.waitDeadline(c)
	case c.isCallerRetry():
		return c.arrived
	case !s.isModelCall(c):
		return c.arrived.Add(time.Duration(maxWaitGoalRatio * float64(c.route.LatencyGoal())))
	}
	engine, model := s.engineOf(c)
	firstEvent := quantity.Duration(firstEventIntervals, engine.EventInterval(model, engine.Slots())) +
		firstEventPrefills*engine.Read(model, c.promptTokens)
	return c.arrived.Add(c.route.LatencyGoal() - firstEvent)
}

// The time to the first event of a call at a full replica is firstEventIntervals event intervals plus firstEventPrefills
// times the prefill time of the prompt.
const (
	firstEventIntervals = 2.5 // half of the current event interval, one for the prefill, one for the first event
	firstEventPrefills  = 2   // the prompts of this call and of another one
)

// handleSlotReply sends a call to its granted slot. A queued call stays pending; handleSlotDenied handles any other.
func (s *State) handleSlotReply(now time.Time, up Upstreams, e SlotReply) {
	pending := s.pendingSlots[e.requestID]
	if pending == nil {
		s.releaseSlot(up, e) // late reply; the call has gone on without it
		return
	}
	c := pending.call
	s.workOn(c)
	s.shardLoads[pending.shard] = shardLoad{e.excess, now}
	if e.status == SlotQueued {
		pending.isQueued, pending.deadline = true, s.waitDeadline(c).Add(slotRequestTimeout)
		if c.queuedAt.IsZero() {
			c.queuedAt = now
			s.note(now, c, NoteQueued, "", pending.shard.String(), Inputs{waiting: e.excess})
		}
		return
	}
	delete(s.pendingSlots, e.requestID)
	if e.status == SlotNoReplicas {
		s.unresponsive[pending.owner] = now.Add(unresponsiveBackoff)
	}
	isLive := s.calls[c.id] == c
	if e.status == SlotGranted && isLive && !s.isStaleGrant(now, up, c, e) && s.sendToSlot(now, up, c, e) {
		return
	}
	s.releaseSlot(up, e)
	if isLive {
		s.handleSlotDenied(now, up, c, pending, e)
	}
}

// releaseSlot has the next usage report tell the shard owner that a granted slot is not used.
func (s *State) releaseSlot(up Upstreams, e SlotReply) {
	if e.status != SlotGranted {
		return
	}
	if shard, isListed := s.shardOfListed(up, e.upstream); isListed {
		s.upstream(e.upstream).shard = shard
		s.unreported[e.upstream] = true
	}
}

// sendToSlot sends a call to its granted slot, and reports whether the upstream is still available.
func (s *State) sendToSlot(now time.Time, up Upstreams, c *call, e SlotReply) bool {
	u := s.upstream(e.upstream)
	targets := s.targets(up, c)
	i := slices.IndexFunc(targets, func(t Target) bool { return t.name == e.upstream })
	if i < 0 || !u.isAvailable(now) {
		return false
	}
	t := targets[i]
	u.recordLoad(now, NewLoad(e.calls-1, 0, t.slots)) // send counts the call itself
	chosen := candidate{target: t, upstream: u, calls: float64(e.calls)}
	chosen.cost = s.firstEventTime(c, chosen)
	c.hasSlot = true
	s.send(now, up, c, chosen, len(targets))
	return true
}

// handleSlotDenied handles a call without a usable slot: it requests one in another shard, or refuses the call after
// the last one. If the granted replica is not available or the owner lists no replica, it places the call without a
// slot.
func (s *State) handleSlotDenied(now time.Time, up Upstreams, c *call, pending *pendingSlot, e SlotReply) {
	c.deniedShards = append(c.deniedShards, pending.shard)
	switch {
	case e.status == SlotGranted, e.status == SlotNoReplicas:
		s.placeWithoutSlot(now, up, c)
	case !pending.isLast:
		s.requestSlot(now, up, c)
	case e.retryAfter > 0:
		s.giveUp(now, c, UpstreamLimit, e.retryAfter)
	default:
		s.giveUp(now, c, Overload, s.slotRetryAfter(now, c))
	}
}

// slotRetryAfter returns the Retry-After time of a call that was denied in all shards. It is near the longest time that
// callers respect, since the slots are taken for a while. Jitter prevents that callers retry together.
func (s *State) slotRetryAfter(now time.Time, c *call) time.Duration {
	longest := maxRetryAfterRatio * float64(c.deadline.Sub(now))
	return time.Duration(longest * (1 + s.random.Float64()) / 2)
}

// checkPendingSlots handles the slot requests that are overdue or wait at a daemon that no longer owns the shard.
func (s *State) checkPendingSlots(now time.Time, up Upstreams) {
	for _, id := range slices.Sorted(maps.Keys(s.pendingSlots)) {
		pending := s.pendingSlots[id]
		isMoved := pending.isQueued && up.Owner(pending.shard) != pending.owner
		if !isMoved && !s.isOverdue(now, pending) {
			continue
		}
		delete(s.pendingSlots, id)
		switch c := pending.call; {
		case s.calls[c.id] != c: // the call has ended
		case isMoved:
			s.requestSlot(now, up, c)
		case pending.isQueued:
			s.giveUp(now, c, Overload, s.slotRetryAfter(now, c))
		default:
			if now.Sub(pending.sentAt) >= s.neededSlotTimeout(now) {
				s.unresponsive[pending.owner] = now.Add(unresponsiveBackoff)
			}
			s.placeWithoutSlot(now, up, c)
		}
	}
}

// isOverdue reports whether the reply to a slot request, or the slot that it waits for, should have arrived.
func (s *State) isOverdue(now time.Time, pending *pendingSlot) bool {
	if pending.isQueued {
		return !now.Before(pending.deadline)
	}
	return now.Sub(pending.sentAt) >= min(s.neededSlotTimeout(now), maxSlotRequestTimeout)
}

// neededSlotTimeout returns how long the reply of a responsive owner may take, as this daemon sees it.
func (s *State) neededSlotTimeout(now time.Time) time.Duration {
	return slotRequestTimeout + slotRequestWaits*s.lag.Recent(now)
}

// markUnreported includes an upstream in the next usage report if its slots are granted.
func (s *State) markUnreported(a *attempt, name string) {
	if s.isModelCall(a.call) || a.hasSlot {
		s.unreported[name] = true
		s.upstream(name).shard = s.shardFor(a.call, name)
	}
}

// reportUsage reports the calls of this daemon at replicas to the shard owners: at the replicas where they changed, and
// at those whose shard has a new owner.
func (s *State) reportUsage(now time.Time, up Upstreams) {
	usage := map[string]map[string]ReplicaUsage{}
	for _, head := range slices.Sorted(maps.Keys(s.upstreams)) {
		u := s.upstreams[head]
		if u.shard == (Shard{}) || u.running == 0 && !s.unreported[head] {
			continue
		}
		owner := up.Owner(u.shard)
		if !s.unreported[head] && u.reportedTo == owner {
			continue
		}
		u.reportedTo = owner
		if usage[owner] == nil {
			usage[owner] = map[string]ReplicaUsage{}
		}
		usage[owner][head] = ReplicaUsage{u.running, u.slowdown}
		u.slowdown = 0
	}
	clear(s.unreported)
	for _, owner := range slices.Sorted(maps.Keys(usage)) {
		if owner == "" {
			s.handleUsageReported(now, up, UsageReported{"", usage[owner]})
			continue
		}
		s.emit(ReportUsage{owner, usage[owner]})
	}
}
