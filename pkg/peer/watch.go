package peer

import (
	"encoding/binary"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/azurepond/azurepond/pkg/instance"
)

// silentProbes is the number of probe intervals without a result after which this daemon no longer speaks of an upstream.
const silentProbes = 3

// warmUp is the time after a start in which a daemon hears who else is there before it watches upstreams.
const warmUp = time.Second

// aloneAfter is the time after which a daemon that hears no peer goes on alone.
const aloneAfter = 5 * time.Second

// loadedStep is the step, in percent, in which the progress of loading a model is told.
const loadedStep = 25

// loadBeats is in how many beats in a row a changed load is told.
const loadBeats = 3

// list replaces the upstreams to be watched.
func (s *State) list(all []Upstream) {
	before := s.listed
	for _, u := range before {
		u.listed = false
	}
	s.listed = nil
	for _, described := range all {
		u := s.upstreamOf(described.id)
		u.Upstream = described
		if !u.listed {
			u.listed = true
			s.listed = append(s.listed, u)
		}
	}
	sort.Slice(s.listed, func(i, j int) bool { return s.listed[i].id < s.listed[j].id })
	s.rewatch = true
	for _, u := range before {
		s.unlist(u)
	}
}

// unlist ends the watch of an upstream that is not listed any more, and forgets it once nobody speaks of it.
func (s *State) unlist(u *upstream) {
	if u.listed {
		return
	}
	u.nextProbe = time.Time{}
	if len(u.claims) == 0 {
		delete(s.upstreams, u.id)
	}
}

// refreshWatches works out which upstreams this daemon watches.
func (s *State) refreshWatches(now time.Time) {
	if !s.rewatch || !s.warm(now) {
		return
	}
	s.rewatch = false
	for _, u := range s.listed {
		place := slices.Index(s.watchersOf(u.hash, s.settings.WatchersPerUpstream()), s.self)
		s.watch(now, u, place)
	}
	for _, c := range slices.Clone(s.self.claims) {
		if u := s.upstreams[c.upstream]; !u.listed || u.nextProbe.IsZero() {
			s.retract(u)
		}
	}
}

// warm reports whether this daemon has heard for long enough who else is there.
func (s *State) warm(now time.Time) bool {
	if !s.heard {
		return now.Sub(s.awake) >= aloneAfter
	}
	return now.Sub(s.awake) >= warmUp+s.HeartbeatInterval()
}

// watch begins or ends the watch of an upstream; place is this daemon's place among its watchers, negative for none.
func (s *State) watch(now time.Time, u *upstream, place int) {
	u.primary = place == 0
	switch {
	case place < 0:
		u.nextProbe = time.Time{}
	case u.nextProbe.IsZero():
		u.nextProbe = now.Add(time.Duration(s.random.Int64N(int64(s.settings.ProbeInterval()))))
	}
}

// candidate is a member with its score for one key.
type candidate struct {
	member *member
	score  uint64
}

// watchersOf returns the members that watch what hashes to key, by rendezvous hashing: the first of each data centre
// before the second of any.
func (s *State) watchersOf(key uint64, count int) []*member {
	firsts := s.firstOfCentres(key)
	sort.Slice(firsts, func(i, j int) bool { return firsts[i].score > firsts[j].score })
	var chosen []*member
	for _, c := range firsts[:min(count, len(firsts))] {
		chosen = append(chosen, c.member)
	}
	for len(chosen) < count {
		next := s.bestBut(key, chosen)
		if next == nil {
			break
		}
		chosen = append(chosen, next)
	}
	return chosen
}

// firstOfCentres returns the member with the highest score of each data centre.
func (s *State) firstOfCentres(key uint64) []candidate {
	var firsts []candidate
	for _, m := range s.live {
		if m.leaving {
			continue
		}
		c := candidate{m, score(key, m.hash)}
		i := slices.IndexFunc(firsts, func(other candidate) bool { return other.member.centre == m.centre })
		switch {
		case i < 0:
			firsts = append(firsts, c)
		case c.score > firsts[i].score:
			firsts[i] = c
		}
	}
	return firsts
}

// bestBut returns the member with the highest score that is not chosen yet, nil if all are.
func (s *State) bestBut(key uint64, chosen []*member) *member {
	var best candidate
	for _, m := range s.live {
		if m.leaving || slices.Contains(chosen, m) {
			continue
		}
		if points := score(key, m.hash); best.member == nil || points > best.score {
			best = candidate{m, points}
		}
	}
	return best.member
}

func score(key, member uint64) uint64 {
	var data [16]byte
	binary.BigEndian.PutUint64(data[:8], key)
	binary.BigEndian.PutUint64(data[8:], member)
	return xxhash.Sum64(data[:])
}

// probe asks for the probes that are due.
func (s *State) probe(now time.Time) {
	for _, u := range s.listed {
		if u.nextProbe.IsZero() || now.Before(u.nextProbe) {
			continue
		}
		u.nextProbe = u.nextProbe.Add(s.settings.ProbeInterval())
		if u.nextProbe.Before(now) {
			u.nextProbe = now.Add(s.settings.ProbeInterval())
		}
		s.emit(Probe{u.Upstream})
	}
}

// probed takes the result of a probe by this daemon.
func (s *State) probed(now time.Time, sighting instance.ProbeResult) {
	u := s.upstreams[string(sighting.ID())]
	if u == nil || u.nextProbe.IsZero() || sighting.At().Before(s.awake) || sighting.At().After(now) {
		return
	}
	e := entryOf(sighting, u.primary)
	i, found := s.self.find(u.id)
	if !found {
		s.claim(now, u, e, sighting.At())
		return
	}
	held := s.self.claims[i]
	if sighting.At().Before(held.at) {
		return
	}
	e.code = steadyCode(held.code, e.code)
	if e.sameNews(held.entry) {
		if e.code != held.code && e.primary {
			s.self.loadLeft = loadBeats
		}
		held.entry, held.at = e, sighting.At()
		s.judge(now, u)
		return
	}
	s.claim(now, u, e, sighting.At())
}

func entryOf(sighting instance.ProbeResult, primary bool) entry {
	load := sighting.Load()
	return entry{
		upstream:   string(sighting.ID()),
		alive:      sighting.Alive(),
		boot:       sighting.Boot(),
		assignment: sighting.Assignment(),
		phase:      sighting.Phase(),
		loaded:     uint8(min(max(0, load.LoadedPercent()), 100) / loadedStep * loadedStep),
		primary:    primary,
		code:       encodeLoad(load.Running(), load.Queued()),
	}
}

// sameNews reports whether nothing differs but the load, which travels with the beats.
func (e entry) sameNews(other entry) bool {
	e.code, other.code, e.age, other.age = 0, 0, 0, 0
	return e == other
}

// claim puts an entry into this daemon's own statement and spreads the step.
func (s *State) claim(now time.Time, u *upstream, e entry, at time.Time) {
	s.putClaim(s.self, e, at)
	s.step(change{entry: e}, at)
	s.judge(now, u)
}

// retract removes an upstream from this daemon's own statement.
func (s *State) retract(u *upstream) {
	s.dropClaim(s.self, u.id)
	s.step(change{removed: true, entry: entry{upstream: u.id}}, s.last)
}

func (s *State) step(c change, at time.Time) {
	s.self.statement++
	c.of, c.version = s.self.of, s.self.statement
	s.spread(rumour{change: &c, at: at})
}

// clearOwnClaims retracts all that this daemon said.
func (s *State) clearOwnClaims() {
	for len(s.self.claims) > 0 {
		s.retract(s.upstreams[s.self.claims[0].upstream])
	}
	s.rewatch = true
}

// dropSilentClaims retracts what no probe confirmed for too long.
func (s *State) dropSilentClaims(now time.Time) {
	for _, c := range slices.Clone(s.self.claims) {
		if now.Sub(c.at) > silentProbes*s.settings.ProbeInterval() {
			s.retract(s.upstreams[c.upstream])
		}
	}
}

// oldestClaim returns the time at which all that this daemon says was true.
func (s *State) oldestClaim(now time.Time) time.Time {
	oldest := now
	for _, c := range s.self.claims {
		if c.at.Before(oldest) {
			oldest = c.at
		}
	}
	return oldest
}
