package peer

import (
	"slices"
	"sort"
	"time"

	"github.com/azurepond/azurepond/pkg/instance"
)

// repairGrace is the time that a missed update may still arrive by gossip before it is requested.
const repairGrace = 500 * time.Millisecond

// refreshDivisor sets when an unchanged result is emitted again: after the heartbeat interval divided by it.
const refreshDivisor = 2

// observation is the entry of one watcher for one upstream, as stored here.
type observation struct {
	reportEntry
	watcher *member
	target  *upstream
	seenAt  time.Time // when the entry itself was observed
}

// upstream is the state of one upstream.
type upstream struct {
	Upstream
	hash         uint64
	listed       bool
	observations []*observation // of all watchers, by name
	applied      observation    // last emitted by ApplyProbeResult
	appliedAt    time.Time
	nextProbe    time.Time // zero: not watched by this daemon
	primary      bool      // this daemon ranks first among the watchers
}

// validAt returns the latest time at which the observation is known to have been true.
func (o *observation) validAt() time.Time {
	if o.watcher.confirmedAt.After(o.seenAt) {
		return o.watcher.confirmedAt
	}
	return o.seenAt
}

// saveConfirmation copies the time of the last confirming heartbeat to each observation, because that heartbeat does not
// confirm the observations added next.
func (m *member) saveConfirmation() {
	for _, o := range m.observations {
		o.seenAt = o.validAt()
	}
	m.confirmedAt = time.Time{}
}

// upstreamOf returns the upstream of that name and adds it if it is unknown.
func (s *State) upstreamOf(id string) *upstream {
	u := s.upstreams[id]
	if u == nil {
		u = &upstream{Upstream: Upstream{id: id}, hash: hash(id)}
		s.upstreams[id] = u
	}
	return u
}

// putObservation stores the entry of m for one upstream, observed at time at.
func (s *State) putObservation(m *member, e reportEntry, at time.Time) *upstream {
	u := s.upstreamOf(e.upstream)
	i, found := m.findObservation(e.upstream)
	if found {
		m.observations[i].reportEntry, m.observations[i].seenAt = e, at
		return u
	}
	o := &observation{reportEntry: e, watcher: m, target: u, seenAt: at}
	m.observations = slices.Insert(m.observations, i, o)
	u.observations = append(u.observations, o)
	sort.Slice(u.observations, func(i, j int) bool { return u.observations[i].watcher.name < u.observations[j].watcher.name })
	return u
}

func (m *member) findObservation(id string) (int, bool) {
	i := sort.Search(len(m.observations), func(i int) bool { return m.observations[i].upstream >= id })
	return i, i < len(m.observations) && m.observations[i].upstream == id
}

func (s *State) dropObservation(m *member, id string) {
	i, found := m.findObservation(id)
	if !found {
		return
	}
	o := m.observations[i]
	m.observations = slices.Delete(m.observations, i, i+1)
	u := s.upstreamOf(id)
	u.observations = slices.DeleteFunc(u.observations, func(other *observation) bool { return other == o })
	if len(u.observations) == 0 && !u.listed {
		delete(s.upstreams, id)
	}
}

func (s *State) dropObservations(m *member) {
	for len(m.observations) > 0 {
		s.dropObservation(m, m.observations[len(m.observations)-1].upstream)
	}
}

// acceptChange applies the next change of a watcher's report. If a change before it is missing, the whole report is
// requested later.
func (s *State) acceptChange(now time.Time, delay time.Duration, c reportChange, source string) {
	m, known := s.members[c.watcher]
	if !known {
		s.noteUnknown(c.watcher, source)
		return
	}
	if m == s.self || c.version <= m.storedReportVersion {
		return
	}
	if c.version != m.storedReportVersion+1 {
		s.noteMissed(now, m, source)
		return
	}
	at := now.Add(-c.entry.age - delay)
	s.queueUpdate(update{change: &c, seenAt: at})
	m.saveConfirmation()
	m.storedReportVersion = c.version
	s.clearMissed(m)
	if c.removed {
		s.dropObservation(m, c.entry.upstream)
		s.reevaluate(now, c.entry.upstream)
		return
	}
	s.evaluate(now, s.putObservation(m, c.entry, at))
}

// acceptReport replaces a watcher's report if the version is higher than the stored one.
func (s *State) acceptReport(now time.Time, delay time.Duration, r report) {
	m, known := s.members[r.watcher]
	if !known || m == s.self || r.version <= m.storedReportVersion {
		return
	}
	at := now.Add(-r.age - delay)
	changed := map[string]bool{}
	for _, o := range m.observations {
		changed[o.upstream] = true
	}
	s.dropObservations(m)
	m.storedReportVersion = r.version
	m.confirmedAt = time.Time{}
	for _, e := range r.entries {
		s.putObservation(m, e, at)
		changed[e.upstream] = true
	}
	s.clearMissed(m)
	for _, id := range sortedKeys(changed) {
		s.reevaluate(now, id)
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

// toWire returns the report of a member as it is sent.
func (m *member) toWire(now time.Time) report {
	r := report{watcher: m.handle, version: m.storedReportVersion}
	for _, o := range m.observations {
		r.entries = append(r.entries, o.reportEntry)
		r.age = max(r.age, now.Sub(o.validAt()))
	}
	return r
}

// confirmObservations refreshes all observations of a member if its last heartbeat named the stored version of its report.
func (s *State) confirmObservations(now time.Time, m *member) {
	if m == s.self || m.reportVersion != m.storedReportVersion || !m.heartbeatAt.After(m.confirmedAt) {
		return
	}
	m.confirmedAt = m.heartbeatAt
	for _, o := range m.observations {
		if !o.isRedundant(m.confirmedAt, s.HeartbeatInterval()/refreshDivisor) {
			s.evaluate(now, o.target)
		}
	}
}

// isRedundant reports whether an observation of a success, valid at time at, adds nothing to the last applied one.
func (o *observation) isRedundant(at time.Time, interval time.Duration) bool {
	return o.alive && o.target.applied.alive && at.Sub(o.target.appliedAt) < interval
}

// noteReportSource records the peer that can send the report of a member, if a heartbeat names a later version than the
// stored one.
func (s *State) noteReportSource(m *member, version uint16, source string) {
	if version == truncateVersion(m.reportVersion) && m.reportVersion > m.storedReportVersion && m != s.self {
		s.noteMissed(m.lastAcceptedAt, m, source)
	}
}

func (s *State) noteMissed(now time.Time, m *member, source string) {
	if m.missedSince.IsZero() {
		m.missedSince = now
	}
	m.repairSource = source
}

func (s *State) clearMissed(m *member) {
	if m.storedReportVersion >= m.reportVersion {
		m.missedSince, m.repairSource = time.Time{}, ""
	}
}

// reevaluate evaluates an upstream unless it has been removed.
func (s *State) reevaluate(now time.Time, id string) {
	if u := s.upstreams[id]; u != nil {
		s.evaluate(now, u)
	}
}

// evaluate recomputes the health of an upstream, and emits it if it changed or needs refreshing.
func (s *State) evaluate(now time.Time, u *upstream) {
	selected, at := s.selectObservation(now, u)
	if selected == nil {
		return
	}
	s.requestLoneReport(now, selected, u)
	unchanged := selected.reportEntry.equalExceptAge(u.applied.reportEntry) && !u.appliedAt.IsZero()
	if unchanged && at.Sub(u.appliedAt) < s.HeartbeatInterval()/refreshDivisor {
		return
	}
	if at.Before(u.appliedAt) {
		return
	}
	u.applied = *selected
	u.appliedAt = at
	s.emit(ApplyProbeResult{selected.probeResult(u.id, at)})
}

// requestLoneReport requests the report of the watcher whose success determines the health, while two or more others
// observe failures.
func (s *State) requestLoneReport(now time.Time, selected *observation, u *upstream) {
	if !selected.alive || selected.watcher == s.self {
		return
	}
	failures := 0
	for _, o := range u.observations {
		if !o.alive && s.isFresh(now, o.validAt()) {
			failures++
		}
	}
	if failures > 1 {
		s.noteMissed(now, selected.watcher, selected.watcher.name)
	}
}

// selectObservation returns the observation that determines the health: the latest recent success, unless the failures of
// two watchers are later by failureOverrideMargin.
func (s *State) selectObservation(now time.Time, u *upstream) (*observation, time.Time) {
	var success, failure, secondFailure *observation
	for _, o := range u.observations {
		switch {
		case !s.isFresh(now, o.validAt()):
		case o.alive:
			success = laterObservation(success, o)
		case laterObservation(failure, o) == o:
			failure, secondFailure = o, failure
		default:
			secondFailure = laterObservation(secondFailure, o)
		}
	}
	switch {
	case success == nil && failure == nil:
		return nil, time.Time{}
	case success == nil:
		return failure, failure.validAt()
	case secondFailure != nil && secondFailure.validAt().Sub(success.validAt()) > s.failureOverrideMargin():
		return failure, failure.validAt()
	}
	return success, success.validAt()
}

// laterObservation returns the observation with the later validAt; a may be nil.
func laterObservation(a, b *observation) *observation {
	if a == nil || b.validAt().After(a.validAt()) {
		return b
	}
	return a
}

// failureOverrideMargin is by how much the failures of two watchers must be later than the success that a third observed.
func (s *State) failureOverrideMargin() time.Duration {
	return s.HeartbeatInterval() + s.settings.ProbeInterval()
}

func (e reportEntry) equalExceptAge(other reportEntry) bool {
	e.age, other.age, e.primary, other.primary = 0, 0, false, false
	return e == other
}

func (o *observation) probeResult(id string, at time.Time) instance.ProbeResult {
	if !o.alive {
		return instance.NewFailedProbe(instance.ID(id), o.watcher.name, at)
	}
	running, queued := decodeLoad(o.loadCode)
	l := instance.NewLoad(running, queued, int(o.loadedPercent))
	return instance.NewProbeResult(instance.ID(id), o.boot, o.assignment, o.phase, l, o.watcher.name, at)
}

// invalidateEvidence discards all evidence until it is received again. Members and their sequences are kept, so that old
// heartbeats are still refused.
func (s *State) invalidateEvidence() {
	for _, m := range s.allMembers {
		m.heartbeatAt, m.confirmedAt, m.pushesLeft = time.Time{}, time.Time{}, 0
		if m != s.self {
			s.dropObservations(m)
			m.storedReportVersion = 0
		}
	}
	for _, u := range s.upstreams {
		u.applied, u.appliedAt = observation{}, time.Time{}
		u.nextProbe = time.Time{}
	}
	s.retractAll()
}
