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
	wrongSender, replayed, late, stale, overLimit                                 uint64
	duplicateHeartbeats, newHeartbeats, handleCollisions, freezes, repairRequests uint64
}

// WrongSender returns the number of messages refused since they came under another name or over no open link.
func (c Counters) WrongSender() uint64 { return c.wrongSender }

// Replayed returns the number of messages refused since they had come before or from an earlier start.
func (c Counters) Replayed() uint64 { return c.replayed }

// Late returns the number of messages that were held up on the way for longer than a second.
func (c Counters) Late() uint64 { return c.late }

// Stale returns the number of beats, cards and statements refused since they were too old.
func (c Counters) Stale() uint64 { return c.stale }

// OverLimit returns the number of facts, rumours and documents refused since a limit was reached.
func (c Counters) OverLimit() uint64 { return c.overLimit }

// DuplicateHeartbeats returns the number of beats that brought nothing new.
func (c Counters) DuplicateHeartbeats() uint64 { return c.duplicateHeartbeats }

// NewHeartbeats returns the number of beats that brought something new.
func (c Counters) NewHeartbeats() uint64 { return c.newHeartbeats }

// HandleCollisions returns the number of cards refused since their handle belongs to another member.
func (c Counters) HandleCollisions() uint64 { return c.handleCollisions }

// Freezes returns how often this daemon found that it had stood still.
func (c Counters) Freezes() uint64 { return c.freezes }

// RepairRequests returns the number of statements, cards and documents asked for since news of them was missed.
func (c Counters) RepairRequests() uint64 { return c.repairRequests }

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
	case LinkOpened:
		s.open(now, e)
	case LinkClosed:
		delete(s.links, e.name)
	case Probed:
		s.probed(now, e.result)
	case DocumentPublished:
		s.publish(e.document)
	case FactShared:
		s.share(now, e)
	case StoreWatchChanged:
		s.watchDocuments(now, e.enabled)
	case DocumentPushRequested:
		s.push(now, e)
	case DirectMessageRequested:
		s.tell(now, e)
	case Leaving:
		s.leave(now, true)
	case LeaveCancelled:
		s.leave(now, false)
	case StoreCompleted:
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
		name: settings.name, address: settings.address, caller: settings.callerAddress, centre: settings.centre,
		incarnation: incarnation, edition: 1,
	})
	s.beat(now)
	s.refreshLive(now)
	for _, f := range settings.documents {
		s.follows = append(s.follows, &follow{DocumentSource: f, due: now})
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
	s.counters.freezes++
	s.awake = now
	s.heard = false
	s.links = map[string]*link{}
	s.cycle = nil
	s.rumours, s.bulk = nil, nil
	s.unknown = map[handle]string{}
	s.emit(ResetLinks{})
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
	s.nextRun = now.Add(s.settings.GossipInterval())
	s.repair(now)
	s.gossip(now)
	s.meetLost(now)
}

// tell sends something to one peer.
func (s *State) tell(now time.Time, e DirectMessageRequested) {
	if m := s.members[s.names[e.name]]; m != nil {
		s.sendTo(now, m.name, m.address, Message{letters: []letter{{e.topic, e.data}}})
	}
}

// push sends a document in force to one peer.
func (s *State) push(now time.Time, e DocumentPushRequested) {
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
