package peer

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/azurepond/azurepond/pkg/object"
)

// freezeThreshold is the gap between two events from which on the process counts as having been frozen.
const freezeThreshold = 3 * time.Second

// State is the gossip state of one daemon: its peers, the upstreams, the documents and the facts. The zero value ignores
// all events before Configured.
type State struct {
	settings          Settings
	configured        bool
	random            *rand.Rand
	startedAt         time.Time // when Configured arrived
	resumedAt         time.Time // start, or end of the last freeze
	lastEventAt       time.Time
	lastMessageNumber uint64
	effects           []Effect

	self           *member
	members        map[handle]*member
	handleByName   map[string]handle
	allMembers     []*member         // by name
	live           []*member         // this daemon and the members with a recent heartbeat, by name
	unknownHandles map[handle]string // to the peer that named it

	links            map[string]*link
	receivedFromPeer bool // since resumedAt

	gossipOrder   []*member // remaining peers of this round, in random order
	updates       []update
	bulkUpdates   []update
	nextContact   time.Time // next attempt to reach peers that are not live
	nextGossip    time.Time
	nextHeartbeat time.Time

	upstreams         map[string]*upstream
	listedUpstreams   []*upstream
	watchersStale     bool // the assignment of watchers has to be recomputed
	memberInfoChanged bool // of a live member
	liveRefreshedAt   time.Time

	documents          map[string]Document
	trackedDocuments   []*trackedDocument // in the order of the settings, the configuration first
	storeRequests      map[object.Ref]*trackedDocument
	storeWatchDisabled bool
	nextRef            object.Ref
	documentRequests   map[string]documentRequest

	facts    map[factKey]*storedFact
	counters Counters
}

// Counters counts what a State refused and which repairs it requested since it was configured.
type Counters struct {
	wrongSender, replayed, late, stale, overLimit                                 uint64
	duplicateHeartbeats, newHeartbeats, handleCollisions, freezes, repairRequests uint64
}

// WrongSender returns the number of messages refused because the sender's name is not that of the link's peer, or because
// no link is open.
func (c Counters) WrongSender() uint64 { return c.wrongSender }

// Replayed returns the number of messages refused because they had arrived before or are from an earlier incarnation.
func (c Counters) Replayed() uint64 { return c.replayed }

// Late returns the number of messages that were delayed in transit for more than a second.
func (c Counters) Late() uint64 { return c.late }

// Stale returns the number of heartbeats and member descriptions refused because they were outdated.
func (c Counters) Stale() uint64 { return c.stale }

// OverLimit returns the number of facts, updates and documents refused because they were invalid or over a limit.
func (c Counters) OverLimit() uint64 { return c.overLimit }

// DuplicateHeartbeats returns the number of heartbeats received that were already known.
func (c Counters) DuplicateHeartbeats() uint64 { return c.duplicateHeartbeats }

// NewHeartbeats returns the number of heartbeats received that were new.
func (c Counters) NewHeartbeats() uint64 { return c.newHeartbeats }

// HandleCollisions returns the number of member descriptions refused because their handle belongs to another member.
func (c Counters) HandleCollisions() uint64 { return c.handleCollisions }

// Freezes returns how often this daemon detected that it had been frozen.
func (c Counters) Freezes() uint64 { return c.freezes }

// RepairRequests returns the number of reports, member descriptions and heartbeats requested because they were missed.
func (c Counters) RepairRequests() uint64 { return c.repairRequests }

// Reduce applies one event at time now and returns the effects in the order in which to carry them out.
func (s *State) Reduce(now time.Time, e Event) []Effect {
	s.effects = nil
	if configured, ok := e.(Configured); ok {
		s.configure(now, configured.settings)
	}
	if !s.configured {
		return nil
	}
	if suspended, ok := e.(Suspended); ok {
		s.lastEventAt = s.lastEventAt.Add(-suspended.duration)
	}
	s.detectFreeze(now)
	s.reduce(now, e)
	return s.effects
}

func (s *State) reduce(now time.Time, e Event) {
	switch e := e.(type) {
	case UpstreamsChanged:
		s.setUpstreams(e.upstreams)
	case Received:
		s.receive(now, e)
	case LinkOpened:
		s.linkOpened(now, e)
	case LinkClosed:
		delete(s.links, e.name)
	case Probed:
		s.handleProbeResult(now, e.result)
	case DocumentPublished:
		s.publishDocument(e.document)
	case FactShared:
		s.shareFact(now, e)
	case StoreWatchChanged:
		s.setStoreWatch(now, e.enabled)
	case SeedsChanged:
		s.settings.seeds = e.seeds
		s.contactPeers(now)
	case RereadRequested:
		s.rereadDocuments(now)
	case DocumentPushRequested:
		s.pushDocument(now, e)
	case DirectMessageRequested:
		s.sendDirectMessage(now, e)
	case Leaving:
		s.setLeaving(now, true)
	case LeaveCancelled:
		s.setLeaving(now, false)
	case StoreCompleted:
		s.handleStoreResult(now, e.result)
	case Ticked:
		s.tick(now)
	}
}

func (s *State) configure(now time.Time, settings Settings) {
	*s = State{
		settings:         settings,
		configured:       true,
		random:           rand.New(rand.NewPCG(settings.seed, hash(settings.name))),
		startedAt:        now,
		resumedAt:        now,
		lastEventAt:      now,
		members:          map[handle]*member{},
		handleByName:     map[string]handle{},
		unknownHandles:   map[handle]string{},
		links:            map[string]*link{},
		upstreams:        map[string]*upstream{},
		documents:        map[string]Document{},
		storeRequests:    map[object.Ref]*trackedDocument{},
		facts:            map[factKey]*storedFact{},
		documentRequests: map[string]documentRequest{},
	}
	incarnation := uint64(max(1, now.UnixMilli()))
	s.self = s.addMember(memberInfo{
		name: settings.name, address: settings.address, callerAddress: settings.callerAddress, centre: settings.centre,
		incarnation: incarnation,
		infoVersion: uint64(settings.capacity)<<capacityShift | uint64(settings.relayPort)<<relayPortShift | 1,
	})
	s.makeHeartbeat(now)
	s.refreshLive(now)
	for _, source := range settings.documents {
		s.trackedDocuments = append(s.trackedDocuments, &trackedDocument{DocumentSource: source, nextRead: now})
	}
	s.contactPeers(now)
	s.readDocuments(now)
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// detectFreeze invalidates all evidence and all links if no event arrived for freezeThreshold or longer.
func (s *State) detectFreeze(now time.Time) {
	gap := now.Sub(s.lastEventAt)
	s.lastEventAt = now
	if gap < freezeThreshold {
		return
	}
	s.counters.freezes++
	s.resumedAt = now
	s.receivedFromPeer = false
	s.links = map[string]*link{}
	s.gossipOrder = nil
	s.updates, s.bulkUpdates = nil, nil
	s.unknownHandles = map[handle]string{}
	s.emit(ResetLinks{})
	s.invalidateEvidence()
	s.resyncDocuments(now)
	s.refreshLive(now)
	s.contactPeers(now)
}

// tick does all periodic work that is due.
func (s *State) tick(now time.Time) {
	s.refreshLiveIfDue(now)
	s.assignWatches(now)
	if !now.Before(s.nextHeartbeat) {
		s.makeHeartbeat(now)
	}
	s.emitProbes(now)
	s.readDocuments(now)
	s.confirmFromPeers(now)
	s.expireFacts(now)
	if now.Before(s.nextGossip) {
		return
	}
	s.nextGossip = now.Add(s.settings.GossipInterval())
	s.requestMissing(now)
	s.gossip(now)
	s.contactLostPeer(now)
}

func (s *State) sendDirectMessage(now time.Time, e DirectMessageRequested) {
	if m := s.members[s.handleByName[e.name]]; m != nil {
		s.send(now, m.name, m.address, Message{directMessages: []directMessage{{e.topic, e.data}}})
	}
}

// pushDocument sends a document in force to one peer.
func (s *State) pushDocument(now time.Time, e DocumentPushRequested) {
	m, d := s.members[s.handleByName[e.name]], s.documents[e.document]
	if m != nil && d.revision > 0 {
		s.send(now, m.name, m.address, Message{documents: []Document{d}})
	}
}

// setLeaving announces whether this daemon is about to stop.
func (s *State) setLeaving(now time.Time, leaving bool) {
	if s.self.leaving == leaving {
		return
	}
	s.self.leaving = leaving
	s.self.infoVersion++
	s.memberInfoChanged = true
	s.queueUpdate(update{member: s.self})
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
