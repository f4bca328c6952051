package peer

import (
	"sort"
	"time"
)

// The limits of soft facts.
const (
	maxFacts     = 4096
	maxFactBytes = 4096
)

type factKey struct{ topic, key, origin string }

// storedFact is the latest of one soft fact.
type storedFact struct {
	key      factKey
	sequence uint64
	value    []byte
	expiry   time.Time
}

func (f *storedFact) wire(now time.Time) fact {
	return fact{
		topic: f.key.topic, key: f.key.key, origin: f.key.origin,
		sequence: f.sequence, value: f.value, lifetime: f.expiry.Sub(now),
	}
}

// share tells all peers a soft fact of this daemon.
func (s *State) share(now time.Time, e FactShared) {
	key := factKey{e.topic, e.key, s.settings.name}
	sequence := uint64(max(1, now.UnixMilli()))
	if held := s.facts[key]; held != nil {
		sequence = max(sequence, held.sequence+1)
	}
	if len(e.value) > maxFactBytes || len(e.key) > maxText || len(e.topic) > maxText {
		s.counters.overLimit++
		return
	}
	s.storeFact(now, key, sequence, e.value, e.expiry)
}

// acceptFact takes a soft fact from a peer, if it is later than the one held.
func (s *State) acceptFact(now time.Time, delay time.Duration, f fact) {
	key := factKey{f.topic, f.key, f.origin}
	if f.origin == s.settings.name || f.lifetime <= delay {
		return
	}
	if held := s.facts[key]; held != nil && held.sequence >= f.sequence {
		return
	}
	expiry := now.Add(f.lifetime - delay)
	if s.storeFact(now, key, f.sequence, f.value, expiry) {
		s.emit(LearnFact{f.topic, f.key, f.origin, f.value, expiry})
	}
}

func (s *State) storeFact(now time.Time, key factKey, sequence uint64, value []byte, expiry time.Time) bool {
	held := s.facts[key]
	if held == nil && len(s.facts) >= maxFacts || !now.Before(expiry) {
		s.counters.overLimit++
		return false
	}
	if held == nil {
		held = &storedFact{key: key}
		s.facts[key] = held
	}
	held.sequence, held.value, held.expiry = sequence, value, expiry
	if len(value) > shortFact {
		s.spreadBulk(now, held)
	} else {
		s.spread(rumour{fact: held})
	}
	return true
}

func (s *State) expireFacts(now time.Time) {
	for key, f := range s.facts {
		if !now.Before(f.expiry) {
			delete(s.facts, key)
		}
	}
}

// allFacts returns all soft facts in the order of topic, key and origin.
func (s *State) allFacts(now time.Time) []fact {
	var facts []fact
	for _, f := range s.facts {
		if now.Before(f.expiry) {
			facts = append(facts, f.wire(now))
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
