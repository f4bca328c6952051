package peer

import (
	"encoding/binary"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The heartbeat interval grows with the number of daemons, so that the bytes that each receives in a second stay bounded.
const (
	heartbeatPerMember   = 15 * time.Millisecond
	minHeartbeatInterval = 500 * time.Millisecond
	maxHeartbeatInterval = 4 * time.Second
)

// Evidence expires after evidenceTTLHeartbeats heartbeat intervals, but not before minEvidenceTTL.
const (
	evidenceTTLHeartbeats = 4
	minEvidenceTTL        = 6 * time.Second
)

// A heartbeat is requested, once in each requestRetryInterval, when it is older than this part of the evidence TTL.
const overdueNumerator, overdueDenominator = 5, 8

// memberRetention is how long a member without a heartbeat is still contacted.
const memberRetention = time.Hour

// maxMembers limits the members, the links and the unknown handles that a daemon stores.
const maxMembers = 2048

// member is the state of one incarnation of a daemon.
type member struct {
	memberInfo
	handle         handle
	hash           uint64
	heartbeatAt    time.Time // when the last heartbeat was made, by this daemon's clock
	lastAcceptedAt time.Time // when a heartbeat was last accepted
	requestedAt    time.Time // when the heartbeat was last requested
	pushesLeft     int       // how often the last heartbeat is still to be forwarded
	supersedes     uint64    // the higher incarnation of an earlier start, 0 for none

	storedReportVersion uint64         // version of the stored report, 0 for none
	confirmedAt         time.Time      // all observations were true then
	observations        []*observation // by upstream
	loadCodes           []byte         // sent with the last heartbeat
	loadHeartbeatsLeft  int            // of this daemon: number of heartbeats that still carry its loads
	missedSince         time.Time      // since when a later report than the stored one is known
	repairSource        string         // the peer to request that report from
}

func hash(s string) uint64 { return xxhash.Sum64String(s) }

func handleOf(name string, incarnation uint64) handle {
	data := binary.BigEndian.AppendUint64([]byte(name), incarnation)
	return handle(uint32(xxhash.Sum64(data)))
}

// HeartbeatInterval returns the interval between two heartbeats of one daemon.
func (s *State) HeartbeatInterval() time.Duration {
	return min(max(minHeartbeatInterval, time.Duration(len(s.allMembers))*heartbeatPerMember), maxHeartbeatInterval)
}

// EvidenceTTL returns the age beyond which evidence is ignored.
func (s *State) EvidenceTTL() time.Duration {
	return max(minEvidenceTTL, evidenceTTLHeartbeats*s.HeartbeatInterval())
}

func (s *State) isFresh(now, at time.Time) bool {
	return !at.IsZero() && now.Sub(at) <= s.EvidenceTTL()
}

// addMember adds an unknown member in place of any earlier incarnation.
func (s *State) addMember(info memberInfo) *member {
	m := &member{memberInfo: info, handle: handleOf(info.name, info.incarnation), hash: hash(info.name)}
	if old, known := s.members[s.handleByName[info.name]]; known {
		s.removeMember(old)
	}
	s.members[m.handle] = m
	s.handleByName[info.name] = m.handle
	s.allMembers = append(s.allMembers, m)
	sortMembers(s.allMembers)
	return m
}

// removeMember removes a member and its observations.
func (s *State) removeMember(m *member) {
	s.dropObservations(m)
	delete(s.members, m.handle)
	if s.handleByName[m.name] == m.handle {
		delete(s.handleByName, m.name)
	}
	s.allMembers = slices.DeleteFunc(s.allMembers, func(other *member) bool { return other == m })
	s.live = slices.DeleteFunc(slices.Clone(s.live), func(other *member) bool { return other == m })
	s.gossipOrder = slices.DeleteFunc(s.gossipOrder, func(other *member) bool { return other == m })
	s.updates = slices.DeleteFunc(s.updates, func(u update) bool { return u.member == m })
}

// makeHeartbeat makes the next heartbeat of this daemon.
func (s *State) makeHeartbeat(now time.Time) {
	s.nextHeartbeat = now.Add(s.HeartbeatInterval())
	s.retractUnconfirmed(now)
	s.self.sequence++
	s.self.reportVersion = s.self.storedReportVersion
	s.self.heartbeatAt = s.oldestObservationTime(now)
	s.self.lastAcceptedAt = now
	s.self.pushesLeft = earlyPushes
	s.attachLoadCodes()
}

// acceptMemberInfo applies the description of a member that was delayed in transit by delay. It is from the member itself if isOwn is set.
func (s *State) acceptMemberInfo(now time.Time, delay time.Duration, info memberInfo, isOwn bool) {
	at := now.Add(-info.age - delay)
	if !s.isFresh(now, at) || info.name == "" {
		s.counters.stale++
		return
	}
	memberHandle := handleOf(info.name, info.incarnation)
	delete(s.unknownHandles, memberHandle)
	if info.name == s.settings.name {
		return
	}
	m, known := s.members[memberHandle]
	if known && m.name != info.name {
		s.counters.handleCollisions++
		return
	}
	if !known && !s.mayAdd(now, info, isOwn) {
		s.counters.stale++
		return
	}
	if !known {
		old := s.members[s.handleByName[info.name]]
		m = s.addMember(memberInfo{name: info.name, incarnation: info.incarnation})
		if old != nil && old.incarnation > info.incarnation {
			m.supersedes = old.incarnation
		}
	}
	s.updateMember(now, at, m, info)
}

// mayAdd reports whether an unknown member may be added. A daemon that starts again after its clock was set back has a lower incarnation
// than before. It is added if it says so itself, or if the higher one no longer sends heartbeats, and what others still say of that one is
// outdated.
func (s *State) mayAdd(now time.Time, info memberInfo, isOwn bool) bool {
	if old, known := s.members[s.handleByName[info.name]]; known {
		isLater := info.incarnation > old.incarnation && info.incarnation != old.supersedes
		return isLater || isOwn || !s.isFresh(now, old.heartbeatAt)
	}
	return len(s.allMembers) < maxMembers || s.removeLongestSilent(now)
}

// removeLongestSilent removes the member whose last heartbeat is the oldest, and reports whether there was one that is not live.
func (s *State) removeLongestSilent(now time.Time) bool {
	var oldest *member
	for _, m := range s.allMembers {
		if m != s.self && !s.isFresh(now, m.heartbeatAt) && (oldest == nil || m.heartbeatAt.Before(oldest.heartbeatAt)) {
			oldest = m
		}
	}
	if oldest == nil {
		return false
	}
	s.removeMember(oldest)
	return true
}

func (s *State) updateMember(now, at time.Time, m *member, info memberInfo) {
	if info.infoVersion > m.infoVersion {
		m.address, m.callerAddress, m.centre = info.address, info.callerAddress, info.centre
		m.infoVersion, m.leaving = info.infoVersion, info.leaving
		s.queueUpdate(update{member: m})
		s.memberInfoChanged = true
	}
	if info.sequence > m.sequence {
		s.applyHeartbeat(now, at, m, info.sequence, info.reportVersion, info.revision)
	}
}

// acceptHeartbeat applies one heartbeat that the peer called source forwarded.
func (s *State) acceptHeartbeat(now time.Time, delay time.Duration, h heartbeat, source string) {
	m, known := s.members[h.member]
	if !known {
		s.noteUnknown(h.member, source)
		return
	}
	at := now.Add(-h.age - delay)
	if m == s.self || !s.isFresh(now, at) {
		s.counters.stale++
		return
	}
	step := int8(h.sequence - uint8(m.sequence))
	if step <= 0 {
		s.counters.duplicateHeartbeats++
		s.noteReportSource(m, h.reportVersion, source)
		return
	}
	if now.Sub(m.lastAcceptedAt) > s.maxSequenceGap() {
		s.noteUnknown(h.member, source)
		return
	}
	s.counters.newHeartbeats++
	revision := nearest(m.revision, uint64(h.revision), 8)
	s.applyHeartbeat(now, at, m, m.sequence+uint64(step),
		nearest(m.reportVersion, uint64(h.reportVersion), versionBits), revision)
	m.loadCodes = h.loadCodes
	s.applyLoadCodes(now, m)
	s.noteReportSource(m, h.reportVersion, source)
}

// maxSequenceGap is the time without a heartbeat after which the 8-bit sequence of the next one is ambiguous.
func (s *State) maxSequenceGap() time.Duration { return 100 * minHeartbeatInterval }

func (s *State) noteUnknown(memberHandle handle, source string) {
	if len(s.unknownHandles) < maxMembers {
		s.unknownHandles[memberHandle] = source
	}
}

// nearest returns the number closest to current whose lowest bits equal low.
func nearest(current, low uint64, bits uint) uint64 {
	size := uint64(1) << bits
	candidate := current&^(size-1) | low
	switch {
	case candidate > current && candidate-current > size/2 && candidate >= size:
		return candidate - size
	case candidate < current && current-candidate > size/2:
		return candidate + size
	}
	return candidate
}

// applyHeartbeat records a later heartbeat of a member: it was alive and that version of its report was true at time at.
func (s *State) applyHeartbeat(now, at time.Time, m *member, sequence, version, revision uint64) {
	m.sequence = sequence
	m.reportVersion = version
	m.revision = revision
	m.lastAcceptedAt = now
	m.heartbeatAt = at
	m.loadCodes = nil
	m.pushesLeft = s.heartbeatPushes(now.Sub(at))
	s.confirmObservations(now, m)
}

// liveInterval is the interval at which members whose heartbeats have stopped are removed; heartbeats expire after seconds.
const liveInterval = 100 * time.Millisecond

// refreshLiveIfDue recomputes the live members after a change or liveInterval.
func (s *State) refreshLiveIfDue(now time.Time) {
	if s.memberInfoChanged || now.Sub(s.liveRefreshedAt) >= liveInterval {
		s.refreshLive(now)
	}
}

// refreshLive recomputes the live members and emits Members when they changed.
func (s *State) refreshLive(now time.Time) {
	s.liveRefreshedAt = now
	s.removeExpired(now)
	live := make([]*member, 0, len(s.allMembers))
	for _, m := range s.allMembers {
		if m == s.self || s.isFresh(now, m.heartbeatAt) {
			live = append(live, m)
		}
	}
	if slices.Equal(live, s.live) && !s.memberInfoChanged {
		return
	}
	s.live = live
	s.watchersStale = true
	s.memberInfoChanged = false
	s.gossipOrder = nil
	s.emit(Members{s.Members(now)})
}

func (s *State) removeExpired(now time.Time) {
	var expired []*member
	for _, m := range s.allMembers {
		if m != s.self && now.Sub(m.lastAcceptedAt) > memberRetention {
			expired = append(expired, m)
		}
	}
	for _, m := range expired {
		s.removeMember(m)
	}
}

func (s *State) isLive(m *member) bool {
	i := sort.Search(len(s.live), func(i int) bool { return s.live[i].name >= m.name })
	return i < len(s.live) && s.live[i] == m
}

// Members returns all live members sorted by name, including this daemon.
func (s *State) Members(now time.Time) []Member {
	var members []Member
	for _, m := range s.allMembers {
		if m == s.self || s.isFresh(now, m.heartbeatAt) {
			members = append(members, Member{
				name: m.name, address: m.address, callerAddress: m.callerAddress, centre: m.centre,
				incarnation: m.incarnation, leaving: m.leaving, capacity: m.capacity(), relayAddress: m.relayAddress(),
			})
		}
	}
	return members
}
