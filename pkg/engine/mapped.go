package engine

import (
	"time"

	"github.com/dgryski/go-jump"

	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/instance"
)

// mappedInto offers the replica to which the first prefix block is mapped, so that daemons meet there without messages. The
// discount has the same bound as that of a replica that is known to cache the prompt.
func (s *State) mappedInto(best *choice, now time.Time, r Replicas, call caller.Call, tried []instance.ReplicaID) {
	size := r.Len(call.Target())
	if len(call.Prefix()) == 0 || size == 0 || s.unmapped {
		return
	}
	seen := r.At(call.Target(), int(jump.Hash(call.Prefix()[0], size)))
	c, isOpen := s.judge(now, seen, tried)
	if !isOpen || c.own.isCooling(now) || s.isHeldBack(now, c.own) {
		return
	}
	if seen.load.Queued() == 0 {
		c.cost -= float64(s.settings.CacheAffinity())
	}
	best.offer(c)
}
