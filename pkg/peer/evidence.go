package peer

import (
	"slices"
	"sort"
	"time"

	"github.com/azurepond/azurepond/pkg/instance"
)

// repairGrace is the time that missed news may still come by itself before it is asked for.
const repairGrace = 500 * time.Millisecond

// sightShare is the part of a beat interval after which an unchanged belief is said again.
const sightShare = 2

// claim is what one watcher says of one upstream, as held here.
type claim struct {
	entry
	by *member
	of *upstream
	at time.Time // when the entry itself was seen to be true
}

// upstream is all that is known of one upstream.
type upstream struct {
	Upstream
	hash      uint64
	listed    bool
	claims    []*claim // of all watchers, by name
	sighted   claim    // what was last said by Sight
	sightedAt time.Time
	nextProbe time.Time // zero: not watched by this daemon
	primary   bool
}

// trueAt returns the last time at which the claim is known to have been true.
func (c *claim) trueAt() time.Time {
	if c.by.holdsAt.After(c.at) {
		return c.by.holdsAt
	}
	return c.at
}

// settleClaims gives each claim the time up to which the beats so far confirmed it; later claims are none of theirs.
func (m *member) settleClaims() {
	for _, c := range m.claims {
		c.at = c.trueAt()
	}
	m.holdsAt = time.Time{}
}

// upstreamOf returns the upstream of that name, known or not.
func (s *State) upstreamOf(id string) *upstream {
	u := s.upstreams[id]
	if u == nil {
		u = &upstream{Upstream: Upstream{id: id}, hash: hash(id)}
		s.upstreams[id] = u
	}
	return u
}

// putClaim stores what m says of one upstream; at is when it was true.
func (s *State) putClaim(m *member, e entry, at time.Time) *upstream {
	u := s.upstreamOf(e.upstream)
	i, found := m.find(e.upstream)
	if found {
		m.claims[i].entry, m.claims[i].at = e, at
		return u
	}
	c := &claim{entry: e, by: m, of: u, at: at}
	m.claims = slices.Insert(m.claims, i, c)
	u.claims = append(u.claims, c)
	sort.Slice(u.claims, func(i, j int) bool { return u.claims[i].by.name < u.claims[j].by.name })
	return u
}

func (m *member) find(id string) (int, bool) {
	i := sort.Search(len(m.claims), func(i int) bool { return m.claims[i].upstream >= id })
	return i, i < len(m.claims) && m.claims[i].upstream == id
}

func (s *State) dropClaim(m *member, id string) {
	i, found := m.find(id)
	if !found {
		return
	}
	c := m.claims[i]
	m.claims = slices.Delete(m.claims, i, i+1)
	u := s.upstreamOf(id)
	u.claims = slices.DeleteFunc(u.claims, func(other *claim) bool { return other == c })
	if len(u.claims) == 0 && !u.listed {
		delete(s.upstreams, id)
	}
}

func (s *State) dropClaims(m *member) {
	for len(m.claims) > 0 {
		s.dropClaim(m, m.claims[len(m.claims)-1].upstream)
	}
}

// acceptChange takes the next step of a watcher's statement; a step that does not follow on what is held is asked for later.
func (s *State) acceptChange(now time.Time, delay time.Duration, c change, source string) {
	m, known := s.members[c.of]
	if !known {
		s.missCard(c.of, source)
		return
	}
	if m == s.self || c.version <= m.statement {
		return
	}
	if c.version != m.statement+1 {
		s.noteBehind(now, m, source)
		return
	}
	at := now.Add(-c.entry.age - delay)
	s.spread(rumour{change: &c, at: at})
	m.settleClaims()
	m.statement = c.version
	s.noteCaughtUp(m)
	if c.removed {
		s.dropClaim(m, c.entry.upstream)
		s.rejudge(now, c.entry.upstream)
		return
	}
	s.judge(now, s.putClaim(m, c.entry, at))
}

// acceptStatement takes all that a watcher says, if it is later than what is held.
func (s *State) acceptStatement(now time.Time, delay time.Duration, st statement) {
	m, known := s.members[st.of]
	if !known || m == s.self || st.version <= m.statement {
		return
	}
	at := now.Add(-st.age - delay)
	touched := map[string]bool{}
	for _, c := range m.claims {
		touched[c.upstream] = true
	}
	s.dropClaims(m)
	m.statement = st.version
	m.holdsAt = time.Time{}
	for _, e := range st.entries {
		s.putClaim(m, e, at)
		touched[e.upstream] = true
	}
	s.noteCaughtUp(m)
	for _, id := range sortedKeys(touched) {
		s.rejudge(now, id)
	}
}

func sortedKeys(set map[string]bool) []string {
	keys := make([]string, 0, len(set))
	for key := range set {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

// wire returns the statement of a member as it is sent.
func (m *member) wire(now time.Time) statement {
	st := statement{of: m.of, version: m.statement}
	for _, c := range m.claims {
		st.entries = append(st.entries, c.entry)
		st.age = max(st.age, now.Sub(c.trueAt()))
	}
	return st
}

// confirm refreshes all claims of a member whose last beat named the statement that is held.
func (s *State) confirm(now time.Time, m *member) {
	if m == s.self || m.version != m.statement || !m.beatAt.After(m.holdsAt) {
		return
	}
	m.holdsAt = m.beatAt
	for _, c := range m.claims {
		if !c.isKnown(m.holdsAt, s.HeartbeatInterval()/sightShare) {
			s.judge(now, c.of)
		}
	}
}

// isKnown reports whether a claim of an answer, now true at time at, adds nothing to what was last said by Sight.
func (c *claim) isKnown(at time.Time, enough time.Duration) bool {
	return c.alive && c.of.sighted.alive && at.Sub(c.of.sightedAt) < enough
}

// noteSource remembers who can tell what a member said, when a beat names a later statement than the one held.
func (s *State) noteSource(m *member, version uint16, source string) {
	if version == shortVersion(m.version) && m.version > m.statement && m != s.self {
		s.noteBehind(m.seenAt, m, source)
	}
}

func (s *State) noteBehind(now time.Time, m *member, source string) {
	if m.behindSince.IsZero() {
		m.behindSince = now
	}
	m.behindSource = source
}

func (s *State) noteCaughtUp(m *member) {
	if m.statement >= m.version {
		m.behindSince, m.behindSource = time.Time{}, ""
	}
}

// rejudge judges an upstream that may be forgotten meanwhile.
func (s *State) rejudge(now time.Time, id string) {
	if u := s.upstreams[id]; u != nil {
		s.judge(now, u)
	}
}

// judge works out what this daemon believes of an upstream, and says so when it is news or needs refreshing.
func (s *State) judge(now time.Time, u *upstream) {
	belief, at := s.believe(now, u)
	if belief == nil {
		return
	}
	s.question(now, belief, u)
	same := belief.entry.sameState(u.sighted.entry) && !u.sightedAt.IsZero()
	if same && at.Sub(u.sightedAt) < s.HeartbeatInterval()/sightShare {
		return
	}
	if at.Before(u.sightedAt) {
		return
	}
	u.sighted = *belief
	u.sightedAt = at
	s.emit(ApplyProbeResult{belief.sighting(u.id, at)})
}

// question asks a watcher that alone still speaks of an answer, against the misses of two others, what it says now.
func (s *State) question(now time.Time, belief *claim, u *upstream) {
	if !belief.alive || belief.by == s.self {
		return
	}
	misses := 0
	for _, c := range u.claims {
		if !c.alive && s.fresh(now, c.trueAt()) {
			misses++
		}
	}
	if misses > 1 {
		s.noteBehind(now, belief.by, belief.by.name)
	}
}

// believe returns the claim to go by: the latest fresh one of an answer, unless the misses outweigh it.
func (s *State) believe(now time.Time, u *upstream) (*claim, time.Time) {
	var hit, miss, second *claim
	for _, c := range u.claims {
		switch {
		case !s.fresh(now, c.trueAt()):
		case c.alive:
			hit = later(hit, c)
		case later(miss, c) == c:
			miss, second = c, miss
		default:
			second = later(second, c)
		}
	}
	switch {
	case hit == nil && miss == nil:
		return nil, time.Time{}
	case hit == nil:
		return miss, miss.trueAt()
	case second != nil && second.trueAt().Sub(hit.trueAt()) > s.contradiction():
		return miss, miss.trueAt()
	}
	return hit, hit.trueAt()
}

// later returns the claim that was true later; a may be nil.
func later(a, b *claim) *claim {
	if a == nil || b.trueAt().After(a.trueAt()) {
		return b
	}
	return a
}

// contradiction is by how much the misses of two watchers must be later than the answer seen by a third.
func (s *State) contradiction() time.Duration {
	return s.HeartbeatInterval() + s.settings.ProbeInterval()
}

func (e entry) sameState(other entry) bool {
	e.age, other.age, e.primary, other.primary = 0, 0, false, false
	return e == other
}

func (c *claim) sighting(id string, at time.Time) instance.ProbeResult {
	if !c.alive {
		return instance.NewFailedProbe(instance.ID(id), c.by.name, at)
	}
	running, queued := decodeLoad(c.code)
	l := instance.NewLoad(running, queued, int(c.loaded))
	return instance.NewProbeResult(instance.ID(id), c.boot, c.assignment, c.phase, l, c.by.name, at)
}

// distrust makes all evidence void until it is heard afresh; what is never to be repeated stays known.
func (s *State) distrust() {
	for _, m := range s.roster {
		m.beatAt, m.holdsAt, m.left = time.Time{}, time.Time{}, 0
		if m != s.self {
			s.dropClaims(m)
			m.statement = 0
		}
	}
	for _, u := range s.upstreams {
		u.sighted, u.sightedAt = claim{}, time.Time{}
		u.nextProbe = time.Time{}
	}
	s.clearOwnClaims()
}
