package gateway

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/azurepond/azurepond/pkg/dispatch"
	"github.com/azurepond/azurepond/pkg/peer"
	"github.com/azurepond/azurepond/pkg/relay"
	"github.com/azurepond/azurepond/pkg/replica"
)

// The topics of facts that daemons share until they expire.
const (
	outageTopic = "outage" // the origin can't reach the store, or has just recovered, or has lost paths to upstreams
	deadTopic   = "dead"   // an instance does not answer the origin
)

// The times of shared facts and of leader election.
const (
	outageFactTTL       = 3 * time.Second // renewed while the outage lasts
	outageFactInterval  = time.Second
	deadFactTTL         = 5 * time.Second         // the list contains a dead instance for three heartbeats
	minHeartbeatTimeout = 2500 * time.Millisecond // a heartbeat advances by one daemon in each gossip interval
	maxMissedHeartbeats = 3                       // heartbeats are less frequent in a large fleet
	minLeaderUptime     = 1500 * time.Millisecond // peers connect within a second of their start, or of the end of a freeze
	linkResetTime       = 500 * time.Millisecond  // after a freeze, in which this daemon closes all links itself
	startupFactTTL      = 2 * time.Second         // a daemon that has just started must not lead yet
	leaderStableWindow  = 400 * time.Millisecond  // membership views differ for one or two gossip intervals
	fleetMemberTTL      = 15 * time.Second        // for which a member counts that is no longer live
)

// members is the membership view by which the leader, the readers of the list and the advertised addresses are chosen.
type members struct {
	self             string
	resumedAt        time.Time            // start, or end of the last freeze
	live             []peer.Member        // by rank
	disconnected     map[string]bool      // the link closed and nothing was received since
	receivedAt       map[string]time.Time // when the last message of a peer arrived
	unresponsive     map[string]bool      // former leaders that stopped to acknowledge reports and sent nothing since
	leaderAcks       bool                 // the leader has acknowledged a report; one of an earlier version does not
	unackedSince     time.Time            // when the first report was sent that the leader has not acknowledged, or zero
	outages          map[string]outage    // peers without full access to the store or to upstreams
	sharedAccess     outage               // access of this daemon as last shared with peers
	storeUnreachable bool                 // from this daemon
	sharedAt         time.Time
	refreshedAt      time.Time
	candidate        string // first of the ranking
	candidateSince   time.Time
	leader           string
	readers          []string // the other daemons that read the list
	nearReaders      []string // those in the data centre of this daemon
	isReader         bool
	seenAt           map[string]time.Time // when a member was last seen live
	fleetSize        int                  // members that were live within fleetMemberTTL, this daemon included
	fleetSizeKnown   bool                 // this daemon has run long enough to know its peers
	startedAt        time.Time
	starts           map[string]daemonStart // the last start of each daemon
}

func newMembers(now time.Time, self string) members {
	return members{
		self: self, resumedAt: now, startedAt: now,
		disconnected: map[string]bool{}, outages: map[string]outage{}, receivedAt: map[string]time.Time{},
		unresponsive: map[string]bool{},
		seenAt:       map[string]time.Time{},
		starts:       map[string]daemonStart{},
	}
}

// refreshMembers determines the leader, the readers of the list, the advertised addresses and the shard owners.
func (s *State) refreshMembers(now time.Time) {
	m := &s.members
	if now.Sub(m.refreshedAt) < membershipInterval {
		return
	}
	m.refreshedAt = now
	m.checkLeader(now)
	if access := s.ownOutage(now); access != m.sharedAccess || access != (outage{}) && now.Sub(m.sharedAt) >= outageFactInterval {
		s.shareAccess(now)
	}
	fresh := s.freshMembers(now)
	s.refreshRelays(now, fresh)
	s.refreshWatchers(now, fresh)
	ranking := s.rankMembers(now, fresh)
	s.chooseReaders(now, ranking)
	s.chooseLeader(now, s.byPaths(now, ranking))
	s.advertise(fresh)
	s.refreshShardOwners(now, fresh)
	s.measureFleet(now, fresh)
	s.countRetrySharers(now, fresh)
}

// recordReceived records that a message of a peer arrived.
func (m *members) recordReceived(now time.Time, name string) {
	delete(m.disconnected, name)
	delete(m.unresponsive, name)
	m.receivedAt[name] = now
	if name == m.leader {
		m.unackedSince = time.Time{}
	}
}

// recordReport records that a report was sent to the leader.
func (m *members) recordReport(now time.Time) {
	if m.leaderAcks && m.unackedSince.IsZero() {
		m.unackedSince = now
	}
}

// checkLeader excludes a leader from the ranking that no longer acknowledges reports, until a message of it arrives. In a large
// fleet, heartbeats are so rare that a frozen leader would be noticed only after ten seconds or more.
func (m *members) checkLeader(now time.Time) {
	if !m.unackedSince.IsZero() && now.Sub(m.unackedSince) >= minHeartbeatTimeout {
		m.unresponsive[m.leader] = true
		m.unackedSince = time.Time{}
	}
}

// resume handles the end of a freeze of this process: it does not lead, and follows no leader, until it knows its peers again.
func (s *State) resume(now time.Time) {
	m := &s.members
	m.resumedAt, m.refreshedAt = now, time.Time{}
	clear(m.disconnected)
	m.candidate, m.candidateSince = "", now
	s.watcher = newWatcher()
	if m.leader == "" {
		return
	}
	m.leader, m.leaderAcks, m.unackedSince = "", false, time.Time{}
	s.emit(LeaderChanged{false, ""})
	s.reduceReplica(now, replica.NewLeadershipChanged(false))
}

// The access of a daemon to the store.
const (
	accessFull       = byte(iota)
	accessNone       // it may neither lead nor read the list
	accessRecovering // it may lead, but expired entries of its list may still be renewed
)

func (s *State) storeAccess(now time.Time) byte {
	switch {
	case s.members.storeUnreachable:
		return accessNone
	case s.listing.isRecovering(now):
		return accessRecovering
	}
	return accessFull
}

// ownOutage returns the access of this daemon.
func (s *State) ownOutage(now time.Time) outage {
	return outage{access: s.storeAccess(now), paths: s.relay.Access()}
}

// shareAccess shares this daemon's access to the store and to the upstreams with all peers.
func (s *State) shareAccess(now time.Time) {
	m := &s.members
	m.sharedAt, m.sharedAccess = now, s.ownOutage(now)
	var value []byte
	if m.sharedAccess != (outage{}) {
		value = []byte{m.sharedAccess.access, byte(m.sharedAccess.paths)}
	}
	s.reducePeer(now, peer.NewFactShared(outageTopic, "", value, now.Add(outageFactTTL)))
}

// decodeOutage returns the access that a peer reports. Daemons of earlier versions report only that to the store.
func decodeOutage(value []byte, until time.Time) outage {
	o := outage{access: value[0], until: until}
	if len(value) > 1 {
		o.paths = min(relay.Access(value[1]), relay.AccessNone)
	}
	return o
}

// rankMembers returns the daemons that are known to reach the store, those with the most resources first. All daemons agree
// on this order, and a restarted daemon replaces no running one of its class.
func (s *State) rankMembers(now time.Time, fresh []peer.Member) []peer.Member {
	isEligible := s.stopping.IsZero() && !s.members.storeUnreachable && now.Sub(s.members.resumedAt) >= minLeaderUptime
	return slices.DeleteFunc(s.withOwn(fresh), func(member peer.Member) bool {
		if member.Name() == s.members.self {
			return !isEligible
		}
		return member.Leaving() || s.members.unresponsive[member.Name()] || s.storeAccessOf(now, member.Name()) == accessNone
	})
}

// withOwn returns a copy of fresh, by rank, with this daemon's own entry among them once it is listed.
func (s *State) withOwn(fresh []peer.Member) []peer.Member {
	all := slices.Clone(fresh)
	for _, own := range s.ownMember() {
		position, _ := slices.BinarySearchFunc(all, own, compareRank)
		all = slices.Insert(all, position, own)
	}
	return all
}

// compareRank orders daemons by the class of their resources, the highest first, and then by start time, the oldest first.
func compareRank(a, b peer.Member) int {
	return cmp.Or(
		cmp.Compare(b.Capacity(), a.Capacity()),
		cmp.Compare(a.Incarnation(), b.Incarnation()),
		cmp.Compare(a.Name(), b.Name()),
	)
}

// daemonStart is a start of a daemon, and when this daemon first saw it.
type daemonStart struct {
	incarnation uint64
	seenAt      time.Time
}

// firstSeen returns when the current start of a daemon was first seen.
func (m *members) firstSeen(now time.Time, member peer.Member) time.Time {
	known := m.starts[member.Name()]
	if known.incarnation != member.Incarnation() {
		known = daemonStart{member.Incarnation(), now}
		m.starts[member.Name()] = known
	}
	return known.seenAt
}

// outage is the limited access that a peer reported.
type outage struct {
	access byte // to the store
	paths  relay.Access
	until  time.Time
}

// storeAccessOf returns the access of a daemon to the store; peers that report none have full access.
func (s *State) storeAccessOf(now time.Time, name string) byte {
	if name == s.members.self {
		return s.storeAccess(now)
	}
	if reported := s.members.outages[name]; now.Before(reported.until) {
		return reported.access
	}
	return accessFull
}

// ownMember returns this daemon's own entry among the live members, none before it is listed.
func (s *State) ownMember() []peer.Member {
	for _, member := range s.members.live {
		if member.Name() == s.members.self {
			return []peer.Member{member}
		}
	}
	return nil
}

// chooseReaders selects the readers of the platform's list: the first daemon of the ranking in each data centre, so that the
// list passes between data centres only once, and the next ones of the ranking if there are fewer than minReaders.
func (s *State) chooseReaders(now time.Time, ranking []peer.Member) {
	m := &s.members
	var first, others []peer.Member
	centres := map[string]bool{}
	for _, member := range ranking {
		switch {
		case s.storeAccessOf(now, member.Name()) != accessFull:
		case centres[member.Centre()]:
			others = append(others, member)
		default:
			centres[member.Centre()] = true
			first = append(first, member)
		}
	}
	first = append(first, others[:min(max(minReaders-len(first), 0), len(others))]...)
	m.isReader, m.readers, m.nearReaders = false, nil, nil
	for _, member := range first {
		switch {
		case member.Name() == m.self:
			m.isReader = true
			continue
		case member.Centre() == s.settings.centre:
			m.nearReaders = append(m.nearReaders, member.Name())
		}
		m.readers = append(m.readers, member.Name())
	}
}

// freshMembers returns the other live members with a recent heartbeat or message and no closed link, by rank.
func (s *State) freshMembers(now time.Time) []peer.Member {
	late := map[string]bool{}
	for _, lag := range s.peer.MemberRevisions(now) {
		late[lag.Name()] = lag.Age() > max(minHeartbeatTimeout, maxMissedHeartbeats*s.peer.HeartbeatInterval()) &&
			now.Sub(s.members.receivedAt[lag.Name()]) > minHeartbeatTimeout
	}
	var fresh []peer.Member
	for _, member := range s.members.live {
		if member.Name() != s.members.self && !s.members.disconnected[member.Name()] && !late[member.Name()] {
			fresh = append(fresh, member)
		}
	}
	return fresh
}

// chooseLeader elects the first daemon of the ranking. Two daemons may lead at once while their views differ; the
// conditional write of the record keeps that safe.
func (s *State) chooseLeader(now time.Time, ranking []peer.Member) {
	m := &s.members
	first := ""
	if len(ranking) > 0 {
		first = ranking[0].Name()
	}
	if first != m.candidate {
		m.candidate, m.candidateSince = first, now
	}
	if first == m.leader || first == m.self && (now.Sub(m.candidateSince) < leaderStableWindow || !s.listing.known) {
		return
	}
	m.leader, m.leaderAcks, m.unackedSince = first, false, time.Time{}
	leading := first == m.self
	s.emit(LeaderChanged{leading, first})
	s.reduceReplica(now, replica.NewLeadershipChanged(leading))
}

// advertise notifies the driver when the addresses for callers change.
func (s *State) advertise(fresh []peer.Member) {
	var addresses []Address
	if s.stopping.IsZero() && s.ready {
		addresses = append(addresses, NewAddress(s.settings.callerAddress, s.settings.centre))
	}
	for _, member := range fresh {
		if !member.Leaving() {
			addresses = append(addresses, NewAddress(member.CallerAddress(), member.Centre()))
		}
	}
	if !slices.Equal(addresses, s.addresses) {
		s.addresses = addresses
		s.emit(Advertise{addresses})
	}
}

// forgetPeers removes what is known of daemons that pkg/peer no longer knows or that have been silent for long.
func (s *State) forgetPeers(now time.Time) {
	m := &s.members
	isUnknown := func(name string, _ bool) bool { return !s.peer.IsKnown(name) }
	maps.DeleteFunc(m.disconnected, isUnknown)
	maps.DeleteFunc(m.unresponsive, isUnknown)
	maps.DeleteFunc(m.receivedAt, func(_ string, at time.Time) bool { return now.Sub(at) > fleetMemberTTL })
	maps.DeleteFunc(m.outages, func(_ string, reported outage) bool { return !now.Before(reported.until) })
	maps.DeleteFunc(s.demandByDaemon, func(_ string, demand daemonDemand) bool { return now.Sub(demand.receivedAt) > demandTTL })
	maps.DeleteFunc(s.suspectedAt, func(_ replica.ID, at time.Time) bool { return now.Sub(at) > limitedProbeInterval })
}

// measureFleet reports to pkg/dispatch how many daemons were live within fleetMemberTTL, or 0 while this daemon has just started and does
// not know its peers.
func (s *State) measureFleet(now time.Time, fresh []peer.Member) {
	m := &s.members
	m.seenAt[m.self] = now
	for _, member := range fresh {
		m.seenAt[member.Name()] = now
	}
	for name, seenAt := range m.seenAt {
		if now.Sub(seenAt) > fleetMemberTTL {
			delete(m.seenAt, name)
			delete(m.starts, name)
			delete(m.unresponsive, name)
		}
	}
	s.forgetPeers(now)
	if len(m.seenAt) != m.fleetSize || !m.fleetSizeKnown {
		m.fleetSize = len(m.seenAt)
		m.fleetSizeKnown = now.Sub(m.startedAt) >= minLeaderUptime
		size := m.fleetSize
		if !m.fleetSizeKnown {
			size = 0
		}
		s.reduceDispatch(now, dispatch.NewFleetSizeChanged(size))
	}
}
