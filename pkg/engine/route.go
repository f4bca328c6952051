package engine

import (
	"math/rand/v2"
	"time"

	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/instance"
)

const (
	// choices is how many near replicas a call chooses from, and how many far ones.
	choices = 4
	// draws is how many replicas are looked at for them.
	draws = 16
)

// choice is the best replica found so far and what a call costs there, in calls of a full-speed replica.
type choice struct {
	seen Upstream
	own  *upstream
	cost float64
}

func (c *choice) offer(other choice) {
	if c.own == nil || other.cost < c.cost {
		*c = other
	}
}

// route returns the replica that runs call next: the cheapest of a few drawn ones and of those that cache its prompt.
// Replicas in tried are left out.
func (s *State) route(now time.Time, r Replicas, call caller.Call, tried []instance.ReplicaID) (choice, bool) {
	var best choice
	s.drawInto(&best, now, r, call, tried)
	s.affineInto(&best, now, r, call, tried)
	s.mappedInto(&best, now, r, call, tried)
	if best.own == nil {
		s.scanInto(&best, now, r, call, tried)
	}
	return best, best.own != nil
}

// drawInto offers random replicas: near ones, and far ones at the price of their distance.
func (s *State) drawInto(best *choice, now time.Time, r Replicas, call caller.Call, tried []instance.ReplicaID) {
	size := r.Len(call.Target())
	near, far := 0, 0
	random := s.source(call)
	for draw := newDraw(random, size); near < choices && draw.more(); {
		seen := r.At(call.Target(), draw.next())
		isNear := s.isNear(seen)
		if !isNear && far == choices {
			continue
		}
		c, isOpen := s.judge(now, seen, tried)
		if !isOpen || c.own.isCooling(now) || s.isHeldBack(now, c.own) {
			continue
		}
		if isNear {
			near++
		} else {
			far++
		}
		best.offer(c)
	}
}

// source returns what the draws for call come from. A content that never ran to its end draws by its own hash, so that
// copies of it at all daemons meet on the same few replicas: if it crashes engines, it then costs few of them.
func (s *State) source(call caller.Call) *rand.PCG {
	if call.Fingerprint() == 0 || s.suspects.isProven(call.Fingerprint()) {
		return &s.random
	}
	s.content.Seed(call.Fingerprint(), 0)
	return &s.content
}

// affineInto offers the replicas that cache the longest part of the prompt, at a discount that is worth a few calls
// at most, so that affinity never outweighs load.
func (s *State) affineInto(best *choice, now time.Time, r Replicas, call caller.Call, tried []instance.ReplicaID) {
	holders, part := s.prefixes.find(call.Prefix())
	for _, own := range holders {
		if own == nil {
			continue
		}
		seen, isWhole := r.Find(own.replica)
		if !isWhole {
			continue
		}
		c, isOpen := s.judge(now, seen, tried)
		if !isOpen || c.own.isCooling(now) || s.isHeldBack(now, c.own) {
			continue
		}
		if seen.load.Queued() == 0 {
			c.cost -= part * float64(s.settings.CacheAffinity())
		}
		best.offer(c)
	}
}

// scanInto offers all replicas, those that failed lately too; it serves the rare case that the draws found none.
func (s *State) scanInto(best *choice, now time.Time, r Replicas, call caller.Call, tried []instance.ReplicaID) {
	size := r.Len(call.Target())
	for i := range size {
		if c, isOpen := s.judge(now, r.At(call.Target(), i), tried); isOpen {
			best.offer(c)
		}
	}
}

// judge returns the cost of a replica, false if it takes no call.
func (s *State) judge(now time.Time, seen Upstream, tried []instance.ReplicaID) (choice, bool) {
	for _, other := range tried {
		if other == seen.replica {
			return choice{}, false
		}
	}
	own := s.upstream(now, seen.replica)
	s.welcome(now, own)
	if !own.isOpen(now) {
		return choice{}, false
	}
	cost := float64(own.calls(seen)+1) * own.price(now)
	if !s.isNear(seen) {
		cost += float64(s.settings.RemotePenalty())
	}
	return choice{seen, own, cost}, true
}

// isHeldBack reports whether a replica that is new sits out this draw. All daemons see its load late and as low, so its
// price alone would let each of them send to it at once.
func (s *State) isHeldBack(now time.Time, own *upstream) bool {
	ramped := own.ramped(now, s.settings.RampUpWindow())
	return ramped < 1 && fraction(s.random.Uint64()) > ramped
}

func (s *State) isNear(seen Upstream) bool { return seen.dataCentre == s.settings.dataCentre }
