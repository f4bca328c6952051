package gateway

import (
	"slices"
	"time"

	"github.com/azurepond/azurepond/pkg/dispatch"
	"github.com/azurepond/azurepond/pkg/peer"
	"github.com/azurepond/azurepond/pkg/replica"
)

// The topics of soft facts among the daemons.
const (
	storeTopic = "store" // the origin reaches the store
	deadTopic  = "dead"  // an instance does not answer the origin
)

// The times of soft facts and of the choice of a leader.
const (
	storeFact   = 2500 * time.Millisecond // two of three tellings may be lost
	storeTell   = 800 * time.Millisecond
	deadFact    = 5 * time.Second         // the list names a dead instance for three heartbeats
	beatSlack   = 2500 * time.Millisecond // a beat passes one daemon in each gossip interval
	leadAfter   = 1500 * time.Millisecond // peers meet within a second of their start
	sharersKept = 15 * time.Second        // one and a half windows of the retry budget
)

// members are the other daemons as far as they matter for leading and for the addresses that callers are told.
type members struct {
	self    string
	began   time.Time
	live    []peer.Member
	cut     map[string]bool      // the link broke and nothing came since
	store   map[string]time.Time // until when a peer is known to reach the store
	told    time.Time
	checked time.Time
	leader  string
	counts  map[string]time.Time // when a member was last live
	sharers int
}

func newMembers(now time.Time, self string) members {
	return members{
		self: self, began: now, cut: map[string]bool{}, store: map[string]time.Time{}, counts: map[string]time.Time{},
	}
}

// refreshMembers tells peers whether the store is within reach, and finds out who leads and who takes callers.
func (s *State) refreshMembers(now time.Time) {
	m := &s.members
	if now.Sub(m.checked) < memberPeriod {
		return
	}
	m.checked = now
	if s.reachesStore() && now.Sub(m.told) >= storeTell {
		m.told = now
		s.toPeer(now, peer.NewShared(storeTopic, "", []byte{1}, now.Add(storeFact)))
	}
	fresh := s.freshMembers(now)
	s.chooseLeader(now, fresh)
	s.advertise(fresh)
	s.countSharers(now, fresh)
}

func (s *State) reachesStore() bool { return s.listing.known && !s.listing.broken }

// freshMembers returns the other live members that were heard of lately.
func (s *State) freshMembers(now time.Time) []peer.Member {
	late := map[string]bool{}
	for _, lag := range s.peer.Lag(now) {
		late[lag.Name()] = lag.Age() > beatSlack
	}
	var fresh []peer.Member
	for _, one := range s.members.live {
		if one.Name() != s.members.self && !s.members.cut[one.Name()] && !late[one.Name()] {
			fresh = append(fresh, one)
		}
	}
	return fresh
}

// chooseLeader makes the first daemon by name lead that reaches the store; the conditional write of the record keeps it
// safe if several think so.
func (s *State) chooseLeader(now time.Time, fresh []peer.Member) {
	leader := ""
	if s.reachesStore() && s.stopping.IsZero() && now.Sub(s.members.began) >= leadAfter {
		leader = s.members.self
	}
	for _, one := range fresh {
		if one.Leaving() || !now.Before(s.members.store[one.Name()]) {
			continue
		}
		if leader == "" || one.Name() < leader {
			leader = one.Name()
		}
	}
	if leader == s.members.leader {
		return
	}
	s.members.leader = leader
	leads := leader == s.members.self
	s.emit(Led{leads, leader})
	s.toReplica(now, replica.NewLed(leads))
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
		s.toDispatch(now, dispatch.NewPeers(m.sharers))
	}
}

// weigh tells the leader's plan how much work comes for each model.
func (s *State) weigh(now time.Time) {
	passed := now.Sub(s.weighed)
	s.weighed = now
	demand := s.dispatch.Demand()
	if len(demand) == 0 || passed > 2*demandPeriod {
		return
	}
	for model := range demand {
		demand[model] *= float64(s.members.sharers) / passed.Seconds()
	}
	s.toReplica(now, replica.NewDemanded(demand))
}
