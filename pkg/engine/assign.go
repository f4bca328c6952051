package engine

import (
	"sort"
	"time"

	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/instance"
	"github.com/cespare/xxhash/v2"
)

// trialReplicas are the replicas for the trials of the suspects, by model and fingerprint.
type trialReplicas map[string]map[uint64]Upstream

// trialReplica returns the replica for the trial of the content of call, false if there are too few replicas.
func (s *State) trialReplica(now time.Time, r Replicas, call caller.Call, assignments trialReplicas) (Upstream, bool) {
	assigned, isKnown := assignments[call.Target()]
	if !isKnown {
		assigned = s.assignReplicas(now, r, call.Target())
		assignments[call.Target()] = assigned
	}
	upstream, isFound := assigned[call.Fingerprint()]
	return upstream, isFound
}

// assignReplicas assigns each suspect a replica of its own by rendezvous hashing. All daemons process the suspects in
// about the same order and so agree without communication. Adding or removing a suspect moves few of the others.
func (s *State) assignReplicas(now time.Time, r Replicas, model string) map[uint64]Upstream {
	free := s.uncrashedReplicas(r, model)
	result := map[uint64]Upstream{}
	for _, entry := range s.suspects.trialQueue(now) {
		if len(free) == 0 {
			break
		}
		best := s.pickReplica(entry, free)
		result[entry.fingerprint] = free[best]
		free = append(free[:best], free[best+1:]...)
	}
	return result
}

// pickReplica returns the index of the replica for the trial of entry: the one that already runs it, or else the one
// with the highest hash.
func (s *State) pickReplica(entry *suspect, free []Upstream) int {
	running := s.runningTrial(entry.fingerprint)
	best, highest := 0, uint64(0)
	for i, upstream := range free {
		if running != nil && running.replica.id == upstream.replica {
			return i
		}
		if hash := trialHash(entry.fingerprint, upstream.replica); hash >= highest {
			best, highest = i, hash
		}
	}
	return best
}

func trialHash(fingerprint uint64, replica instance.ReplicaID) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(fingerprint)
	_, _ = digest.WriteString(string(replica))
	return digest.Sum64()
}

// uncrashedReplicas returns the replicas of model that no suspect may have crashed, poisonous ones aside, or all
// replicas if there is no such replica.
func (s *State) uncrashedReplicas(r Replicas, model string) []Upstream {
	var uncrashed, all []Upstream
	for i := range r.Len(model) {
		upstream := r.At(model, i)
		all = append(all, upstream)
		if !s.suspects.hasCrashedReplica(upstream.replica) {
			uncrashed = append(uncrashed, upstream)
		}
	}
	if len(uncrashed) == 0 {
		return all
	}
	return uncrashed
}

// hasCrashedReplica reports whether replica crashed while it ran a content that isn't known to be poisonous.
func (s *suspects) hasCrashedReplica(replica instance.ReplicaID) bool {
	for _, entry := range s.entries {
		if !entry.poisonous && entry.hasCrashed(replica) {
			return true
		}
	}
	return false
}

// trialQueue returns the suspects that may get a trial on some daemon, those of the earliest crash first. Suspects of
// the same crashed replica are in the order of their fingerprints.
func (s *suspects) trialQueue(now time.Time) []*suspect {
	firstCrashes := map[instance.ReplicaID]time.Time{}
	var result []*suspect
	for _, entry := range s.pending() {
		if entry.unconfirmedCrash != "" || entry.isClaimExpired(now) {
			continue
		}
		result = append(result, entry)
		replica := entry.crashedReplicas[0]
		if known, isKnown := firstCrashes[replica]; !isKnown || entry.createdAt.Before(known) {
			firstCrashes[replica] = entry.createdAt
		}
	}
	sort.SliceStable(result, func(i, j int) bool {
		return firstCrashes[result[i].crashedReplicas[0]].Before(firstCrashes[result[j].crashedReplicas[0]])
	})
	return result
}
