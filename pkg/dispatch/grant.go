package dispatch

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The decisions of this file answer many daemons that send to the same replicas: each sees a replica's load only by the
// few answers that it gets itself, seconds late, so that calls queue in some replicas while others have free slots. The
// replicas of a model are divided into a few shares. One daemon keeps the count of each share, and the others ask it for a
// place before they send. Where all are taken, calls wait with that daemon, which gives a place that becomes free to the
// most urgent one of all.

// shares is into how many parts the replicas of a model are divided. More of them divide the work of keeping count, fewer
// let a call take the next place that becomes free at more replicas.
const shardsPerModel = 4 // a dozen replicas of a small fleet make three in each, of which one frees a place each 50 ms

// The bounds of asking.
const (
	slotRequestTimeout  = 40 * time.Millisecond // ten round trips between the data centres of a region
	unresponsiveBackoff = time.Second           // a daemon that did not answer is not asked; a restart takes about as long
	maxShardTries       = 2                     // shares asked for a free place before a call waits for one
)

// Shard is a part of the replicas of a model, whose count one daemon keeps.
type Shard struct {
	model  string
	number uint64
}

// shareOf returns the share of the replica of that head.
func shardOf(model, head string) Shard {
	return Shard{model, xxhash.Sum64String(head) % shardsPerModel}
}

// NewShard returns a share of the replicas of model.
func NewShard(model string, number uint64) Shard { return Shard{model, number % shardsPerModel} }

// Model returns the model whose replicas they are.
func (s Shard) Model() string { return s.model }

// Number returns which of the shares of the model it is.
func (s Shard) Number() uint64 { return s.number }

// String returns the name of the share.
func (s Shard) String() string { return s.model + "/" + strconv.FormatUint(s.number, 10) }

// ask is a question for a place that has not been answered.
type pendingSlot struct {
	call     *call
	shard    Shard
	owner    string
	deadline time.Time // when an answer is due
	isLast   bool      // no other share is asked
	isQueued bool      // the call waits there until a place becomes free
}

// pressure is what the daemon that keeps the count of a share last told of it.
type shardLoad struct {
	excess int // calls that wait, less the places that are free
	at     time.Time
}

// pressureKept is how long an answer tells how full a share is; places turn over within a few seconds.
const maxShardLoadAge = time.Second

// mayAsk reports whether a call is to have a place before it is sent; what has run already is not held up.
func (s *State) needsSlot(c *call) bool { return !s.withoutSlots && c.sends == 0 && s.isModelCall(c) }

// askFor asks for a free place for a call, first in two shares and then for one to wait for in the less full of all; it
// sends the call if there is nobody to ask.
func (s *State) requestSlot(now time.Time, up Upstreams, c *call) {
	shard, isFound := s.pickShard(now, up, c)
	maxWait := time.Duration(0)
	if len(c.deniedShards) >= maxShardTries || !isFound {
		shard, isFound = s.leastLoadedShard(now, up, c)
		maxWait = max(s.waitDeadline(c).Sub(now), 1)
	}
	owner := up.Owner(shard)
	if !isFound || now.Before(s.unresponsive[owner]) {
		s.placeWithoutSlot(now, up, c)
		return
	}
	s.lastSlotRequest++
	s.pendingSlots[s.lastSlotRequest] = &pendingSlot{c, shard, owner, now.Add(slotRequestTimeout), maxWait > 0, false}
	request := SlotRequest{
		id: s.lastSlotRequest, shard: shard, prompt: c.prompt, priority: c.priority,
		onTimeWait: max(s.onTimeUntil(c).Sub(now), 0), maxWait: maxWait,
		organisation: c.organisation,
	}
	if owner != "" {
		s.emit(RequestSlot{owner, request})
		return
	}
	s.handleSlotReply(now, up, s.decideSlotRequest(now, up, "", request))
}

// pickShare returns the less full one of the shares of two replicas, drawn at random.
func (s *State) pickShard(now time.Time, up Upstreams, c *call) (Shard, bool) {
	var shards []Shard
	for _, t := range s.targets(up, c) {
		if shard := shardOf(c.model, t.name); !slices.Contains(c.deniedShards, shard) {
			shards = append(shards, shard)
		}
	}
	if len(shards) == 0 {
		return Shard{}, false
	}
	a, b := shards[s.random.IntN(len(shards))], shards[s.random.IntN(len(shards))]
	if s.excess(now, b) < s.excess(now, a) {
		a = b
	}
	return a, true
}

// leastShare returns the share of a model that is believed to be the least full for its replicas.
func (s *State) leastLoadedShard(now time.Time, up Upstreams, c *call) (Shard, bool) {
	replicas := map[Shard]int{}
	for _, t := range s.targets(up, c) {
		replicas[shardOf(c.model, t.name)]++
	}
	var best Shard
	least := 0.0
	for i, shard := range sortedShards(replicas) {
		if fullness := float64(s.excess(now, shard)) / float64(replicas[shard]); i == 0 || fullness < least {
			best, least = shard, fullness
		}
	}
	return best, len(replicas) > 0
}

func (s *State) excess(now time.Time, shard Shard) int {
	if p := s.shardLoads[shard]; now.Sub(p.at) <= maxShardLoadAge {
		return p.excess
	}
	return 0
}

// freshUntil returns until when a call that waits can still be on time.
func (s *State) onTimeUntil(c *call) time.Time {
	if c.isCallerRetry() {
		return c.arrived
	}
	engine, model := s.engineOf(c)
	firstEvent := time.Duration(firstEventPasses*float64(engine.EventInterval(model, engine.Slots()))) + firstEventReads*engine.Read(model, c.prompt)
	return c.arrived.Add(c.route.LatencyGoal() - firstEvent)
}

// What the first event of a call takes at a full replica.
const (
	firstEventPasses = 2.5 // half of the one that runs, one that reads the prompt, one that writes the first event
	firstEventReads  = 2   // its own prompt and that of another call
)

// answered takes in whether a call has a place.
func (s *State) handleSlotReply(now time.Time, up Upstreams, e SlotReply) {
	pending := s.pendingSlots[e.requestID]
	if pending == nil {
		s.releaseSlot(up, e) // it took too long, and the call went on without
		return
	}
	c := pending.call
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
	if e.status == SlotGranted && isLive && s.sendToSlot(now, up, c, e) {
		return
	}
	s.releaseSlot(up, e)
	if isLive {
		s.handleSlotDenied(now, up, c, pending, e.status)
	}
}

// giveBack lets the daemon that keeps count know that a place it gave is not used.
func (s *State) releaseSlot(up Upstreams, e SlotReply) {
	if e.status != SlotGranted {
		return
	}
	if shard, isListed := s.shardOfListed(up, e.upstream); isListed {
		s.upstream(e.upstream).model = shard.model
		s.unreported[e.upstream] = true
	}
}

// sendTo sends a call to the place that it was given, and reports whether that is still possible.
func (s *State) sendToSlot(now time.Time, up Upstreams, c *call, e SlotReply) bool {
	u := s.upstream(e.upstream)
	i := slices.IndexFunc(s.targets(up, c), func(t Target) bool { return t.name == e.upstream })
	if i < 0 || now.Before(u.avoidUntil) {
		return false
	}
	t := s.targets(up, c)[i]
	u.recordLoad(now, NewLoad(e.calls-1, 0, t.slots)) // the call itself is counted when it is sent
	chosen := candidate{target: t, upstream: u, calls: float64(e.calls)}
	chosen.cost = s.firstEventTime(c, chosen)
	s.send(now, c, chosen, e.calls)
	return true
}

// denied asks for a place in another share, and refuses the call if that helps no more.
func (s *State) handleSlotDenied(now time.Time, up Upstreams, c *call, pending *pendingSlot, status SlotStatus) {
	c.deniedShards = append(c.deniedShards, pending.shard)
	switch {
	case status == SlotGranted, status == SlotNoReplicas:
		s.placeWithoutSlot(now, up, c)
	case !pending.isLast:
		s.requestSlot(now, up, c)
	default:
		s.giveUp(now, c, Overload, s.slotRetryAfter(now, c))
	}
}

// againLater returns when a caller should come back whose call found no place in any line: as late as callers heed, since
// all places have gone to others for a while, and spread so that they don't return together.
func (s *State) slotRetryAfter(now time.Time, c *call) time.Duration {
	longest := maxRetryAfterRatio * float64(c.deadline.Sub(now))
	return time.Duration(longest * (1 + s.random.Float64()) / 2)
}

// checkAsks goes on with the calls whose question was not answered in time, or waits with a daemon that does not keep the
// count any more.
func (s *State) checkPendingSlots(now time.Time, up Upstreams) {
	for _, id := range slices.Sorted(maps.Keys(s.pendingSlots)) {
		pending := s.pendingSlots[id]
		isMoved := pending.isQueued && up.Owner(pending.shard) != pending.owner
		if now.Before(pending.deadline) && !isMoved {
			continue
		}
		delete(s.pendingSlots, id)
		switch c := pending.call; {
		case s.calls[c.id] != c:
		case isMoved:
			s.requestSlot(now, up, c)
		case pending.isQueued:
			s.giveUp(now, c, Overload, s.slotRetryAfter(now, c))
		default:
			s.unresponsive[pending.owner] = now.Add(unresponsiveBackoff)
			s.placeWithoutSlot(now, up, c)
		}
	}
}

// recall notes that the number of calls at a replica changed.
func (s *State) markUnreported(c *call, head string) {
	if s.isModelCall(c) {
		s.unreported[head] = true
		s.upstream(head).model = c.model
	}
}

// tellClaims tells the daemons that keep count how many calls this one has at replicas where that changed, or whose count
// another daemon keeps now.
func (s *State) reportUsage(now time.Time, up Upstreams) {
	usage := map[string]map[string]ReplicaUsage{}
	for _, head := range slices.Sorted(maps.Keys(s.upstreams)) {
		u := s.upstreams[head]
		if u.model == "" || u.running == 0 && !s.unreported[head] {
			continue
		}
		owner := up.Owner(shardOf(u.model, head))
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
