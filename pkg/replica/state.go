package replica

import (
	"slices"
	"time"

	"github.com/azurepond/azurepond/pkg/clock"
	"github.com/azurepond/azurepond/pkg/object"
	"github.com/azurepond/azurepond/pkg/route"
)

// State holds what one daemon knows and plans about replicas. It plans nothing before the first Configured event.
type State struct {
	settings       Settings
	engine         route.Engine
	nodes          map[ID]*node
	sortedIDs      []ID              // of the nodes
	deadIDs        map[ID]bool       // of the nodes that do not answer probes
	silentIDs      map[ID]bool       // of the nodes that are probed again after minProbeInterval
	reportedIDs    map[ID]bool       // of the nodes that are silent for another daemon
	heads          map[string][]Head // by model
	storeEra       uint64            // 0 if unknown
	highestEpoch   uint64            // of the records and the reports that this daemon has seen
	refusedEpoch   uint64            // the highest one of an order that was refused as outdated
	refusals       int               // of higher and higher epochs, since this daemon leads
	lastEvent      time.Time
	lag            clock.Lag // of this daemon
	probesInFlight int
	probeQueue     []ID               // of the nodes that wait for a probe
	lastArrival    time.Time          // when an unknown instance was last listed
	demand         map[string]float64 // replicas that each model keeps busy, nil before the first report
	callsSeen      bool
	lastConversion time.Time       // when replicas of one model last gave instances to another model
	evacuated      map[string]bool // whether each evacuated data centre is closed

	leading           bool
	record            record
	writer            object.Writer
	refs              object.Refs
	recordRead        bool // since this daemon became the leader
	takeoverRecorded  bool // this daemon wrote the current record
	isRecordRecovered bool // the current record was brought up to date with the reports of the instances
	orderCount        uint64
	ordersInFlight    int // sent and neither answered nor expired
	lastOrders        map[ID]map[Verb]*sentOrder
	loadStarts        []time.Time // of the loads within loadWindow
	leadingSince      time.Time
	formerAssignments map[ID][]assignment     // replicas that the record removed instances from and that may still serve
	closed            map[replicaEpoch]ID     // replicas that have ended their calls, and the heads that answered so
	departures        map[departure]time.Time // when the leave was answered
	nothingToClose    map[replicaEpoch]ID     // replicas whose head has nothing to close, and the heads that answered so
	lateOrders        map[ID][]*lateOrder
	ownEpoch          uint64    // of the last record that this daemon wrote
	inheritedEpoch    uint64    // of the last record of another leader that this one took over
	inheritedAt       time.Time // when it read that record
	lastReconcile     time.Time // when orders and the plan were last considered
	lastPlan          time.Time // when the record was last compared with the state
	hasEventSincePlan bool      // other than a tick
	isPlanUrgent      bool      // an instance was lost or is leaving since then, or the demand is new
	lastStaging       time.Time
	lastCounts        time.Time
	noTransfers       bool // replicas never give members to others; for comparison in tests
	closings          map[replicaEpoch]closing
	unlisted          map[ID]unlistedMember
	longestCall       time.Duration // of those that engines serve
	isResumable       bool          // all calls may go on at another replica

	effects []Effect
}

// node holds what is known of one instance.
type node struct {
	Instance
	lastModel           string    // model of the last replica since this start of the instance
	membershipConfirmed time.Time // when the instance itself last confirmed its membership
	membershipChanged   time.Time // when the membership last changed
	dead                bool      // probes are not answered
	missedProbes        int       // in a row, by this daemon and its peers
	inconclusiveProbes  int       // since the last answer, that no daemon with a path carried out
	silentSince         time.Time // when the first of the missed probes was sent
	isRefusing          bool      // all of them were refused
	lastProbe           time.Time // when the last probe was sent
	probing             bool      // a probe runs or is queued
	probeQueued         bool
	silenceReported     time.Time // end of the silence that another daemon reported, zero for none
	probesPausedUntil   time.Time // it throttles this daemon until then

	orderedWhileThrottled bool          // an order was sent to it meanwhile
	probeTimeout          time.Duration // of the last probe
}

// New returns the state of a daemon with these settings.
func New(settings Settings) State {
	return State{
		settings:          settings,
		nodes:             map[ID]*node{},
		deadIDs:           map[ID]bool{},
		silentIDs:         map[ID]bool{},
		reportedIDs:       map[ID]bool{},
		heads:             map[string][]Head{},
		formerAssignments: map[ID][]assignment{},
		closed:            map[replicaEpoch]ID{},
		departures:        map[departure]time.Time{},
		nothingToClose:    map[replicaEpoch]ID{},
		lateOrders:        map[ID][]*lateOrder{},
		lastOrders:        map[ID]map[Verb]*sentOrder{},
		closings:          map[replicaEpoch]closing{},
		unlisted:          map[ID]unlistedMember{},
		writer: object.NewWriter(settings.key, settings.identity, settings.seed).
			WithBackoff(object.NewBackoff(minStoreBackoff, maxStoreBackoff, settings.seed)),
	}
}

// Reduce applies one event that happened at now and returns the effects to carry out, in order.
func (s *State) Reduce(now time.Time, e Event) []Effect {
	s.effects = nil
	s.checkEventGap(now)
	if delayed, isDelayed := e.(Delayed); isDelayed {
		s.lag.Observe(now, delayed.lag) // a plan would make the daemon later still
		return s.effects
	}
	isInstanceEvent := true
	switch e := e.(type) {
	case Configured:
		s.engine, s.longestCall, s.isResumable = e.engine, e.longestCall, e.isResumable
	case Listed:
		s.applyList(now, e)
	case Probed:
		s.applyProbe(now, e)
	case Suspected:
		s.suspect(now, e.id)
		isInstanceEvent = false
	case DeclaredDead:
		delete(s.unlisted, e.id)
		if n := s.nodes[e.id]; n != nil {
			if s.leading && !n.dead {
				s.emit(LogEntry{message: "instance dead", replica: n.membership.replica, members: []ID{e.id}, reason: "found by two daemons"})
			}
			n.lastProbe = now
			s.setDead(n, true)
		}
	case OrderAnswered:
		s.applyReply(now, e)
	case StoreCompleted:
		s.applyStoreResult(now, e.result)
		isInstanceEvent = false
	case CentresEvacuated:
		s.setEvacuated(e)
	case LeadershipChanged:
		s.setLeading(now, e.leading)
		isInstanceEvent = false
	case CallsArrived:
		s.callsSeen = true
		isInstanceEvent = false
	case DemandReported:
		s.callsSeen = true
		s.updateDemand(e.demand)
		s.isPlanUrgent = true
		isInstanceEvent = false
	case StoreEra:
		s.setStoreEra(now, e.era)
		isInstanceEvent = false
	case ProbesPaused:
		if n := s.nodes[e.id]; n != nil {
			n.probesPausedUntil = e.until
		}
		isInstanceEvent = false
	case SilenceReported:
		s.reportSilence(e)
	case AnsweredAgain:
		if n := s.nodes[e.id]; n != nil && n.dead && !n.probing {
			s.probe(now, e.id, n)
		}
		isInstanceEvent = false
	case Ticked:
		s.probeDead(now)
		s.probeSilent(now)
		isInstanceEvent = s.endReportedSilences(now)
	}
	if isInstanceEvent {
		s.updateHeads()
	}
	if _, isTick := e.(Ticked); !isTick {
		s.hasEventSincePlan = true
	}
	s.reconcile(now)
	return s.effects
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// checkEventGap makes a leader that was suspended read the record again before it sends orders.
func (s *State) checkEventGap(now time.Time) {
	gap := now.Sub(s.lastEvent)
	s.lastEvent = now
	if s.leading && gap > maxEventGap {
		s.recordRead, s.takeoverRecorded = false, false
		s.forgetReleases()
		s.writer.Reset()
	}
}

// applyList applies the platform's list of instances.
func (s *State) applyList(now time.Time, e Listed) {
	listed := map[ID]bool{}
	for _, i := range e.instances {
		listed[i.id] = true
		s.updateInstance(now, i)
	}
	for _, id := range e.gone {
		s.removeInstance(now, id)
	}
	if !e.complete {
		return
	}
	for id := range s.nodes {
		if !listed[id] {
			s.removeInstance(now, id)
		}
	}
}

// updateInstance applies what an instance reports of itself. A later start discards what was known of the one before.
func (s *State) updateInstance(now time.Time, i Instance) {
	n := s.nodes[i.id]
	if n == nil {
		n = &node{}
		s.nodes[i.id] = n
		delete(s.unlisted, i.id)
		position, _ := slices.BinarySearch(s.sortedIDs, i.id)
		s.sortedIDs = slices.Insert(s.sortedIDs, position, i.id)
		s.lastArrival = now
	}
	if n.incarnation > i.incarnation {
		return
	}
	if n.incarnation != i.incarnation {
		*n = node{}
		delete(s.deadIDs, i.id)
		delete(s.lastOrders, i.id)
		s.forgetAnswers(i.id)
		s.isPlanUrgent = true
	}
	known := n.membership
	s.isPlanUrgent = s.isPlanUrgent || i.leaving && !n.leaving ||
		i.membership.phase == PhaseBroken && known.phase != PhaseBroken
	n.Instance = i
	n.updateMembership(now, known, i.membership)
	s.noteEpoch(i.membership.epoch)
	n.rememberModel()
}

func (s *State) removeInstance(now time.Time, id ID) {
	if s.nodes[id] == nil {
		return
	}
	s.noteUnlisted(now, s.nodes[id])
	delete(s.nodes, id)
	delete(s.deadIDs, id)
	if position, isFound := slices.BinarySearch(s.sortedIDs, id); isFound {
		s.sortedIDs = slices.Delete(s.sortedIDs, position, position+1)
	}
	delete(s.lastOrders, id)
	s.isPlanUrgent = true
}

// setDead sets whether an instance is taken for dead.
func (s *State) setDead(n *node, dead bool) {
	s.isPlanUrgent = s.isPlanUrgent || dead && !n.dead
	n.dead = dead
	if dead {
		s.deadIDs[n.id] = true
		return
	}
	delete(s.deadIDs, n.id)
}

// ids returns the sorted instance IDs. Callers must not modify the slice.
func (s *State) ids() []ID { return s.sortedIDs }

// maxReportLag is how long an older membership may still be reported after a newer one. A probe shows the state of some
// hundred ms ago, and readers of the list forward it to other daemons within 100 ms.
const maxReportLag = time.Second

// updateMembership replaces the known membership by the reported one, unless that is older.
func (n *node) updateMembership(now time.Time, known, reported Membership) {
	n.membership = reported
	if known.isNewerThan(reported, now.Sub(n.membershipChanged) < maxReportLag) {
		n.membership = known
	}
	if n.membership != known {
		n.membershipChanged = now
	}
}

// rememberModel stores the model of the last replica, as the instance can join another replica of it without a load.
func (n *node) rememberModel() {
	if n.membership.phase != PhaseNone && n.membership.phase != PhaseJoining && n.loadedModel != "" {
		n.lastModel = n.loadedModel
	}
}

// isAlive reports whether the instance is listed and not known to be dead.
func (n *node) isAlive() bool { return n != nil && !n.dead }
