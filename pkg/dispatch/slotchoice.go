package dispatch

import (
	"slices"
	"time"

	"github.com/azurepond/azurepond/pkg/quantity"
)

// The choice of the upstream of a shard that gets the next call.

// bestReplica returns the replica of a shard with a free slot, within its limit, and the shortest expected time to the first event, in
// the data centre of the daemon that requests the slot if one has room there. In the
// shard of a plain service it returns the process with the fewest calls.
func (s *State) bestReplica(now time.Time, up Upstreams, w slotWaiter) (Target, bool) {
	request := w.SlotRequest
	s.workOnRequest(w)
	table := s.slotTable(request.shard)
	var best Target
	var least time.Duration
	isFound, isLocal := false, false
	for _, t := range within(up, s.members(up, request.shard), request.regions) {
		replica := table.replica(t.name)
		replica.dropExpired(now)
		if slices.Contains(request.tried, t.name) || now.Before(s.upstream(t.name).avoidUntil) ||
			replica.calls() >= table.capacity(now, replica, t, request.shard) || !replica.isAllowed() {
			continue
		}
		cost, hasRoom := s.slotCost(now, table, request, t), s.hasLocalRoom(request, t, replica)
		if !isFound || hasRoom && !isLocal || hasRoom == isLocal && cost < least {
			best, least, isFound, isLocal = t, cost, true, hasRoom
		}
	}
	return best, isFound
}

// members returns the upstreams of a shard.
func (s *State) members(up Upstreams, shard Shard) []Target {
	if shard.service != "" {
		return up.Processes(shard.service)
	}
	var members []Target
	for _, t := range up.Replicas(shard.model) {
		if shardOf(shard.model, t.name) == shard {
			members = append(members, t)
		}
	}
	return members
}

// slotCost returns the expected time to the first event of a call at a replica, or to the answer of a process.
func (s *State) slotCost(now time.Time, table *slotTable, request SlotRequest, t Target) time.Duration {
	replica := table.replica(t.name)
	calls := replica.calls()
	if request.shard.service != "" {
		return quantity.Duration(float64(1+calls), processCallTime)
	}
	service, _ := s.config.EngineService()
	engine := service.Engine()
	model, _ := engine.Model(request.shard.model)
	replica.deductPrefilled(now, prefillRatio/max(engine.Read(model, 1).Seconds()*t.slowdown, 1e-9))
	cost := quantity.Duration(firstEventIntervals, engine.EventInterval(model, calls+1)) +
		engine.Read(model, quantity.Count(replica.pendingPrefillTokens)+request.promptTokens)
	return quantity.Duration(t.slowdown*table.slowdown(now, replica), cost)
}

// grantSlot grants a slot at a replica and counts its call.
func (s *State) grantSlot(now time.Time, up Upstreams, table *slotTable, w slotWaiter, target Target) SlotReply {
	replica := table.replica(target.name)
	replica.daemons[w.daemon] = daemonCalls{replica.daemons[w.daemon].calls + 1, now}
	replica.pendingPrefillTokens += float64(w.promptTokens)
	replica.startProbe(now)
	replica.takeToken()
	table.grantedRate.add(now)
	table.countGrant(now, w.organisation)
	return SlotReply{
		requestID: w.requestID, status: SlotGranted,
		upstream: target.name, calls: replica.calls(),
		excess: len(table.waiters) - s.freeSlots(now, up, w.shard),
	}
}

// freeSlots returns the number of free slots in a shard, without those at slow replicas.
func (s *State) freeSlots(now time.Time, up Upstreams, shard Shard) int {
	table := s.slotTable(shard)
	free := 0
	for _, t := range s.members(up, shard) {
		if replica := table.replica(t.name); table.slowdown(now, replica) == 1 {
			free += replica.allowed(max(table.capacity(now, replica, t, shard)-replica.calls(), 0))
		}
	}
	return free
}

// hasReplicas reports whether a replica or process of the shard of a request is listed here, in the regions of the call.
func (s *State) hasReplicas(up Upstreams, request SlotRequest) bool {
	return len(within(up, s.members(up, request.shard), request.regions)) > 0
}
