package engine

import (
	"sort"
	"time"

	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/instance"
	"github.com/cespare/xxhash/v2"
)

// placements are the replicas that try the suspects, by model and fingerprint.
type placements map[string]map[uint64]Upstream

// placed returns the replica that tries the content of c, false if there are not enough.
func (s *State) placed(now time.Time, r Replicas, c caller.Call, places placements) (Upstream, bool) {
	known, isKnown := places[c.Target()]
	if !isKnown {
		known = s.place(now, r, c.Target())
		places[c.Target()] = known
	}
	seen, isFound := known[c.Fingerprint()]
	return seen, isFound
}

// place gives each suspect a replica of its own. All daemons go through the suspects in about the same order, and each
// suspect takes the first free replica in an order of its own hash; so the daemons agree without asking each other, and
// a suspect more or less moves few of the others.
func (s *State) place(now time.Time, r Replicas, model string) map[uint64]Upstream {
	free := s.sound(r, model)
	result := map[uint64]Upstream{}
	for _, p := range s.suspects.queue(now) {
		if len(free) == 0 {
			break
		}
		best := s.rank(p, free)
		result[p.fingerprint] = free[best]
		free = append(free[:best], free[best+1:]...)
	}
	return result
}

// rank returns the place of the replica that tries p: where it runs already, or the one with the highest hash.
func (s *State) rank(p *suspect, free []Upstream) int {
	running := s.trial(p.fingerprint)
	best, highest := 0, uint64(0)
	for i, seen := range free {
		if running != nil && running.own.replica == seen.replica {
			return i
		}
		if hash := trialHash(p.fingerprint, seen.replica); hash >= highest {
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

// sound returns the replicas of model that no suspect may have crashed, or all if there is no such one.
func (s *State) sound(r Replicas, model string) []Upstream {
	var sound, all []Upstream
	for i := range r.Len(model) {
		seen := r.At(model, i)
		all = append(all, seen)
		if !s.suspects.hasCrashed(seen.replica) {
			sound = append(sound, seen)
		}
	}
	if len(sound) == 0 {
		return all
	}
	return sound
}

// hasCrashed reports whether replica crashed while it ran a content that waits for its verdict.
func (b *suspects) hasCrashed(replica instance.ReplicaID) bool {
	for _, p := range b.entries {
		if !p.poisonous && p.hasCrashed(replica) {
			return true
		}
	}
	return false
}

// queue returns the suspects that somebody may try, those of an earlier crash first.
func (b *suspects) queue(now time.Time) []*suspect {
	first := map[instance.ReplicaID]time.Time{}
	var result []*suspect
	for _, p := range b.sorted() {
		if p.doubted != "" || p.isLapsed(now) {
			continue
		}
		result = append(result, p)
		crash := p.crashes[0]
		if known, isKnown := first[crash]; !isKnown || p.since.Before(known) {
			first[crash] = p.since
		}
	}
	sort.SliceStable(result, func(i, j int) bool {
		return first[result[i].crashes[0]].Before(first[result[j].crashes[0]])
	})
	return result
}
