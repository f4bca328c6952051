package engine

import (
	"math/rand/v2"
	"time"

	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/instance"
)

const (
	// maxCandidates limits the sampled replicas in the same data centre that a call chooses from, and likewise those in
	// other data centres.
	maxCandidates = 4
	// maxSamples limits the replicas that are sampled to find these candidates.
	maxSamples = 16
)

// candidate is a replica and the cost of a call on it, in calls of a replica at full speed.
type candidate struct {
	upstream Upstream
	replica  *replicaState
	cost     float64
}

func (c *candidate) replaceIfCheaper(other candidate) {
	if c.replica == nil || other.cost < c.cost {
		*c = other
	}
}

// route returns the replica that runs call next: the cheapest of a random sample and of those that cache its prompt.
// Replicas in tried are skipped.
func (s *State) route(now time.Time, r Replicas, call caller.Call, tried []instance.ReplicaID) (candidate, bool) {
	var best candidate
	s.considerRandom(&best, now, r, call, tried)
	s.considerCached(&best, now, r, call, tried)
	s.considerMapped(&best, now, r, call, tried)
	if best.replica == nil {
		s.considerAll(&best, now, r, call, tried)
	}
	return best, best.replica != nil
}

// considerRandom evaluates a random sample of replicas, in the same data centre and in others.
func (s *State) considerRandom(best *candidate, now time.Time, r Replicas, call caller.Call, tried []instance.ReplicaID) {
	size := r.Len(call.Target())
	local, remote := 0, 0
	random := s.randomSource(call)
	for sampler := newSampler(random, size); local < maxCandidates && sampler.hasNext(); {
		upstream := r.At(call.Target(), sampler.next())
		isLocal := s.isLocal(upstream)
		if !isLocal && remote == maxCandidates {
			continue
		}
		c, accepts := s.evaluate(now, upstream, tried)
		if !accepts || c.replica.isCoolingDown(now) || s.skipsForRampUp(now, c.replica) {
			continue
		}
		if isLocal {
			local++
		} else {
			remote++
		}
		best.replaceIfCheaper(c)
	}
}

// randomSource returns the source of random numbers for the sample. A content that never ran to completion uses a
// source that is seeded with its hash. All daemons then send it to the same few replicas, and it crashes only these if
// it is poisonous.
func (s *State) randomSource(call caller.Call) *rand.PCG {
	if call.Fingerprint() == 0 || s.suspects.isKnownGood(call.Fingerprint()) {
		return &s.random
	}
	s.contentRandom.Seed(call.Fingerprint(), 0)
	return &s.contentRandom
}

// considerCached evaluates the replicas that cache the longest prefix of the prompt. Their discount is limited to a few
// calls, so that affinity never outweighs load.
func (s *State) considerCached(best *candidate, now time.Time, r Replicas, call caller.Call, tried []instance.ReplicaID) {
	holders, cachedPart := s.prefixes.find(call.PrefixHashes())
	for _, replica := range holders {
		if replica == nil {
			continue
		}
		upstream, isAvailable := r.Find(replica.id)
		if !isAvailable {
			continue
		}
		c, accepts := s.evaluate(now, upstream, tried)
		if !accepts || c.replica.isCoolingDown(now) || s.skipsForRampUp(now, c.replica) {
			continue
		}
		if upstream.load.Queued() == 0 {
			c.cost -= cachedPart * float64(s.settings.CacheAffinity())
		}
		best.replaceIfCheaper(c)
	}
}

// considerAll evaluates all replicas, including those that failed recently. It is used in the rare case that the other
// steps found none.
func (s *State) considerAll(best *candidate, now time.Time, r Replicas, call caller.Call, tried []instance.ReplicaID) {
	size := r.Len(call.Target())
	for i := range size {
		if c, accepts := s.evaluate(now, r.At(call.Target(), i), tried); accepts {
			best.replaceIfCheaper(c)
		}
	}
}

// evaluate returns the cost of a call on a replica, false if the replica accepts no call or was tried.
func (s *State) evaluate(now time.Time, upstream Upstream, tried []instance.ReplicaID) (candidate, bool) {
	for _, other := range tried {
		if other == upstream.replica {
			return candidate{}, false
		}
	}
	replica := s.replica(now, upstream.replica)
	s.restartRampIfAbsent(now, replica)
	if !replica.acceptsCalls(now) {
		return candidate{}, false
	}
	cost := float64(replica.callCount(upstream)+1) * replica.callCost(now)
	if !s.isLocal(upstream) {
		cost += float64(s.settings.RemotePenalty())
	}
	return candidate{upstream, replica, cost}, true
}

// skipsForRampUp reports whether to skip a replica that is still ramping up. All daemons see its low load with a delay,
// so by cost alone all of them would send to it at once.
func (s *State) skipsForRampUp(now time.Time, replica *replicaState) bool {
	share := replica.rampShare(now, s.settings.RampUpWindow())
	return share < 1 && fraction(s.random.Uint64()) > share
}

func (s *State) isLocal(upstream Upstream) bool { return upstream.dataCentre == s.settings.dataCentre }
