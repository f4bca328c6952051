package peer

import (
	"encoding/binary"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/azurepond/azurepond/pkg/instance"
)

// maxSilentProbes is the number of probe intervals without a result after which an observation is retracted.
const maxSilentProbes = 3

// warmUpTime, plus a heartbeat interval, is the time after a start or a freeze in which a daemon learns the other members
// before it watches upstreams.
const warmUpTime = time.Second

// aloneTimeout is the time without a message from a peer after which a daemon proceeds alone.
const aloneTimeout = 5 * time.Second

// loadedPercentStep is the granularity in which the progress of loading a model is reported.
const loadedPercentStep = 25

// loadHeartbeats is the number of consecutive heartbeats that carry a changed load.
const loadHeartbeats = 3

// setUpstreams replaces the list of upstreams to watch.
func (s *State) setUpstreams(upstreams []Upstream) {
	before := s.listedUpstreams
	for _, u := range before {
		u.listed = false
	}
	s.listedUpstreams = nil
	for _, upstream := range upstreams {
		u := s.upstreamOf(upstream.id)
		u.Upstream = upstream
		if !u.listed {
			u.listed = true
			s.listedUpstreams = append(s.listedUpstreams, u)
		}
	}
	sort.Slice(s.listedUpstreams, func(i, j int) bool { return s.listedUpstreams[i].id < s.listedUpstreams[j].id })
	s.watchersStale = true
	for _, u := range before {
		s.unlist(u)
	}
}

// unlist stops watching an upstream that is not listed any more, and removes it if no observation of it is left.
func (s *State) unlist(u *upstream) {
	if u.listed {
		return
	}
	u.nextProbe = time.Time{}
	if len(u.observations) == 0 {
		delete(s.upstreams, u.id)
	}
}

// assignWatches recomputes which upstreams this daemon watches.
func (s *State) assignWatches(now time.Time) {
	if !s.watchersStale || !s.isWarm(now) {
		return
	}
	s.watchersStale = false
	for _, u := range s.listedUpstreams {
		rank := slices.Index(s.watchersOf(u.hash, s.settings.WatchersPerUpstream()), s.self)
		s.setWatch(now, u, rank)
	}
	for _, o := range slices.Clone(s.self.observations) {
		if u := s.upstreams[o.upstream]; !u.listed || u.nextProbe.IsZero() {
			s.retractObservation(u)
		}
	}
}

// isWarm reports whether this daemon has had enough time to learn the other members.
func (s *State) isWarm(now time.Time) bool {
	if !s.receivedFromPeer {
		return now.Sub(s.resumedAt) >= aloneTimeout
	}
	return now.Sub(s.resumedAt) >= warmUpTime+s.HeartbeatInterval()
}

// setWatch starts or stops watching an upstream. The rank of this daemon among the watchers is negative for none.
func (s *State) setWatch(now time.Time, u *upstream, rank int) {
	u.primary = rank == 0
	switch {
	case rank < 0:
		u.nextProbe = time.Time{}
	case u.nextProbe.IsZero():
		u.nextProbe = now.Add(time.Duration(s.random.Int64N(int64(s.settings.ProbeInterval()))))
	}
}

// scoredMember is a member with its rendezvous hashing score.
type scoredMember struct {
	member *member
	score  uint64
}

// watchersOf returns the members that watch the upstream that hashes to key. It uses rendezvous hashing, and chooses one
// member in each data centre before a second one in any.
func (s *State) watchersOf(key uint64, count int) []*member {
	best := s.bestOfCentres(key)
	sort.Slice(best, func(i, j int) bool { return best[i].score > best[j].score })
	var chosen []*member
	for _, c := range best[:min(count, len(best))] {
		chosen = append(chosen, c.member)
	}
	for len(chosen) < count {
		next := s.bestExcept(key, chosen)
		if next == nil {
			break
		}
		chosen = append(chosen, next)
	}
	return chosen
}

// bestOfCentres returns the member with the highest score in each data centre.
func (s *State) bestOfCentres(key uint64) []scoredMember {
	var best []scoredMember
	for _, m := range s.live {
		if m.leaving {
			continue
		}
		c := scoredMember{m, score(key, m.hash)}
		i := slices.IndexFunc(best, func(other scoredMember) bool { return other.member.centre == m.centre })
		switch {
		case i < 0:
			best = append(best, c)
		case c.score > best[i].score:
			best[i] = c
		}
	}
	return best
}

// bestExcept returns the member with the highest score that is not chosen yet, nil if all are.
func (s *State) bestExcept(key uint64, chosen []*member) *member {
	var best scoredMember
	for _, m := range s.live {
		if m.leaving || slices.Contains(chosen, m) {
			continue
		}
		if memberScore := score(key, m.hash); best.member == nil || memberScore > best.score {
			best = scoredMember{m, memberScore}
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

// emitProbes requests the probes that are due.
func (s *State) emitProbes(now time.Time) {
	for _, u := range s.listedUpstreams {
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

// handleProbeResult applies the result of a probe by this daemon.
func (s *State) handleProbeResult(now time.Time, result instance.ProbeResult) {
	u := s.upstreams[string(result.ID())]
	if u == nil || u.nextProbe.IsZero() || result.At().Before(s.resumedAt) || result.At().After(now) {
		return
	}
	e := reportEntryOf(result, u.primary)
	i, found := s.self.findObservation(u.id)
	if !found {
		s.recordObservation(now, u, e, result.At())
		return
	}
	stored := s.self.observations[i]
	if result.At().Before(stored.seenAt) {
		return
	}
	e.loadCode = stableLoadCode(stored.loadCode, e.loadCode)
	if e.equalExceptLoad(stored.reportEntry) {
		if e.loadCode != stored.loadCode && e.primary {
			s.self.loadHeartbeatsLeft = loadHeartbeats
		}
		stored.reportEntry, stored.seenAt = e, result.At()
		s.evaluate(now, u)
		return
	}
	s.recordObservation(now, u, e, result.At())
}

func reportEntryOf(result instance.ProbeResult, primary bool) reportEntry {
	load := result.Load()
	return reportEntry{
		upstream:      string(result.ID()),
		alive:         result.Alive(),
		boot:          result.Boot(),
		assignment:    result.Assignment(),
		phase:         result.Phase(),
		loadedPercent: uint8(min(max(0, load.LoadedPercent()), 100) / loadedPercentStep * loadedPercentStep),
		primary:       primary,
		loadCode:      encodeLoad(load.Running(), load.Queued()),
	}
}

// equalExceptLoad reports whether the entries differ in load and age at most. Heartbeats carry the load.
func (e reportEntry) equalExceptLoad(other reportEntry) bool {
	e.loadCode, other.loadCode, e.age, other.age = 0, 0, 0, 0
	return e == other
}

// recordObservation sets an entry of this daemon's own report and publishes the change.
func (s *State) recordObservation(now time.Time, u *upstream, e reportEntry, at time.Time) {
	s.putObservation(s.self, e, at)
	s.publishChange(reportChange{entry: e}, at)
	s.evaluate(now, u)
}

// retractObservation removes an upstream from this daemon's own report.
func (s *State) retractObservation(u *upstream) {
	s.dropObservation(s.self, u.id)
	s.publishChange(reportChange{removed: true, entry: reportEntry{upstream: u.id}}, s.lastEventAt)
}

func (s *State) publishChange(c reportChange, at time.Time) {
	s.self.storedReportVersion++
	c.watcher, c.version = s.self.handle, s.self.storedReportVersion
	s.queueUpdate(update{change: &c, seenAt: at})
}

// retractAll retracts all observations of this daemon.
func (s *State) retractAll() {
	for len(s.self.observations) > 0 {
		s.retractObservation(s.upstreams[s.self.observations[0].upstream])
	}
	s.watchersStale = true
}

// retractUnconfirmed retracts the observations that no probe confirmed for maxSilentProbes intervals.
func (s *State) retractUnconfirmed(now time.Time) {
	for _, o := range slices.Clone(s.self.observations) {
		if now.Sub(o.seenAt) > maxSilentProbes*s.settings.ProbeInterval() {
			s.retractObservation(s.upstreams[o.upstream])
		}
	}
}

// oldestObservationTime returns the time of the oldest observation of this daemon, now if it has none. Its next heartbeat
// gets that time, since a heartbeat states that all observations are still true.
func (s *State) oldestObservationTime(now time.Time) time.Time {
	oldest := now
	for _, o := range s.self.observations {
		if o.seenAt.Before(oldest) {
			oldest = o.seenAt
		}
	}
	return oldest
}
