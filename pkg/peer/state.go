package peer

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/azurepond/azurepond/pkg/object"
)

// frozenGap is the time between two events from which on the daemon counts as having stood still.
const frozenGap = 3 * time.Second

// State is all that one daemon knows of its peers, of the upstreams and of the documents; the zero value waits for
// Configured.
type State struct {
	settings   Settings
	configured bool
	random     *rand.Rand
	begun      time.Time // when the settings came
	awake      time.Time // start of the present stretch without standing still
	last       time.Time // time of the last event
	number     uint64
	effects    []Effect

	self    *member
	members map[handle]*member
	names   map[string]handle
	roster  []*member // all known members, by name
	live    []*member // those with fresh evidence of life, by name, this daemon among them
	unknown map[handle]string
	links   map[string]*link
	heard   bool // a peer spoke since awake

	cycle   []*member // peers still to be gossiped to in this round
	rumours []rumour
	bulk    []rumour
	contact time.Time // next try at peers that are not live
	nextRun time.Time // next gossip
	beatDue time.Time

	upstreams  map[string]*upstream
	listed     []*upstream
	rewatch    bool // who watches what is to be worked out again
	redescribe bool // a live member told something new of itself

	documents map[string]Document
	follows   []*follow
	requests  map[object.Ref]*follow
	unwatched bool // documents are not to be watched in the store
	nextRef   object.Ref
	asked     map[string]asking

	facts    map[factKey]*storedFact
	counters Counters
}

// Counters counts what a State refused or did for repair since it began.
type Counters struct {
	foreign, replayed, late, stale, surplus   uint64
	repeats, news, ambiguous, frozen, repairs uint64
}

// Foreign returns the number of messages refused since they came under another name or over no open link.
func (c Counters) Foreign() uint64 { return c.foreign }

// Replayed returns the number of messages refused since they had come before or from an earlier start.
func (c Counters) Replayed() uint64 { return c.replayed }

// Late returns the number of messages that were held up on the way for longer than a second.
func (c Counters) Late() uint64 { return c.late }

// Stale returns the number of beats, cards and statements refused since they were too old.
func (c Counters) Stale() uint64 { return c.stale }

// Surplus returns the number of facts, rumours and documents refused since a limit was reached.
func (c Counters) Surplus() uint64 { return c.surplus }

// Repeats returns the number of beats that brought nothing new.
func (c Counters) Repeats() uint64 { return c.repeats }

// News returns the number of beats that brought something new.
func (c Counters) News() uint64 { return c.news }

// Ambiguous returns the number of cards refused since their handle belongs to another member.
func (c Counters) Ambiguous() uint64 { return c.ambiguous }

// Frozen returns how often this daemon found that it had stood still.
func (c Counters) Frozen() uint64 { return c.frozen }

// Repairs returns the number of statements, cards and documents asked for since news of them was missed.
func (c Counters) Repairs() uint64 { return c.repairs }

// Reduce applies one event at time now and returns what has to be done, in order.
func (s *State) Reduce(now time.Time, e Event) []Effect {
	s.effects = nil
	if configured, is := e.(Configured); is {
		s.configure(now, configured.settings)
	}
	if !s.configured {
		return nil
	}
	s.noticeFreeze(now)
	s.reduce(now, e)
	return s.effects
}

func (s *State) reduce(now time.Time, e Event) {
	switch e := e.(type) {
	case Listed:
		s.list(e.upstreams)
	case Received:
		s.receive(now, e)
	case Dialled:
		s.open(now, e)
	case Closed:
		delete(s.links, e.name)
	case Probed:
		s.probed(now, e.sighting)
	case Published:
		s.publish(e.document)
	case Shared:
		s.share(now, e)
	case Watching:
		s.watchDocuments(now, e.on)
	case Push:
		s.push(now, e)
	case Tell:
		s.tell(now, e)
	case Leaving:
		s.leave(now, true)
	case Returning:
		s.leave(now, false)
	case Resulted:
		s.resulted(now, e.result)
	case Ticked:
		s.tick(now)
	}
}

func (s *State) configure(now time.Time, settings Settings) {
	*s = State{
		settings:   settings,
		configured: true,
		random:     rand.New(rand.NewPCG(settings.seed, hash(settings.name))),
		begun:      now,
		awake:      now,
		last:       now,
		members:    map[handle]*member{},
		names:      map[string]handle{},
		unknown:    map[handle]string{},
		links:      map[string]*link{},
		upstreams:  map[string]*upstream{},
		documents:  map[string]Document{},
		requests:   map[object.Ref]*follow{},
		facts:      map[factKey]*storedFact{},
		asked:      map[string]asking{},
	}
	incarnation := uint64(max(1, now.UnixMilli()))
	s.self = s.admit(card{
		name: settings.name, address: settings.address, caller: settings.caller, centre: settings.centre,
		incarnation: incarnation, edition: 1,
	})
	s.beat(now)
	s.refreshLive(now)
	for _, f := range settings.follows {
		s.follows = append(s.follows, &follow{Follow: f, due: now})
	}
	s.meet(now)
	s.readDocuments(now)
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// noticeFreeze distrusts all that was held when events stopped coming for longer than the driver allows.
func (s *State) noticeFreeze(now time.Time) {
	gap := now.Sub(s.last)
	s.last = now
	if gap < frozenGap {
		return
	}
	s.counters.frozen++
	s.awake = now
	s.heard = false
	s.links = map[string]*link{}
	s.cycle = nil
	s.rumours, s.bulk = nil, nil
	s.unknown = map[handle]string{}
	s.emit(Reset{})
	s.distrust()
	s.unsettle(now)
	s.refreshLive(now)
	s.meet(now)
}

// tick does all that is due by time.
func (s *State) tick(now time.Time) {
	s.refreshLive(now)
	s.refreshWatches(now)
	if !now.Before(s.beatDue) {
		s.beat(now)
	}
	s.probe(now)
	s.readDocuments(now)
	s.settle(now)
	s.expireFacts(now)
	if now.Before(s.nextRun) {
		return
	}
	s.nextRun = now.Add(s.settings.Tick())
	s.repair(now)
	s.gossip(now)
	s.meetLost(now)
}

// tell sends something to one peer.
func (s *State) tell(now time.Time, e Tell) {
	if m := s.members[s.names[e.name]]; m != nil {
		s.sendTo(now, m.name, m.address, Message{letters: []letter{{e.topic, e.data}}})
	}
}

// push sends a document in force to one peer.
func (s *State) push(now time.Time, e Push) {
	m, d := s.members[s.names[e.name]], s.documents[e.document]
	if m != nil && d.revision > 0 {
		s.sendTo(now, m.name, m.address, Message{documents: []Document{d}})
	}
}

// leave tells peers whether this daemon is about to stop.
func (s *State) leave(now time.Time, leaving bool) {
	if s.self.leaving == leaving {
		return
	}
	s.self.leaving = leaving
	s.self.edition++
	s.redescribe = true
	s.spread(rumour{card: s.self})
	s.refreshLive(now)
}

func sortMembers(members []*member) {
	sort.Slice(members, func(i, j int) bool {
		if members[i].name != members[j].name {
			return members[i].name < members[j].name
		}
		return members[i].incarnation < members[j].incarnation
	})
}
