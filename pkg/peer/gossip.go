package peer

import (
	"maps"
	"math/bits"
	"slices"
	"time"
)

// A beat is passed on to few peers: to more while it is young, to fewer once most peers must have it.
const (
	earlyPushes = 3
	laterPushes = 2
	lastPushes  = 1
)

// News travels to several peers at once, each time to others.
const (
	rumourPushes = 3 // and one more for each doubling of the members
	rumourPeers  = 3
)

// The most that one message of gossip holds.
const (
	maxRumours   = 64
	maxBulkBytes = 512
	maxQueued    = 4096
)

// Soft facts of more than shortFact bytes are bulk. In a fleet of up to smallFleet daemons their origin tells them to all
// others at once. In a larger one it tells them to some peers, which pass them on to few others, and they take up a bounded
// share of each message.
const (
	shortFact   = 96
	smallFleet  = 10
	originBulk  = 8
	forwardBulk = 2
)

// Tries at peers that are not live.
const (
	contactPause = 2 * time.Second
	joinPause    = time.Second
	joinPeers    = 3
)

// rumour is one piece of news that is still to be passed on; exactly one of its sources is set.
type rumour struct {
	left     int
	card     *member
	change   *change
	at       time.Time // when the entry of change was true
	fact     *storedFact
	document string
}

// isAbout reports whether both pieces of news tell the latest of the same thing.
func (r rumour) isAbout(other rumour) bool {
	return r.change == nil && other.change == nil && r.card == other.card && r.fact == other.fact &&
		r.document == other.document
}

// spread queues a piece of news for the next rounds of gossip.
func (s *State) spread(r rumour) {
	if len(s.rumours) >= maxQueued {
		s.counters.overLimit++
		return
	}
	r.left = rumourPushes + bits.Len(uint(len(s.roster)))
	s.rumours = enqueue(s.rumours, r)
}

// spreadBulk queues a soft fact that is too large to go with all other news.
func (s *State) spreadBulk(now time.Time, f *storedFact) {
	own := f.key.origin == s.settings.name
	left := forwardBulk
	if own {
		left = originBulk
	}
	switch {
	case len(s.live) > smallFleet && len(s.bulk) < maxQueued:
		s.bulk = enqueue(s.bulk, rumour{fact: f, left: left})
	case own:
		s.tellAll(now, f)
	}
}

// tellAll sends a soft fact to all live members.
func (s *State) tellAll(now time.Time, f *storedFact) {
	for _, m := range s.live {
		if m != s.self {
			s.send(now, m, Message{facts: []fact{f.wire(now)}})
		}
	}
}

// enqueue appends a piece of news, or begins anew to tell it if it is in the queue.
func enqueue(queue []rumour, r rumour) []rumour {
	for i, queued := range queue {
		if queued.isAbout(r) {
			queue[i].left = r.left
			return queue
		}
	}
	return append(queue, r)
}

// pushes returns to how many peers a beat of that age is passed on. The number of peers that have a beat doubles with
// each tick, and the beat was up to one probe interval old when it was made.
func (s *State) pushes(age time.Duration) int {
	doublings := bits.Len(uint(len(s.roster)))
	ticks := int((age - s.settings.ProbeInterval()) / s.settings.GossipInterval())
	switch {
	case ticks < (doublings+1)/2:
		return earlyPushes
	case ticks < doublings-1:
		return laterPushes
	}
	return lastPushes
}

// gossip passes on what is new: beats to one peer, other news to some more.
func (s *State) gossip(now time.Time) {
	count := 1
	if len(s.rumours) > 0 {
		count = rumourPeers
	}
	peers := s.nextPeers(count)
	if len(peers) == 0 {
		s.rumours, s.bulk = nil, nil
		return
	}
	news := s.takeRumours(now, len(peers))
	for i, peer := range peers {
		m := news
		if i == 0 {
			m.facts = slices.Concat(news.facts, s.takeBulk(now))
			m.beats = s.takeBeats(now)
		}
		s.send(now, peer, m)
	}
}

// takeBulk returns the bulk facts for the next message; those that are to be told again go to the end of the queue.
func (s *State) takeBulk(now time.Time) []fact {
	var facts []fact
	size := 0
	for range s.bulk {
		if size >= maxBulkBytes {
			break
		}
		first := s.bulk[0]
		s.bulk = s.bulk[1:]
		if !now.Before(first.fact.expiry) {
			continue
		}
		facts = append(facts, first.fact.wire(now))
		size += len(first.fact.value)
		if first.left--; first.left > 0 {
			s.bulk = append(s.bulk, first)
		}
	}
	return facts
}

// nextPeers returns the next peers of a random order of all live members.
func (s *State) nextPeers(count int) []*member {
	var peers []*member
	for len(peers) < count && len(peers) < len(s.live)-1 {
		if len(s.cycle) == 0 {
			s.cycle = slices.DeleteFunc(slices.Clone(s.live), func(m *member) bool { return m == s.self })
			s.random.Shuffle(len(s.cycle), func(i, j int) { s.cycle[i], s.cycle[j] = s.cycle[j], s.cycle[i] })
		}
		next := s.cycle[0]
		s.cycle = s.cycle[1:]
		if !slices.Contains(peers, next) {
			peers = append(peers, next)
		}
	}
	return peers
}

// takeBeats returns the beats that are still to be passed on, and counts them as passed on once.
func (s *State) takeBeats(now time.Time) []beat {
	var beats []beat
	for _, m := range s.roster {
		if m.left <= 0 || now.Sub(m.beatAt) > maxBeatAge {
			continue
		}
		m.left--
		beats = append(beats, s.beatOf(now, m))
	}
	return beats
}

func (s *State) beatOf(now time.Time, m *member) beat {
	return beat{
		of: m.of, sequence: uint8(m.sequence), age: now.Sub(m.beatAt),
		version: shortVersion(m.version), revision: uint8(m.revision), codes: m.codes,
	}
}

// shortVersion returns the part of a statement's version that travels with a beat.
func shortVersion(version uint64) uint16 { return uint16(version % (1 << versionBits)) }

// takeRumours returns the news for the next message to count peers.
func (s *State) takeRumours(now time.Time, count int) Message {
	var m Message
	var rest []rumour
	for i, r := range s.rumours {
		if i >= maxRumours {
			rest = append(rest, s.rumours[i:]...)
			break
		}
		s.put(now, &m, r)
		r.left -= count
		if r.left > 0 {
			rest = append(rest, r)
		}
	}
	s.rumours = rest
	return m
}

// put adds one piece of news to a message.
func (s *State) put(now time.Time, m *Message, r rumour) {
	switch {
	case r.card != nil:
		m.cards = append(m.cards, s.cardOf(now, r.card))
	case r.change != nil:
		c := *r.change
		c.entry.age = now.Sub(r.at)
		m.changes = append(m.changes, c)
	case r.fact != nil && now.Before(r.fact.expiry):
		m.facts = append(m.facts, r.fact.wire(now))
	case r.document != "":
		m.revisions = append(m.revisions, revision{r.document, s.documents[r.document].revision})
	}
}

func (s *State) cardOf(now time.Time, m *member) card {
	c := m.card
	c.age = now.Sub(m.beatAt)
	return c
}

// send asks for a message to a member.
func (s *State) send(now time.Time, to *member, m Message) {
	if len(m.beats) == 0 && m.isEmpty() {
		return
	}
	s.sendTo(now, to.name, to.address, m)
}

func (s *State) sendTo(now time.Time, name, address string, m Message) {
	s.number++
	m.from = s.settings.name
	m.incarnation = s.self.incarnation
	m.number = s.number
	m.sent = now.Sub(s.begun)
	m.digest = s.digest()
	m.settled = s.documentsSettled()
	s.emit(Send{name, address, m})
}

// repair asks for what is known to be missed.
func (s *State) repair(now time.Time) {
	asks := map[string]*wants{}
	ask := func(source string) *wants {
		if asks[source] == nil {
			asks[source] = &wants{}
		}
		return asks[source]
	}
	for _, of := range slices.Sorted(maps.Keys(s.unknown)) {
		if w := ask(s.unknown[of]); len(w.cards) < maxRumours {
			w.cards = append(w.cards, of)
			delete(s.unknown, of)
		}
	}
	for _, m := range s.roster {
		if w := m.behindSource; w != "" && !m.behindSince.IsZero() && now.Sub(m.behindSince) >= repairGrace {
			if w := ask(w); len(w.statements) < maxRumours {
				w.statements = append(w.statements, m.of)
				m.behindSince = now
				m.behindSource = ""
			}
		}
	}
	s.sendAsks(now, asks)
	s.askBeats(now)
}

// askBeats asks one random peer for the beats that are overdue, before their evidence ends.
func (s *State) askBeats(now time.Time) {
	limit := s.EvidenceTTL() * overdueNumerator / overdueDenominator
	var w wants
	for _, m := range s.live {
		if m != s.self && now.Sub(m.beatAt) > limit && now.Sub(m.askedAt) >= askAgain {
			m.askedAt = now
			w.beats = append(w.beats, m.of)
		}
	}
	if len(w.beats) == 0 {
		return
	}
	s.counters.repairRequests += uint64(len(w.beats))
	for _, peer := range s.nextPeers(1) {
		s.send(now, peer, Message{wants: w})
	}
}

func (s *State) sendAsks(now time.Time, asks map[string]*wants) {
	for _, m := range s.roster {
		w := asks[m.name]
		if w == nil || m == s.self {
			continue
		}
		s.counters.repairRequests += uint64(len(w.cards) + len(w.statements))
		s.send(now, m, Message{wants: *w})
	}
}

// meet introduces this daemon to some seeds and known members, and asks them for all that they know.
func (s *State) meet(now time.Time) {
	s.contact = now.Add(joinPause)
	addresses := s.strangers()
	for _, address := range addresses[:min(joinPeers, len(addresses))] {
		s.greet(now, address)
	}
}

func (s *State) greet(now time.Time, address string) {
	name := ""
	for _, m := range s.roster {
		if m.address == address {
			name = m.name
		}
	}
	s.sendTo(now, name, address, Message{cards: []card{s.cardOf(now, s.self)}, wants: wants{join: !s.heard}})
}

// strangers returns the addresses of seeds and known members that are not live, in a random order.
func (s *State) strangers() []string {
	reached := map[string]bool{s.settings.address: true, "": true}
	for _, m := range s.live {
		reached[m.address] = true
	}
	var addresses []string
	add := func(address string) {
		if !reached[address] {
			reached[address] = true
			addresses = append(addresses, address)
		}
	}
	for _, address := range s.settings.seeds {
		add(address)
	}
	for _, m := range s.roster {
		add(m.address)
	}
	s.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses
}

// meetLost tries now and then one peer that is not live, so that parted fleets find each other again.
func (s *State) meetLost(now time.Time) {
	if now.Before(s.contact) {
		return
	}
	if !s.heard {
		s.meet(now)
		return
	}
	s.contact = now.Add(contactPause)
	if addresses := s.strangers(); len(addresses) > 0 {
		s.greet(now, addresses[0])
	}
}
