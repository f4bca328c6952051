package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/azurepond/azurepond/pkg/dispatch"
	"github.com/azurepond/azurepond/pkg/peer"
	"github.com/azurepond/azurepond/pkg/replica"
)

// The topics of soft facts among the daemons.
const (
	outageTopic = "outage" // the origin does not reach the store
	deadTopic   = "dead"   // an instance does not answer the origin
)

// The times of soft facts and of the choice of a leader.
const (
	outageFact  = 3 * time.Second // told again while the outage lasts
	outageTell  = time.Second
	deadFact    = 5 * time.Second         // the list names a dead instance for three heartbeats
	beatSlack   = 2500 * time.Millisecond // a beat passes one daemon in each gossip interval
	beatsMissed = 3                       // in a large fleet beats come less often
	leadAfter   = 1500 * time.Millisecond // peers meet within a second of their start
	youngFact   = 2 * time.Second         // a daemon that has just started does not lead yet
	leadStable  = 400 * time.Millisecond  // views of the fleet differ for a gossip interval or two
	sharersKept = 15 * time.Second        // one and a half windows of the retry budget
)

// members are the other daemons as far as they matter for leading, reading the list, and the addresses that callers are
// told.
type members struct {
	self     string
	began    time.Time
	live     []peer.Member
	cut      map[string]bool   // the link broke and nothing came since
	outage   map[string]outage // of peers that do not reach the store, or did not a moment ago
	reach    byte              // what peers were told of this daemon
	out      bool              // the store can't be reached from here
	told     time.Time
	checked  time.Time
	first    string    // who is to lead
	since    time.Time // for how long
	leader   string
	readers  []string // the others that read the list
	isReader bool
	counts   map[string]time.Time // when a member was last live
	sharers  int
	starts   map[string]start // the last start of each daemon
}

func newMembers(now time.Time, self string) members {
	return members{
		self: self, began: now, cut: map[string]bool{}, outage: map[string]outage{}, counts: map[string]time.Time{},
		starts: map[string]start{},
	}
}

// refreshMembers finds out who leads, who reads the list and who takes callers.
func (s *State) refreshMembers(now time.Time) {
	m := &s.members
	if now.Sub(m.checked) < memberPeriod {
		return
	}
	m.checked = now
	if reach := s.reach(now); reach != m.reach || reach != reachAll && now.Sub(m.told) >= outageTell {
		s.tellReach(now)
	}
	fresh := s.freshMembers(now)
	ranking := s.rank(now, fresh)
	s.chooseReaders(now, ranking)
	s.chooseLeader(now, ranking)
	s.advertise(fresh)
	s.keep(now, fresh)
	s.countSharers(now, fresh)
}

// How far a daemon reaches the store.
const (
	reachAll  = byte(iota)
	reachNone // it neither leads nor reads the list
	reachLate // it leads, but lapsed entries may still come back to its list
)

func (s *State) reach(now time.Time) byte {
	switch {
	case s.members.out:
		return reachNone
	case s.listing.isReturning(now):
		return reachLate
	}
	return reachAll
}

// tellReach tells peers how far this daemon reaches the store.
func (s *State) tellReach(now time.Time) {
	m := &s.members
	m.told, m.reach = now, s.reach(now)
	var value []byte
	if m.reach != reachAll {
		value = []byte{m.reach}
	}
	s.toPeer(now, peer.NewShared(outageTopic, "", value, now.Add(outageFact)))
}

// rank returns the daemons that reach the store as far as is known, in an order that all daemons agree on: the oldest
// first, so that one that starts again takes nothing over from one that works.
func (s *State) rank(now time.Time, fresh []peer.Member) []string {
	var able []peer.Member
	if s.stopping.IsZero() && !s.members.out && now.Sub(s.members.began) >= leadAfter {
		able = append(able, s.ownMember()...)
	}
	for _, one := range fresh {
		if !one.Leaving() && s.reachOf(now, one.Name()) != reachNone {
			able = append(able, one)
		}
	}
	slices.SortFunc(able, byAge)
	names := make([]string, 0, len(able))
	for _, one := range able {
		names = append(names, one.Name())
	}
	return names
}

// byAge orders daemons by their start, the oldest first.
func byAge(a, b peer.Member) int {
	return cmp.Or(cmp.Compare(a.Incarnation(), b.Incarnation()), cmp.Compare(a.Name(), b.Name()))
}

// start is a start of a daemon, and when this one first heard of it.
type start struct {
	incarnation uint64
	at          time.Time
}

// seenSince returns when a start of a daemon was first heard of.
func (m *members) seenSince(now time.Time, one peer.Member) time.Time {
	known := m.starts[one.Name()]
	if known.incarnation != one.Incarnation() {
		known = start{one.Incarnation(), now}
		m.starts[one.Name()] = known
	}
	return known.at
}

// outage is what a peer told of its reach of the store.
type outage struct {
	reach byte
	until time.Time
}

// reachOf returns how far a daemon reaches the store, as far as is known.
func (s *State) reachOf(now time.Time, name string) byte {
	if name == s.members.self {
		return s.reach(now)
	}
	if told := s.members.outage[name]; now.Before(told.until) {
		return told.reach
	}
	return reachAll
}

// ownMember returns this daemon as its peers see it.
func (s *State) ownMember() []peer.Member {
	for _, one := range s.members.live {
		if one.Name() == s.members.self {
			return []peer.Member{one}
		}
	}
	return nil
}

// chooseReaders makes the first daemons read the platform's list of upstreams.
func (s *State) chooseReaders(now time.Time, ranking []string) {
	m := &s.members
	able := slices.DeleteFunc(slices.Clone(ranking), func(name string) bool { return s.reachOf(now, name) != reachAll })
	first := able[:min(readers, len(able))]
	m.isReader = slices.Contains(first, m.self)
	m.readers = slices.DeleteFunc(slices.Clone(first), func(name string) bool { return name == m.self })
}

// freshMembers returns the other live members that were heard of lately.
func (s *State) freshMembers(now time.Time) []peer.Member {
	late := map[string]bool{}
	for _, lag := range s.peer.Lag(now) {
		late[lag.Name()] = lag.Age() > max(beatSlack, beatsMissed*s.peer.BeatInterval())
	}
	var fresh []peer.Member
	for _, one := range s.members.live {
		if one.Name() != s.members.self && !s.members.cut[one.Name()] && !late[one.Name()] {
			fresh = append(fresh, one)
		}
	}
	return fresh
}

// chooseLeader makes the first daemon lead; the conditional write of the record keeps it safe if several think so.
func (s *State) chooseLeader(now time.Time, ranking []string) {
	m := &s.members
	first := ""
	if len(ranking) > 0 {
		first = ranking[0]
	}
	if first != m.first {
		m.first, m.since = first, now
	}
	if first == m.leader || first == m.self && (now.Sub(m.since) < leadStable || !s.listing.known) {
		return
	}
	m.leader = first
	leads := first == m.self
	s.emit(LeaderChanged{leads, first})
	s.toReplica(now, replica.NewLeadershipChanged(leads))
}

// advertise tells the driver which addresses callers are told.
func (s *State) advertise(fresh []peer.Member) {
	var addresses []string
	if s.stopping.IsZero() && s.ready {
		addresses = append(addresses, s.identity.front)
	}
	for _, one := range fresh {
		if !one.Leaving() {
			addresses = append(addresses, one.Caller())
		}
	}
	if !slices.Equal(addresses, s.addresses) {
		s.addresses = addresses
		s.emit(Advertise{addresses})
	}
}

// countSharers tells the dispatch among how many daemons the retry budget is divided: all that lived lately.
func (s *State) countSharers(now time.Time, fresh []peer.Member) {
	m := &s.members
	m.counts[m.self] = now
	for _, one := range fresh {
		m.counts[one.Name()] = now
	}
	for name, at := range m.counts {
		if now.Sub(at) > sharersKept {
			delete(m.counts, name)
		}
	}
	if len(m.counts) != m.sharers {
		m.sharers = len(m.counts)
		s.toDispatch(now, dispatch.NewBudgetPeersChanged(m.sharers))
	}
}
