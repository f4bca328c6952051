package peer

import (
	"maps"
	"math/bits"
	"slices"
	"time"
)

// A heartbeat is forwarded to more peers while it is young, and to fewer once most peers should have it.
const (
	earlyPushes = 3
	laterPushes = 2
	lastPushes  = 1
)

// All other updates are sent to several peers in each round, to other ones each time.
const (
	updatePushes = 3 // plus one for each doubling of the members
	updatePeers  = 3
)

// The limits of one gossip message, and of each queue of updates.
const (
	maxMessageUpdates   = 64
	maxMessageBulkBytes = 512
	maxQueuedUpdates    = 4096
)

// Facts of more than maxShortFactBytes are bulk. Among up to maxBroadcastMembers daemons their origin sends them to all
// others at once. Among more it sends them to some peers, which forward them to a few others, and they use a bounded part
// of each message.
const (
	maxShortFactBytes   = 96
	maxBroadcastMembers = 10
	originBulkPushes    = 8
	forwardBulkPushes   = 2
)

// Until a first peer has answered, a daemon contacts up to maxJoinPeers peers in each joinInterval. After that, it contacts
// one peer that is not live in each contactInterval.
const (
	contactInterval = 2 * time.Second
	joinInterval    = time.Second
	maxJoinPeers    = 3
)

// update is queued for gossip. Exactly one of member, change, fact and document is set.
type update struct {
	pushesLeft int
	member     *member
	change     *reportChange
	seenAt     time.Time // when the entry of change was observed
	fact       *storedFact
	document   string
}

// sameSubject reports whether both updates send the latest state of the same thing.
func (u update) sameSubject(other update) bool {
	return u.change == nil && other.change == nil && u.member == other.member && u.fact == other.fact &&
		u.document == other.document
}

// queueUpdate queues an update for the next rounds of gossip.
func (s *State) queueUpdate(u update) {
	if len(s.updates) >= maxQueuedUpdates {
		s.counters.overLimit++
		return
	}
	u.pushesLeft = updatePushes + bits.Len(uint(len(s.allMembers)))
	s.updates = enqueue(s.updates, u)
}

// queueBulkFact queues a bulk fact. If there are few daemons or the queue is full, it instead sends a fact of this daemon to
// all peers, and does not forward a fact of another.
func (s *State) queueBulkFact(now time.Time, f *storedFact) {
	isOwn := f.key.origin == s.settings.name
	pushes := forwardBulkPushes
	if isOwn {
		pushes = originBulkPushes
	}
	switch {
	case len(s.live) > maxBroadcastMembers && len(s.bulkUpdates) < maxQueuedUpdates:
		s.bulkUpdates = enqueue(s.bulkUpdates, update{fact: f, pushesLeft: pushes})
	case isOwn:
		s.broadcastFact(now, f)
	}
}

func (s *State) broadcastFact(now time.Time, f *storedFact) {
	for _, m := range s.live {
		if m != s.self {
			s.sendToMember(now, m, Message{facts: []fact{f.toWire(now)}})
		}
	}
}

// enqueue appends an update, or resets its number of pushes if it is in the queue.
func enqueue(queue []update, u update) []update {
	for i, queued := range queue {
		if queued.sameSubject(u) {
			queue[i].pushesLeft = u.pushesLeft
			return queue
		}
	}
	return append(queue, u)
}

// heartbeatPushes returns to how many peers a heartbeat of that age is forwarded. The number of peers that have it doubles
// with each gossip interval, and it was up to one probe interval old when it was made.
func (s *State) heartbeatPushes(age time.Duration) int {
	doublings := bits.Len(uint(len(s.allMembers)))
	rounds := int((age - s.settings.ProbeInterval()) / s.settings.GossipInterval())
	switch {
	case rounds < (doublings+1)/2:
		return earlyPushes
	case rounds < doublings-1:
		return laterPushes
	}
	return lastPushes
}

// gossip sends heartbeats and bulk facts to one peer, and all other updates to updatePeers peers.
func (s *State) gossip(now time.Time) {
	count := 1
	if len(s.updates) > 0 {
		count = updatePeers
	}
	peers := s.nextGossipPeers(count)
	if len(peers) == 0 {
		s.updates, s.bulkUpdates = nil, nil
		return
	}
	updates := s.dequeueUpdates(now, len(peers))
	for i, peer := range peers {
		m := updates
		if i == 0 {
			m.facts = slices.Concat(updates.facts, s.dequeueBulkFacts(now))
			m.heartbeats = s.heartbeatsToSend(now)
		}
		s.sendToMember(now, peer, m)
	}
}

// dequeueBulkFacts returns the bulk facts for the next message. Those with pushes left return to the end of the queue.
func (s *State) dequeueBulkFacts(now time.Time) []fact {
	var facts []fact
	size := 0
	for range s.bulkUpdates {
		if size >= maxMessageBulkBytes {
			break
		}
		first := s.bulkUpdates[0]
		s.bulkUpdates = s.bulkUpdates[1:]
		if !now.Before(first.fact.expiresAt) {
			continue
		}
		facts = append(facts, first.fact.toWire(now))
		size += len(first.fact.value)
		if first.pushesLeft--; first.pushesLeft > 0 {
			s.bulkUpdates = append(s.bulkUpdates, first)
		}
	}
	return facts
}

// nextGossipPeers returns the next peers in a random order of all live members.
func (s *State) nextGossipPeers(count int) []*member {
	var peers []*member
	for len(peers) < count && len(peers) < len(s.live)-1 {
		if len(s.gossipOrder) == 0 {
			s.gossipOrder = slices.DeleteFunc(slices.Clone(s.live), func(m *member) bool { return m == s.self })
			s.random.Shuffle(len(s.gossipOrder), func(i, j int) {
				s.gossipOrder[i], s.gossipOrder[j] = s.gossipOrder[j], s.gossipOrder[i]
			})
		}
		next := s.gossipOrder[0]
		s.gossipOrder = s.gossipOrder[1:]
		if !slices.Contains(peers, next) {
			peers = append(peers, next)
		}
	}
	return peers
}

// heartbeatsToSend returns the heartbeats that have pushes left, and counts one push of each.
func (s *State) heartbeatsToSend(now time.Time) []heartbeat {
	var heartbeats []heartbeat
	for _, m := range s.allMembers {
		if m.pushesLeft <= 0 || now.Sub(m.heartbeatAt) > maxHeartbeatAge {
			continue
		}
		m.pushesLeft--
		heartbeats = append(heartbeats, s.heartbeatOf(now, m))
	}
	return heartbeats
}

func (s *State) heartbeatOf(now time.Time, m *member) heartbeat {
	return heartbeat{
		member: m.handle, sequence: uint8(m.sequence), age: now.Sub(m.heartbeatAt),
		reportVersion: truncateVersion(m.reportVersion), revision: uint8(m.revision), loadCodes: m.loadCodes,
	}
}

// truncateVersion returns the bits of a report's version that are sent with a heartbeat.
func truncateVersion(version uint64) uint16 { return uint16(version % (1 << versionBits)) }

// dequeueUpdates returns a message with the next updates, and counts it as pushed to count peers.
func (s *State) dequeueUpdates(now time.Time, count int) Message {
	var m Message
	var rest []update
	for i, u := range s.updates {
		if i >= maxMessageUpdates {
			rest = append(rest, s.updates[i:]...)
			break
		}
		s.appendUpdate(now, &m, u)
		u.pushesLeft -= count
		if u.pushesLeft > 0 {
			rest = append(rest, u)
		}
	}
	s.updates = rest
	return m
}

// appendUpdate adds an update to a message.
func (s *State) appendUpdate(now time.Time, m *Message, u update) {
	switch {
	case u.member != nil:
		m.members = append(m.members, s.memberInfoOf(now, u.member))
	case u.change != nil:
		c := *u.change
		c.entry.age = now.Sub(u.seenAt)
		m.reportChanges = append(m.reportChanges, c)
	case u.fact != nil && now.Before(u.fact.expiresAt):
		m.facts = append(m.facts, u.fact.toWire(now))
	case u.document != "":
		m.revisions = append(m.revisions, documentRevision{u.document, s.documents[u.document].revision})
	}
}

func (s *State) memberInfoOf(now time.Time, m *member) memberInfo {
	info := m.memberInfo
	info.age = now.Sub(m.heartbeatAt)
	return info
}

// sendToMember sends a message to a member unless it is empty.
func (s *State) sendToMember(now time.Time, to *member, m Message) {
	if len(m.heartbeats) == 0 && m.isEmpty() {
		return
	}
	s.send(now, to.name, to.address, m)
}

func (s *State) send(now time.Time, name, address string, m Message) {
	s.lastMessageNumber++
	m.from = s.settings.name
	m.incarnation = s.self.incarnation
	m.number = s.lastMessageNumber
	m.senderUptime = now.Sub(s.startedAt)
	m.digest = s.digest()
	m.synced = s.documentsSynced()
	s.emit(Send{name, address, m})
}

// requestMissing requests missing descriptions of members, reports and heartbeats.
func (s *State) requestMissing(now time.Time) {
	requests := map[string]*peerRequest{}
	requestTo := func(source string) *peerRequest {
		if requests[source] == nil {
			requests[source] = &peerRequest{}
		}
		return requests[source]
	}
	for _, memberHandle := range slices.Sorted(maps.Keys(s.unknownHandles)) {
		if r := requestTo(s.unknownHandles[memberHandle]); len(r.members) < maxMessageUpdates {
			r.members = append(r.members, memberHandle)
			delete(s.unknownHandles, memberHandle)
		}
	}
	for _, m := range s.allMembers {
		if source := m.repairSource; source != "" && !m.missedSince.IsZero() && now.Sub(m.missedSince) >= repairGrace {
			if r := requestTo(source); len(r.reports) < maxMessageUpdates {
				r.reports = append(r.reports, m.handle)
				m.missedSince = now
				m.repairSource = ""
			}
		}
	}
	s.sendRequests(now, requests)
	s.requestOverdueHeartbeats(now)
}

// requestOverdueHeartbeats requests overdue heartbeats from one random peer before their evidence expires.
func (s *State) requestOverdueHeartbeats(now time.Time) {
	maxAge := s.EvidenceTTL() * overdueNumerator / overdueDenominator
	var r peerRequest
	for _, m := range s.live {
		if m != s.self && now.Sub(m.heartbeatAt) > maxAge && now.Sub(m.requestedAt) >= requestRetryInterval {
			m.requestedAt = now
			r.heartbeats = append(r.heartbeats, m.handle)
		}
	}
	if len(r.heartbeats) == 0 {
		return
	}
	s.counters.repairRequests += uint64(len(r.heartbeats))
	for _, peer := range s.nextGossipPeers(1) {
		s.sendToMember(now, peer, Message{request: r})
	}
}

func (s *State) sendRequests(now time.Time, requests map[string]*peerRequest) {
	for _, m := range s.allMembers {
		r := requests[m.name]
		if r == nil || m == s.self {
			continue
		}
		s.counters.repairRequests += uint64(len(r.members) + len(r.reports))
		s.sendToMember(now, m, Message{request: *r})
	}
}

// contactPeers introduces this daemon to some seeds and known members that are not live, and requests their full state.
func (s *State) contactPeers(now time.Time) {
	s.nextContact = now.Add(joinInterval)
	addresses := s.unreachedAddresses()
	for _, address := range addresses[:min(maxJoinPeers, len(addresses))] {
		s.introduceTo(now, address)
	}
}

func (s *State) introduceTo(now time.Time, address string) {
	name := ""
	for _, m := range s.allMembers {
		if m.address == address {
			name = m.name
		}
	}
	s.send(now, name, address, Message{
		members: []memberInfo{s.memberInfoOf(now, s.self)}, request: peerRequest{join: !s.receivedFromPeer},
	})
}

// unreachedAddresses returns the addresses of seeds and known members that are not live, in random order.
func (s *State) unreachedAddresses() []string {
	skip := map[string]bool{s.settings.address: true, "": true}
	for _, m := range s.live {
		skip[m.address] = true
	}
	var addresses []string
	add := func(address string) {
		if !skip[address] {
			skip[address] = true
			addresses = append(addresses, address)
		}
	}
	for _, address := range s.settings.seeds {
		add(address)
	}
	for _, m := range s.allMembers {
		add(m.address)
	}
	s.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses
}

// contactLostPeer periodically contacts one peer that is not live, so that partitions merge again after they heal.
func (s *State) contactLostPeer(now time.Time) {
	if now.Before(s.nextContact) {
		return
	}
	if !s.receivedFromPeer {
		s.contactPeers(now)
		return
	}
	s.nextContact = now.Add(contactInterval)
	if addresses := s.unreachedAddresses(); len(addresses) > 0 {
		s.introduceTo(now, addresses[0])
	}
}
