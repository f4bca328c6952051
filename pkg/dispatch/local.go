package dispatch

import (
	"slices"
	"time"
)

// Traffic between data centres is billed, and it adds a round trip to each request. In a deployment with several data centres, a call
// gets a slot in the one of its daemon while there is room, and the least loaded one otherwise.

// minLocalRoom is the share of the slots of a data centre that must be free for its own calls to prefer it. A replica that runs more calls takes
// longer until the first event, which a model with few replicas in a data centre can least afford.
const minLocalRoom = 0.4

// localShard returns the shard of the replicas in the data centre of this daemon, and whether it has room for a call.
func (s *State) localShard(now time.Time, up Upstreams, c *call) (Shard, bool) {
	if !s.isModelCall(c) || !prefersLocal(s.policy) {
		return Shard{}, false
	}
	slots, shard := 0, Shard{}
	for _, t := range s.targets(up, c) {
		if t.isLocal && t.centre != "" && !slices.Contains(c.tried, t.name) {
			slots += t.slots
			shard = s.shardFor(c, t.name, t.centre)
		}
	}
	if slots == 0 || slices.Contains(c.deniedShards, shard) {
		return Shard{}, false
	}
	load, isKnown := s.shardLoads[shard]
	if !isKnown || now.Sub(load.receivedAt) > maxShardLoadAge {
		return shard, true
	}
	return shard, float64(-load.excess) >= minLocalRoom*float64(slots)
}
