package dispatch

import "time"

// Traffic between data centres is billed, and it adds a round trip to each request. In a deployment with several data centres, a call
// gets a slot of a replica in the data centre of its daemon while that replica has room, and the best slot of the shard otherwise. A shard
// has replicas of all data centres, so that waiting calls get the slots of any of them when a data centre has lost its own.

// minLocalRoom is the share of a replica's slots that must be free for calls of its data centre to prefer it. A replica that runs more calls
// takes longer until the first event.
const minLocalRoom = 0.6

// hasLocalRoom reports whether a replica is in the data centre of the daemon that requests a slot, and has room.
func (s *State) hasLocalRoom(request SlotRequest, t Target, replica *replicaSlots) bool {
	return prefersLocal(s.policy) && request.centre != "" && t.centre == request.centre &&
		float64(t.slots-replica.calls()) >= minLocalRoom*float64(t.slots)
}

// mayHaveRoom reports whether no recent reply says that all slots of a shard are taken.
func (s *State) mayHaveRoom(now time.Time, shard Shard) bool {
	load := s.shardLoads[shard]
	return now.Sub(load.receivedAt) > maxShardLoadAge || load.excess < 0
}
