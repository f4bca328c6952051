package engine

import (
	"sort"
	"time"

	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/instance"
)

const (
	// maxSuspects limits the suspicious and poisonous contents that are stored.
	maxSuspects = 1024
	// maxKnownGood limits the contents that ran to completion and are stored, in each of two generations.
	maxKnownGood = 4096
	// maxHeldCalls limits the calls that wait for a verdict at once.
	maxHeldCalls = 256
	// minPoisonCrashes is the number of crashed replicas after which a content can become poisonous.
	minPoisonCrashes = 2
	// crashConfirmTimeout is how long to wait until a replica is reported unavailable after a suspected crash. After a
	// mere loss of the connection the replica stays available.
	crashConfirmTimeout = 6 * time.Second
	// crashAttributionWindow is the time after the crash of a poisonous content in which further crashes of the same
	// replicas are attributed to it.
	crashAttributionWindow = 30 * time.Second
)

// suspects tracks contents that may crash engines, and the calls that wait for a verdict.
type suspects struct {
	entries        map[uint64]*suspect // by fingerprint
	knownGood      map[uint64]bool     // fingerprints of contents that ran to completion
	olderKnownGood map[uint64]bool     // the previous generation
	held           []*call             // calls that wait for a verdict
}

// suspect is a suspicious or poisonous content, identified by its fingerprint.
type suspect struct {
	fingerprint      uint64
	poisonous        bool
	passed           bool                 // may run again, but its crashes still count
	crashedReplicas  []instance.ReplicaID // sorted
	createdAt        time.Time
	lastCrash        time.Time
	owner            string // daemon that runs the trial, empty for none
	claimedAt        time.Time
	lastUpdate       time.Time
	unconfirmedCrash instance.ReplicaID // replica that may have crashed last, empty for none
	unconfirmedAt    time.Time
}

// awaitConfirmation records that the content may have crashed its second replica. The content isn't run until the crash
// is confirmed or refuted.
func (s *suspect) awaitConfirmation(now time.Time, replica instance.ReplicaID) {
	s.passed = false
	s.unconfirmedCrash = replica
	s.unconfirmedAt = now
}

func (s *suspect) suspicion() Suspicion {
	verdict := Suspicious
	switch {
	case s.poisonous:
		verdict = Poisonous
	case s.passed:
		verdict = Passed
	}
	return Suspicion{s.fingerprint, verdict, append([]instance.ReplicaID(nil), s.crashedReplicas...), s.owner}
}

// addCrash records that replica crashed while it ran the content, and reports whether that was unknown.
func (s *suspect) addCrash(replica instance.ReplicaID) bool {
	index := sort.Search(len(s.crashedReplicas), func(i int) bool { return s.crashedReplicas[i] >= replica })
	if index < len(s.crashedReplicas) && s.crashedReplicas[index] == replica {
		return false
	}
	s.crashedReplicas = append(s.crashedReplicas, "")
	copy(s.crashedReplicas[index+1:], s.crashedReplicas[index:])
	s.crashedReplicas[index] = replica
	return true
}

func (s *suspect) hasCrashed(replica instance.ReplicaID) bool {
	for _, crashed := range s.crashedReplicas {
		if crashed == replica {
			return true
		}
	}
	return false
}

// isClaimExpired reports whether the owner didn't renew its claim in time, so that another daemon may claim the trial.
func (s *suspect) isClaimExpired(now time.Time) bool {
	return now.Sub(s.lastUpdate) >= DefaultClaimTimeout
}

// addKnownGood records that the content ran to completion.
func (s *suspects) addKnownGood(fingerprint uint64) {
	if s.knownGood == nil || len(s.knownGood) >= maxKnownGood {
		s.olderKnownGood, s.knownGood = s.knownGood, map[uint64]bool{}
	}
	s.knownGood[fingerprint] = true
}

func (s *suspects) isKnownGood(fingerprint uint64) bool {
	return s.knownGood[fingerprint] || s.olderKnownGood[fingerprint]
}

// hold makes c wait for the verdict on its content. It returns false if too many calls wait.
func (s *suspects) hold(c *call) bool {
	if len(s.held) >= maxHeldCalls {
		return false
	}
	c.held = true
	s.held = append(s.held, c)
	return true
}

// release removes c from the calls that wait for a verdict.
func (s *suspects) release(c *call) {
	if !c.held {
		return
	}
	c.held = false
	for i, other := range s.held {
		if other == c {
			s.held = append(s.held[:i], s.held[i+1:]...)
			return
		}
	}
}

// heldFor returns the calls that wait for the verdict on a content.
func (s *suspects) heldFor(fingerprint uint64) []*call {
	var result []*call
	for _, c := range s.held {
		if c.admitted.Fingerprint() == fingerprint {
			result = append(result, c)
		}
	}
	return result
}

// getOrAdd returns the suspect with that fingerprint and adds it if it is unknown. If the map is full, it evicts the
// suspect with the oldest update.
func (s *suspects) getOrAdd(now time.Time, fingerprint uint64) *suspect {
	known, isKnown := s.entries[fingerprint]
	if isKnown {
		return known
	}
	if s.entries == nil {
		s.entries = map[uint64]*suspect{}
	}
	if len(s.entries) >= maxSuspects {
		s.evictOldest()
	}
	known = &suspect{fingerprint: fingerprint, createdAt: now, lastUpdate: now, lastCrash: now}
	s.entries[fingerprint] = known
	return known
}

func (s *suspects) evictOldest() {
	var oldest *suspect
	for _, entry := range s.entries {
		if oldest == nil || entry.lastUpdate.Before(oldest.lastUpdate) ||
			entry.lastUpdate.Equal(oldest.lastUpdate) && entry.fingerprint < oldest.fingerprint {
			oldest = entry
		}
	}
	delete(s.entries, oldest.fingerprint)
}

// evictExpired removes the suspects whose last update is older than the retention time.
func (s *suspects) evictExpired(now time.Time) {
	for fingerprint, entry := range s.entries {
		if now.Sub(entry.lastUpdate) > DefaultVerdictRetention {
			delete(s.entries, fingerprint)
		}
	}
}

// pending returns the suspects that still wait for a verdict, in the order of their fingerprints.
func (s *suspects) pending() []*suspect {
	var result []*suspect
	for _, entry := range s.entries {
		if !entry.poisonous && !entry.passed {
			result = append(result, entry)
		}
	}
	sort.Slice(result, func(i, j int) bool { return result[i].fingerprint < result[j].fingerprint })
	return result
}

// isAttributedToPoison reports whether one poisonous content recently crashed all of these replicas.
func (s *suspects) isAttributedToPoison(now time.Time, replicas []instance.ReplicaID) bool {
	for _, entry := range s.entries {
		if entry.poisonous && now.Sub(entry.lastCrash) < crashAttributionWindow && entry.crashedAll(replicas) {
			return true
		}
	}
	return false
}

func (s *suspect) crashedAll(replicas []instance.ReplicaID) bool {
	for _, replica := range replicas {
		if !s.hasCrashed(replica) {
			return false
		}
	}
	return true
}

// checkContent ends or holds c if its content is poisonous or suspicious. It returns true if c must not run now.
func (s *State) checkContent(now time.Time, c *call) ([]Effect, bool) {
	entry, isKnown := s.suspects.entries[c.admitted.Fingerprint()]
	if !isKnown || entry.passed || c.admitted.Fingerprint() == 0 {
		return nil, false
	}
	if entry.poisonous {
		entry.lastUpdate = now
		return s.giveUp(c, caller.Poison, 0), true
	}
	if c.mayHaveRun && !c.admitted.Idempotent() {
		return s.giveUp(c, caller.UpstreamFailed, 0), true
	}
	if !s.suspects.hold(c) {
		return s.giveUp(c, caller.Overload, s.settings.PropagationDelay()), true
	}
	return s.claim(now, entry), true
}
