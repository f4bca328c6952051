package peer

import (
	"slices"
	"time"
)

// lateThreshold is the transit delay above which a message counts as late.
const lateThreshold = time.Second

// maxClockDrift is the largest drift between two clocks per second that the estimate of the transit delay allows for.
const maxClockDrift = 500 * time.Microsecond

// replayWindow is the number of message numbers below the highest one that may still arrive out of order.
const replayWindow = 64

// link is the state of the open link to one peer.
type link struct {
	address       string
	incarnation   uint64
	highestNumber uint64
	seenBits      uint64 // bit i: message highestNumber-i arrived
	openedAt      time.Time
	acceptedAt    time.Time     // when a message was last accepted
	hasOffset     bool          // minOffset is set
	minOffset     time.Duration // smallest difference of the two clocks seen so far
	offsetAt      time.Time     // when minOffset was last updated
}

// linkOpened records a link to a peer and sends a first message, from which the peer estimates the transit delay of all
// later ones.
func (s *State) linkOpened(now time.Time, e LinkOpened) {
	if e.name == "" || e.name == s.settings.name || len(s.links) >= maxMembers {
		return
	}
	l := s.links[e.name]
	if l == nil {
		l = &link{}
		s.links[e.name] = l
	}
	l.address = e.address
	l.openedAt = now
	greeting := Message{}
	if m := s.members[s.handleByName[e.name]]; m == nil || !s.isLive(m) {
		greeting = s.introduction(now)
	}
	s.send(now, e.name, e.address, greeting)
}

// introduction returns the message to a peer that was not live: this daemon, the live members and the documents in force.
func (s *State) introduction(now time.Time) Message {
	m := Message{members: []memberInfo{s.memberInfoOf(now, s.self)}, request: peerRequest{join: !s.receivedFromPeer}}
	for _, other := range s.live {
		if other != s.self && now.Sub(other.heartbeatAt) <= maxHeartbeatAge {
			m.heartbeats = append(m.heartbeats, s.heartbeatOf(now, other))
		}
	}
	m.revisions = s.revisions()
	return m
}

// accept records the number of a message and reports whether the message is new. A lower incarnation than before is accepted only over a
// connection that was opened later: the peer's clock was set back before it started again.
func (l *link) accept(now time.Time, incarnation, number uint64) bool {
	if incarnation < l.incarnation && !l.openedAt.After(l.acceptedAt) {
		return false
	}
	l.acceptedAt = now
	if incarnation != l.incarnation {
		l.incarnation, l.highestNumber, l.seenBits, l.hasOffset = incarnation, 0, 0, false
	}
	if number > l.highestNumber {
		l.seenBits = l.seenBits<<min(replayWindow, number-l.highestNumber) | 1
		l.highestNumber = number
		return true
	}
	distance := l.highestNumber - number
	if distance >= replayWindow || l.seenBits&(1<<distance) != 0 {
		return false
	}
	l.seenBits |= 1 << distance
	return true
}

// delay returns an upper bound of the transit delay of a message. The first message can't be older than its link. Later
// ones are compared with the fastest so far.
func (l *link) delay(now time.Time, arrived, sent time.Duration) time.Duration {
	offset := arrived - sent
	if age := now.Sub(l.openedAt); !l.hasOffset && age <= freezeThreshold {
		l.hasOffset, l.minOffset, l.offsetAt = true, offset-age, now
	}
	if l.hasOffset {
		l.minOffset += time.Duration(now.Sub(l.offsetAt).Seconds() * float64(maxClockDrift))
	}
	l.offsetAt = now
	if !l.hasOffset || offset < l.minOffset {
		l.hasOffset, l.minOffset = true, offset
	}
	return offset - l.minOffset
}

// receive applies a message and sends what it requests.
func (s *State) receive(now time.Time, e Received) {
	m := e.message
	l := s.links[e.from]
	if l == nil || m.from != e.from {
		s.counters.wrongSender++
		return
	}
	if !l.accept(now, m.incarnation, m.number) {
		s.counters.replayed++
		return
	}
	delay := l.delay(now, now.Sub(s.startedAt), m.senderUptime)
	if delay > lateThreshold {
		s.counters.late++
	}
	s.receivedFromPeer = true
	s.applyUpdates(now, delay, m)
	s.acceptDocuments(now, m)
	s.reply(now, l, m)
}

func (s *State) applyUpdates(now time.Time, delay time.Duration, m Message) {
	for _, info := range m.members {
		s.acceptMemberInfo(now, delay, info, info.name == m.from && info.incarnation == m.incarnation)
	}
	for _, c := range m.reportChanges {
		s.acceptChange(now, delay, c, m.from)
	}
	for _, r := range m.reports {
		s.acceptReport(now, delay, r)
	}
	for _, h := range m.heartbeats {
		s.acceptHeartbeat(now, delay, h, m.from)
	}
	for _, f := range m.facts {
		s.acceptFact(now, delay, f)
	}
	for _, d := range m.directMessages {
		s.emit(DeliverDirectMessage{m.from, d.topic, d.data})
	}
}

// reply sends what the peer requested, and the revisions in force here if the peer has other ones.
func (s *State) reply(now time.Time, l *link, m Message) {
	reply := s.buildReply(now, m.request)
	if m.digest != s.digest() && len(m.revisions) == 0 || m.request.join {
		reply.revisions = s.revisions()
	}
	reply.revisions = append(reply.revisions, s.newerRevisions(m)...)
	reply.request.documents = s.missingDocuments(now, m)
	if reply.isEmpty() {
		return
	}
	s.send(now, m.from, l.address, reply)
}

// buildReply returns the part of a request that this daemon can serve.
func (s *State) buildReply(now time.Time, r peerRequest) Message {
	var reply Message
	if r.join {
		for _, m := range s.live {
			reply.members = append(reply.members, s.memberInfoOf(now, m))
		}
		reply.facts = s.allFacts(now)
	}
	for _, memberHandle := range r.members {
		if m := s.members[memberHandle]; m != nil && s.isFresh(now, m.heartbeatAt) {
			reply.members = append(reply.members, s.memberInfoOf(now, m))
		}
	}
	for _, memberHandle := range r.heartbeats {
		if m := s.members[memberHandle]; m != nil && now.Sub(m.heartbeatAt) <= maxHeartbeatAge {
			reply.heartbeats = append(reply.heartbeats, s.heartbeatOf(now, m))
		}
	}
	for _, memberHandle := range r.reports {
		if m := s.members[memberHandle]; m != nil && m.storedReportVersion > 0 && s.isFresh(now, m.heartbeatAt) {
			reply.reports = append(reply.reports, m.toWire(now))
		}
	}
	for _, name := range r.documents {
		d, found := s.documents[name]
		if found && !slices.ContainsFunc(reply.documents, func(other Document) bool { return other.name == name }) {
			reply.documents = append(reply.documents, d)
		}
	}
	return reply
}
