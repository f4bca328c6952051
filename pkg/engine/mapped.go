package engine

import (
	"time"

	"github.com/dgryski/go-jump"

	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/instance"
)

// considerMapped evaluates the replica to which the first prefix block hashes. All daemons then send the same prefix
// there without communication. The discount has the same limit as that of a replica that is known to cache the prompt.
func (s *State) considerMapped(best *candidate, now time.Time, r Replicas, call caller.Call, tried []instance.ReplicaID) {
	size := r.Len(call.Target())
	if len(call.PrefixHashes()) == 0 || size == 0 || s.mappingDisabled {
		return
	}
	upstream := r.At(call.Target(), int(jump.Hash(call.PrefixHashes()[0], size)))
	c, accepts := s.evaluate(now, upstream, tried)
	if !accepts || c.replica.isCoolingDown(now) || s.skipsForRampUp(now, c.replica) {
		return
	}
	if upstream.load.Queued() == 0 {
		c.cost -= float64(s.settings.CacheAffinity())
	}
	best.replaceIfCheaper(c)
}
