package peer

import (
	"sort"
	"time"
)

// The limits of the number of stored facts and of the value of one fact.
const (
	maxFacts     = 4096
	maxFactBytes = 4096
)

type factKey struct{ topic, key, origin string }

// storedFact is the latest version of a fact.
type storedFact struct {
	key       factKey
	sequence  uint64
	value     []byte
	expiresAt time.Time
}

func (f *storedFact) toWire(now time.Time) fact {
	return fact{
		topic: f.key.topic, key: f.key.key, origin: f.key.origin,
		sequence: f.sequence, value: f.value, ttl: f.expiresAt.Sub(now),
	}
}

// shareFact stores a fact of this daemon and queues it for all peers.
func (s *State) shareFact(now time.Time, e FactShared) {
	key := factKey{e.topic, e.key, s.settings.name}
	sequence := uint64(max(1, now.UnixMilli()))
	if stored := s.facts[key]; stored != nil {
		sequence = max(sequence, stored.sequence+1)
	}
	if len(e.value) > maxFactBytes || len(e.key) > maxTextBytes || len(e.topic) > maxTextBytes {
		s.counters.overLimit++
		return
	}
	s.storeFact(now, key, sequence, e.value, e.expiry)
}

// acceptFact stores a fact from a peer if it is newer than the stored one.
func (s *State) acceptFact(now time.Time, delay time.Duration, f fact) {
	key := factKey{f.topic, f.key, f.origin}
	if f.origin == s.settings.name || f.ttl <= delay {
		return
	}
	if stored := s.facts[key]; stored != nil && stored.sequence >= f.sequence {
		return
	}
	expiry := now.Add(f.ttl - delay)
	if s.storeFact(now, key, f.sequence, f.value, expiry) {
		s.emit(LearnFact{f.topic, f.key, f.origin, f.value, expiry})
	}
}

func (s *State) storeFact(now time.Time, key factKey, sequence uint64, value []byte, expiry time.Time) bool {
	stored := s.facts[key]
	if stored == nil && len(s.facts) >= maxFacts || !now.Before(expiry) {
		s.counters.overLimit++
		return false
	}
	if stored == nil {
		stored = &storedFact{key: key}
		s.facts[key] = stored
	}
	stored.sequence, stored.value, stored.expiresAt = sequence, value, expiry
	if len(value) > maxShortFactBytes {
		s.queueBulkFact(now, stored)
	} else {
		s.queueUpdate(update{fact: stored})
	}
	return true
}

func (s *State) expireFacts(now time.Time) {
	for key, f := range s.facts {
		if !now.Before(f.expiresAt) {
			delete(s.facts, key)
		}
	}
}

// allFacts returns all facts that have not expired, sorted by topic, key and origin.
func (s *State) allFacts(now time.Time) []fact {
	var facts []fact
	for _, f := range s.facts {
		if now.Before(f.expiresAt) {
			facts = append(facts, f.toWire(now))
		}
	}
	sort.Slice(facts, func(i, j int) bool {
		a, b := facts[i], facts[j]
		if a.topic != b.topic {
			return a.topic < b.topic
		}
		if a.key != b.key {
			return a.key < b.key
		}
		return a.origin < b.origin
	})
	return facts
}
