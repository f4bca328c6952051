package peer

import (
	"encoding/binary"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The interval between two beats of one daemon grows with the number of daemons, so that the bytes that each receives
// in a second stay bounded.
const (
	beatPerMember = 15 * time.Millisecond
	minBeat       = 500 * time.Millisecond
	maxBeat       = 4 * time.Second
)

// Evidence that is older than freshBeats beats, and than minFresh, counts for nothing.
const (
	freshBeats = 4
	minFresh   = 6 * time.Second
)

// A beat is asked for, once in each askAgain, when this part of the freshness limit has passed without a later one.
const overdueNumerator, overdueDenominator = 5, 8

// forgetAfter is how long a member without a sign of life is still tried.
const forgetAfter = time.Hour

// maxMembers bounds the number of members that are remembered.
const maxMembers = 2048

// member is what is known of one start of one daemon.
type member struct {
	card
	of      handle
	hash    uint64
	beatAt  time.Time // when the last beat was true, by this daemon's clock
	seenAt  time.Time // when something of this member was last accepted
	askedAt time.Time // when the beat was last asked for
	left    int       // how often the last beat is still to be passed on

	statement    uint64    // version of the statement that is held, 0 for none
	holdsAt      time.Time // all claims were true then
	claims       []*claim  // by upstream
	codes        []byte    // load codes that came with the last beat
	loadLeft     int       // of this daemon: in how many beats its loads are still to be told
	behindSince  time.Time // since when the member is known to have said more than is held
	behindSource string
}

func hash(s string) uint64 { return xxhash.Sum64String(s) }

func handleOf(name string, incarnation uint64) handle {
	data := binary.BigEndian.AppendUint64([]byte(name), incarnation)
	return handle(uint32(xxhash.Sum64(data)))
}

// HeartbeatInterval returns the interval between two beats of one daemon.
func (s *State) HeartbeatInterval() time.Duration {
	return min(max(minBeat, time.Duration(len(s.roster))*beatPerMember), maxBeat)
}

// EvidenceTTL returns the age beyond which evidence counts for nothing.
func (s *State) EvidenceTTL() time.Duration {
	return max(minFresh, freshBeats*s.HeartbeatInterval())
}

func (s *State) fresh(now, at time.Time) bool {
	return !at.IsZero() && now.Sub(at) <= s.EvidenceTTL()
}

// admit adds a member that is not known yet.
func (s *State) admit(c card) *member {
	m := &member{card: c, of: handleOf(c.name, c.incarnation), hash: hash(c.name)}
	if old, known := s.members[s.names[c.name]]; known {
		s.remove(old)
	}
	s.members[m.of] = m
	s.names[c.name] = m.of
	s.roster = append(s.roster, m)
	sortMembers(s.roster)
	return m
}

// remove forgets a member and all that it said.
func (s *State) remove(m *member) {
	s.dropClaims(m)
	delete(s.members, m.of)
	if s.names[m.name] == m.of {
		delete(s.names, m.name)
	}
	s.roster = slices.DeleteFunc(s.roster, func(other *member) bool { return other == m })
	s.live = slices.DeleteFunc(slices.Clone(s.live), func(other *member) bool { return other == m })
	s.cycle = slices.DeleteFunc(s.cycle, func(other *member) bool { return other == m })
	s.rumours = slices.DeleteFunc(s.rumours, func(r rumour) bool { return r.card == m })
}

// beat makes the next beat of this daemon.
func (s *State) beat(now time.Time) {
	s.beatDue = now.Add(s.HeartbeatInterval())
	s.dropSilentClaims(now)
	s.self.sequence++
	s.self.version = s.self.statement
	s.self.beatAt = s.oldestClaim(now)
	s.self.seenAt = now
	s.self.left = earlyPushes
	s.beatLoads()
}

// acceptCard takes what a card says of a member; the card is held up on the way by delay.
func (s *State) acceptCard(now time.Time, delay time.Duration, c card) {
	at := now.Add(-c.age - delay)
	if !s.fresh(now, at) || c.name == "" {
		s.counters.stale++
		return
	}
	of := handleOf(c.name, c.incarnation)
	delete(s.unknown, of)
	if c.name == s.settings.name {
		return
	}
	m, known := s.members[of]
	if known && m.name != c.name {
		s.counters.handleCollisions++
		return
	}
	if !known && !s.welcome(c) {
		s.counters.stale++
		return
	}
	if !known {
		m = s.admit(card{name: c.name, incarnation: c.incarnation})
	}
	s.updateCard(now, at, m, c)
}

// welcome reports whether a card of an unknown member may be taken.
func (s *State) welcome(c card) bool {
	if old, known := s.members[s.names[c.name]]; known {
		return c.incarnation > old.incarnation
	}
	return len(s.roster) < maxMembers
}

func (s *State) updateCard(now, at time.Time, m *member, c card) {
	if c.edition > m.edition {
		m.address, m.caller, m.centre = c.address, c.caller, c.centre
		m.edition, m.leaving = c.edition, c.leaving
		s.spread(rumour{card: m})
		s.redescribe = true
	}
	if c.sequence > m.sequence {
		s.advance(now, at, m, c.sequence, c.version, c.revision)
	}
}

// acceptBeat takes one beat that a peer passed on.
func (s *State) acceptBeat(now time.Time, delay time.Duration, b beat, source string) {
	m, known := s.members[b.of]
	if !known {
		s.missCard(b.of, source)
		return
	}
	at := now.Add(-b.age - delay)
	if m == s.self || !s.fresh(now, at) {
		s.counters.stale++
		return
	}
	step := int8(b.sequence - uint8(m.sequence))
	if step <= 0 {
		s.counters.duplicateHeartbeats++
		s.noteSource(m, b.version, source)
		return
	}
	if now.Sub(m.seenAt) > s.longestStep() {
		s.missCard(b.of, source)
		return
	}
	s.counters.newHeartbeats++
	revision := nearest(m.revision, uint64(b.revision), 8)
	s.advance(now, at, m, m.sequence+uint64(step), nearest(m.version, uint64(b.version), versionBits), revision)
	m.codes = b.codes
	s.acceptCodes(now, m)
	s.noteSource(m, b.version, source)
}

// longestStep is the silence after which the short sequence of a beat no longer names one beat for certain.
func (s *State) longestStep() time.Duration { return 100 * minBeat }

func (s *State) missCard(of handle, source string) {
	if len(s.unknown) < maxMembers {
		s.unknown[of] = source
	}
}

// nearest returns the number closest to held whose lowest bits are low.
func nearest(held, low uint64, bits uint) uint64 {
	size := uint64(1) << bits
	candidate := held&^(size-1) | low
	switch {
	case candidate > held && candidate-held > size/2 && candidate >= size:
		return candidate - size
	case candidate < held && held-candidate > size/2:
		return candidate + size
	}
	return candidate
}

// advance takes a later beat of a member: it was alive, and its statement of that version held, at time at.
func (s *State) advance(now, at time.Time, m *member, sequence, version, revision uint64) {
	m.sequence = sequence
	m.version = version
	m.revision = revision
	m.seenAt = now
	m.beatAt = at
	m.codes = nil
	m.left = s.pushes(now.Sub(at))
	s.confirm(now, m)
}

// refreshLive works out who is live and says so when it changed.
func (s *State) refreshLive(now time.Time) {
	s.forget(now)
	live := make([]*member, 0, len(s.roster))
	for _, m := range s.roster {
		if m == s.self || s.fresh(now, m.beatAt) {
			live = append(live, m)
		}
	}
	if slices.Equal(live, s.live) && !s.redescribe {
		return
	}
	s.live = live
	s.rewatch = true
	s.redescribe = false
	s.cycle = nil
	s.emit(Members{s.Members(now)})
}

func (s *State) forget(now time.Time) {
	for _, m := range slices.Clone(s.roster) {
		if m != s.self && now.Sub(m.seenAt) > forgetAfter {
			s.remove(m)
		}
	}
}

func (s *State) isLive(m *member) bool {
	i := sort.Search(len(s.live), func(i int) bool { return s.live[i].name >= m.name })
	return i < len(s.live) && s.live[i] == m
}

// Members returns all live members in the order of their names, this daemon among them.
func (s *State) Members(now time.Time) []Member {
	var members []Member
	for _, m := range s.roster {
		if m == s.self || s.fresh(now, m.beatAt) {
			members = append(members, Member{
				name: m.name, address: m.address, callerAddress: m.caller, centre: m.centre,
				incarnation: m.incarnation, leaving: m.leaving,
			})
		}
	}
	return members
}
