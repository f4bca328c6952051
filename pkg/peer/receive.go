package peer

import (
	"slices"
	"time"
)

// lateAfter is the time that a message may be held up on its way without being counted as late.
const lateAfter = time.Second

// drift is how much two clocks may come apart in a second, for the estimate of how long a message was on its way.
const drift = 500 * time.Microsecond

// window is the number of message numbers below the highest one that may still come, out of order.
const window = 64

// link is what is known of the open link to one peer.
type link struct {
	address     string
	incarnation uint64
	highest     uint64
	seen        uint64 // bit i: number highest-i came
	openedAt    time.Time
	based       bool
	base        time.Duration // difference of the two clocks, as far as what came tells
	basedAt     time.Time
}

// open notes that there is a link to a peer, and greets the peer, so that it can tell from now on how long messages
// are on their way.
func (s *State) open(now time.Time, e LinkOpened) {
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
	if m := s.members[s.names[e.name]]; m == nil || !s.isLive(m) {
		greeting = s.introduction(now)
	}
	s.sendTo(now, e.name, e.address, greeting)
}

// introduction tells a peer that was out of reach who this daemon is, who is alive and which documents are in force.
func (s *State) introduction(now time.Time) Message {
	m := Message{cards: []card{s.cardOf(now, s.self)}, wants: wants{join: !s.heard}}
	for _, other := range s.live {
		if other != s.self && now.Sub(other.beatAt) <= maxBeatAge {
			m.beats = append(m.beats, s.beatOf(now, other))
		}
	}
	m.revisions = s.revisions()
	return m
}

// take reports whether a message with that number from that start of the peer may be read: it is not a repeat.
func (l *link) take(incarnation, number uint64) bool {
	if incarnation < l.incarnation {
		return false
	}
	if incarnation > l.incarnation {
		l.incarnation, l.highest, l.seen, l.based = incarnation, 0, 0, false
	}
	if number > l.highest {
		l.seen = l.seen<<min(window, number-l.highest) | 1
		l.highest = number
		return true
	}
	back := l.highest - number
	if back >= window || l.seen&(1<<back) != 0 {
		return false
	}
	l.seen |= 1 << back
	return true
}

// delay returns how long a message was on its way at most. The first one can't be older than its link; later ones are
// compared with the fastest so far.
func (l *link) delay(now time.Time, arrived, sent time.Duration) time.Duration {
	offset := arrived - sent
	if age := now.Sub(l.openedAt); !l.based && age <= frozenGap {
		l.based, l.base, l.basedAt = true, offset-age, now
	}
	if l.based {
		l.base += time.Duration(now.Sub(l.basedAt).Seconds() * float64(drift))
	}
	l.basedAt = now
	if !l.based || offset < l.base {
		l.based, l.base = true, offset
	}
	return offset - l.base
}

// receive takes all that a message says, and answers what it asks.
func (s *State) receive(now time.Time, e Received) {
	m := e.message
	l := s.links[e.from]
	if l == nil || m.from != e.from {
		s.counters.wrongSender++
		return
	}
	if !l.take(m.incarnation, m.number) {
		s.counters.replayed++
		return
	}
	delay := l.delay(now, now.Sub(s.begun), m.sent)
	if delay > lateAfter {
		s.counters.late++
	}
	s.heard = true
	s.takeNews(now, delay, m)
	s.takeDocuments(now, m)
	s.answer(now, l, m)
}

func (s *State) takeNews(now time.Time, delay time.Duration, m Message) {
	for _, c := range m.cards {
		s.acceptCard(now, delay, c)
	}
	for _, c := range m.changes {
		s.acceptChange(now, delay, c, m.from)
	}
	for _, st := range m.statements {
		s.acceptStatement(now, delay, st)
	}
	for _, b := range m.beats {
		s.acceptBeat(now, delay, b, m.from)
	}
	for _, f := range m.facts {
		s.acceptFact(now, delay, f)
	}
	for _, l := range m.letters {
		s.emit(DeliverDirectMessage{m.from, l.topic, l.data})
	}
}

// answer sends what the peer asked for, and the revisions held here when the peer holds others.
func (s *State) answer(now time.Time, l *link, m Message) {
	reply := s.granted(now, m.wants)
	if m.digest != s.digest() && len(m.revisions) == 0 || m.wants.join {
		reply.revisions = s.revisions()
	}
	reply.revisions = append(reply.revisions, s.newer(m)...)
	reply.wants.documents = s.wanted(now, m)
	if reply.isEmpty() {
		return
	}
	s.sendTo(now, m.from, l.address, reply)
}

// granted returns what a peer asked for, as far as it is held here.
func (s *State) granted(now time.Time, w wants) Message {
	var reply Message
	if w.join {
		for _, m := range s.live {
			reply.cards = append(reply.cards, s.cardOf(now, m))
		}
		reply.facts = s.allFacts(now)
	}
	for _, of := range w.cards {
		if m := s.members[of]; m != nil && s.fresh(now, m.beatAt) {
			reply.cards = append(reply.cards, s.cardOf(now, m))
		}
	}
	for _, of := range w.beats {
		if m := s.members[of]; m != nil && now.Sub(m.beatAt) <= maxBeatAge {
			reply.beats = append(reply.beats, s.beatOf(now, m))
		}
	}
	for _, of := range w.statements {
		if m := s.members[of]; m != nil && m.statement > 0 && s.fresh(now, m.beatAt) {
			reply.statements = append(reply.statements, m.wire(now))
		}
	}
	for _, name := range w.documents {
		d, held := s.documents[name]
		if held && !slices.ContainsFunc(reply.documents, func(other Document) bool { return other.name == name }) {
			reply.documents = append(reply.documents, d)
		}
	}
	return reply
}
