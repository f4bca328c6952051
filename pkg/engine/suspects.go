package engine

import (
	"sort"
	"time"

	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/instance"
)

const (
	// suspectsMost is how many contents are remembered that are suspicious or poisonous.
	suspectsMost = 1024
	// provenMost is how many contents are remembered, in each of two generations, that ran to their end.
	provenMost = 4096
	// heldMost is how many calls wait for a verdict at once.
	heldMost = 256
	// crashesMost is after how many crashed replicas a content is poisonous.
	crashesMost = 2
	// doubtLimit is how long the evidence that a replica crashed may take; a connection that was only cut has none.
	doubtLimit = 6 * time.Second
	// explainedFor is for how long a poisonous content explains crashes of the replicas that it crashed.
	explainedFor = 30 * time.Second
)

// suspects is what is known of contents that may crash engines.
type suspects struct {
	entries map[uint64]*suspect
	young   map[uint64]bool
	old     map[uint64]bool
	held    []*call
}

// suspect is a content that is suspicious or poisonous.
type suspect struct {
	fingerprint uint64
	poisonous   bool
	passed      bool
	crashes     []instance.ReplicaID
	since       time.Time
	crashed     time.Time
	owner       string
	claimed     time.Time
	heard       time.Time
	doubted     instance.ReplicaID
	doubtedAt   time.Time
}

// doubt notes that the content may have crashed its second replica; until there is evidence, it runs nowhere.
func (p *suspect) doubt(now time.Time, replica instance.ReplicaID) {
	p.passed = false
	p.doubted = replica
	p.doubtedAt = now
}

func (p *suspect) suspicion() Suspicion {
	verdict := Suspicious
	switch {
	case p.poisonous:
		verdict = Poisonous
	case p.passed:
		verdict = Passed
	}
	return Suspicion{p.fingerprint, verdict, append([]instance.ReplicaID(nil), p.crashes...), p.owner}
}

// addCrash notes that replica crashed while it ran the content, and reports whether that is news.
func (p *suspect) addCrash(replica instance.ReplicaID) bool {
	place := sort.Search(len(p.crashes), func(i int) bool { return p.crashes[i] >= replica })
	if place < len(p.crashes) && p.crashes[place] == replica {
		return false
	}
	p.crashes = append(p.crashes, "")
	copy(p.crashes[place+1:], p.crashes[place:])
	p.crashes[place] = replica
	return true
}

func (p *suspect) hasCrashed(replica instance.ReplicaID) bool {
	for _, crashed := range p.crashes {
		if crashed == replica {
			return true
		}
	}
	return false
}

// isLapsed reports whether the owner was not heard of for so long that another may take over.
func (p *suspect) isLapsed(now time.Time) bool { return now.Sub(p.heard) >= DefaultClaimTimeout }

// prove remembers that the content ran to its end.
func (b *suspects) prove(fingerprint uint64) {
	if b.young == nil || len(b.young) >= provenMost {
		b.old, b.young = b.young, map[uint64]bool{}
	}
	b.young[fingerprint] = true
}

func (b *suspects) isProven(fingerprint uint64) bool {
	return b.young[fingerprint] || b.old[fingerprint]
}

// hold lets c wait for the verdict about its content; false means that too many wait.
func (b *suspects) hold(c *call) bool {
	if len(b.held) >= heldMost {
		return false
	}
	c.held = true
	b.held = append(b.held, c)
	return true
}

// release ends the wait of c.
func (b *suspects) release(c *call) {
	if !c.held {
		return
	}
	c.held = false
	for i, other := range b.held {
		if other == c {
			b.held = append(b.held[:i], b.held[i+1:]...)
			return
		}
	}
}

// heldFor returns the calls that wait for the verdict about a content.
func (b *suspects) heldFor(fingerprint uint64) []*call {
	var result []*call
	for _, c := range b.held {
		if c.call.Fingerprint() == fingerprint {
			result = append(result, c)
		}
	}
	return result
}

// entry returns the suspect with that fingerprint, a new one if it isn't known; the longest unheard gives way.
func (b *suspects) entry(now time.Time, fingerprint uint64) *suspect {
	known, isKnown := b.entries[fingerprint]
	if isKnown {
		return known
	}
	if b.entries == nil {
		b.entries = map[uint64]*suspect{}
	}
	if len(b.entries) >= suspectsMost {
		b.dropOldest()
	}
	known = &suspect{fingerprint: fingerprint, since: now, heard: now, crashed: now}
	b.entries[fingerprint] = known
	return known
}

func (b *suspects) dropOldest() {
	var oldest *suspect
	for _, p := range b.entries {
		if oldest == nil || p.heard.Before(oldest.heard) ||
			p.heard.Equal(oldest.heard) && p.fingerprint < oldest.fingerprint {
			oldest = p
		}
	}
	delete(b.entries, oldest.fingerprint)
}

// forget drops what was not heard of for long.
func (b *suspects) forget(now time.Time) {
	for fingerprint, p := range b.entries {
		if now.Sub(p.heard) > DefaultVerdictRetention {
			delete(b.entries, fingerprint)
		}
	}
}

// sorted returns the contents that wait for a verdict, in the order of their fingerprints.
func (b *suspects) sorted() []*suspect {
	var result []*suspect
	for _, p := range b.entries {
		if !p.poisonous && !p.passed {
			result = append(result, p)
		}
	}
	sort.Slice(result, func(i, j int) bool { return result[i].fingerprint < result[j].fingerprint })
	return result
}

// isExplained reports whether a poisonous content crashed all of these replicas.
func (b *suspects) isExplained(now time.Time, crashes []instance.ReplicaID) bool {
	for _, p := range b.entries {
		if p.poisonous && now.Sub(p.crashed) < explainedFor && p.explains(crashes) {
			return true
		}
	}
	return false
}

func (p *suspect) explains(crashes []instance.ReplicaID) bool {
	for _, replica := range crashes {
		if !p.hasCrashed(replica) {
			return false
		}
	}
	return true
}

// inspect decides whether c may run now as far as its content goes; true means that it ended or waits.
func (s *State) inspect(now time.Time, c *call) ([]Effect, bool) {
	p, isKnown := s.suspects.entries[c.call.Fingerprint()]
	if !isKnown || p.passed || c.call.Fingerprint() == 0 {
		return nil, false
	}
	if p.poisonous {
		p.heard = now
		return s.giveUp(c, caller.Poisonous, 0), true
	}
	if c.ran && !c.call.Idempotent() {
		return s.giveUp(c, caller.Broken, 0), true
	}
	if !s.suspects.hold(c) {
		return s.giveUp(c, caller.Overload, s.settings.PropagationDelay()), true
	}
	return s.claim(now, p), true
}
