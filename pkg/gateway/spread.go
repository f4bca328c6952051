package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/azurepond/azurepond/pkg/peer"
	"github.com/azurepond/azurepond/pkg/replica"
)

// A few daemons read the platform's list of upstreams and tell the others what changes, since each call to the store is
// paid for. A daemon that hears of no reader reads the list itself.

// readers is how many daemons read the list: one of them may be lost while another one starts.
const readers = 3

// The times of letters about the list.
const (
	askPeriod   = 400 * time.Millisecond  // an upstream that leaves gets no new work after two seconds
	askedKept   = 3 * time.Second         // a reader forgets who has not asked for so long
	sourceLost  = 1200 * time.Millisecond // two answers may be lost
	tellPeriod  = 75 * time.Millisecond   // changes come in bursts; a repair takes some two seconds
	switchPause = 500 * time.Millisecond  // before another reader is asked
)

// spread is what a daemon remembers of telling and of being told.
type spread struct {
	follows bool // this daemon reads the list itself
	start   uint64
	number  uint64               // of the last change told
	askers  map[string]time.Time // when they asked last
	changed map[replica.ID]bool  // not told yet
	gone    map[replica.ID]bool
	told    time.Time

	source  string // the reader that is asked
	theirs  uint64 // its start
	held    uint64 // the number of its last change that is held
	heard   time.Time
	asked   time.Time
	settled bool // the whole list came from the source
}

func newSpread(now time.Time) spread {
	return spread{
		start: uint64(now.UnixNano()), askers: map[string]time.Time{},
		changed: map[replica.ID]bool{}, gone: map[replica.ID]bool{},
	}
}

// note remembers what changed until it is told.
func (p *spread) note(changed []Upstream, gone []replica.ID) {
	for _, u := range changed {
		p.changed[u.instance.ID()] = true
		delete(p.gone, u.instance.ID())
	}
	for _, id := range gone {
		p.gone[id] = true
		delete(p.changed, id)
	}
}

// refreshSpread decides whether this daemon reads the list itself, asks its reader and tells those that asked.
func (s *State) refreshSpread(now time.Time) {
	s.follow(s.members.isReader || s.members.out || !s.isTold(now))
	s.watchConfig(now)
	if !s.members.isReader {
		s.ask(now)
	}
	s.tellChanges(now)
}

// smallFleet is up to how many daemons each of them watches the configuration in the store itself.
const smallFleet = 10 // in a larger one the calls of idle watches cost more than a few readers that pass it on

// watchConfig decides whether this daemon watches the configuration itself, or is told by its reader.
func (s *State) watchConfig(now time.Time) {
	on := s.members.sharers <= smallFleet || s.members.isReader || !s.isTold(now)
	s.toPeer(now, peer.NewWatching(on))
}

// pushConfig sends the configuration to those that asked lately, once it is in force here.
func (s *State) pushConfig(now time.Time) {
	if !s.spread.follows || s.members.sharers <= smallFleet {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(s.spread.askers)) {
		s.toPeer(now, peer.NewPush(name, configDocument))
	}
}

// isTold reports whether a reader tells this daemon what changes.
func (s *State) isTold(now time.Time) bool {
	return s.spread.settled && now.Sub(s.spread.heard) <= sourceLost
}

// follow begins or ends reading the list.
func (s *State) follow(on bool) {
	if s.spread.follows != on {
		s.spread.follows = on
		s.emit(WatchUpstreams{on})
	}
}

// ask tells the reader of this daemon what is held; another reader is taken if it does not answer.
func (s *State) ask(now time.Time) {
	p := &s.spread
	if len(s.members.readers) == 0 || now.Sub(p.asked) < askPeriod {
		return
	}
	isLost := now.Sub(p.heard) > sourceLost
	if !slices.Contains(s.members.readers, p.source) || isLost && now.Sub(p.asked) >= switchPause {
		p.source = s.members.readers[s.random.IntN(len(s.members.readers))]
		p.theirs, p.held, p.settled = 0, 0, false
	}
	p.asked = now
	s.tell(now, p.source, letter{question: true, start: p.theirs, to: p.held})
}

func (s *State) tell(now time.Time, name string, l letter) {
	data, err := l.encode()
	if err != nil {
		s.emit(Problem{"letter not encoded", err.Error()})
		return
	}
	s.toPeer(now, peer.NewTell(name, listTopic, data))
}

// takeLetter takes in what another daemon tells of the list.
func (s *State) takeLetter(now time.Time, told peer.Told) {
	l, err := decodeLetter(told.Data())
	if err != nil {
		s.emit(Problem{"letter of " + told.From() + " not read", err.Error()})
		return
	}
	if l.question {
		s.answerAsker(now, told.From(), l)
		return
	}
	if told.From() == s.spread.source {
		s.takeNews(now, l)
	}
}

// answerAsker tells a daemon the whole list unless it holds all that was told.
func (s *State) answerAsker(now time.Time, name string, l letter) {
	p := &s.spread
	if !s.listing.known || !p.follows {
		return
	}
	p.askers[name] = now
	answer := letter{start: p.start, from: p.number, to: p.number, broken: s.listing.broken || s.members.out}
	if l.start != p.start || l.to != p.number {
		answer.whole = true
		for _, id := range slices.Sorted(maps.Keys(s.listing.entries)) {
			answer.changed = append(answer.changed, s.listing.entries[id])
		}
	}
	s.tell(now, name, answer)
}

// takeNews takes over what the reader tells; if something was missed, the whole list is asked for.
func (s *State) takeNews(now time.Time, l letter) {
	p := &s.spread
	if !l.whole && (l.start != p.theirs || l.from != p.held) {
		p.asked = now
		s.tell(now, p.source, letter{question: true})
		return
	}
	p.heard, p.theirs, p.held, p.settled = now, l.start, l.to, true
	if p.follows && !s.members.out && !l.whole {
		return // the list is still read here
	}
	if l.broken {
		s.listing.broken = true
		return
	}
	changed, gone := s.listing.take(now, Listed{l.changed, l.gone, l.whole}, otherTime)
	s.relist(now, changed, gone)
	s.refreshReady()
}

// tellChanges tells those that asked lately what changed.
func (s *State) tellChanges(now time.Time) {
	p := &s.spread
	if !p.follows || len(p.changed)+len(p.gone) == 0 || now.Sub(p.told) < tellPeriod {
		return
	}
	p.told = now
	p.number++
	news := letter{start: p.start, from: p.number - 1, to: p.number, gone: slices.Sorted(maps.Keys(p.gone))}
	for _, id := range slices.Sorted(maps.Keys(p.changed)) {
		news.changed = append(news.changed, s.listing.entries[id])
	}
	clear(p.changed)
	clear(p.gone)
	for _, name := range slices.Sorted(maps.Keys(p.askers)) {
		if now.Sub(p.askers[name]) > askedKept {
			delete(p.askers, name)
			continue
		}
		s.tell(now, name, news)
	}
}
