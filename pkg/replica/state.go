package replica

import (
	"maps"
	"slices"
	"time"

	"github.com/azurepond/azurepond/pkg/object"
	"github.com/azurepond/azurepond/pkg/route"
)

// State is all that one daemon knows and decides about replicas; the zero value waits for Configure.
type State struct {
	settings       Settings
	engine         route.Engine
	nodes          map[ID]*node
	sortedIDs      []ID               // of the nodes, in order; nil when it is to be made anew
	heads          map[string][]Head  // by model
	lastEvent      time.Time          // last event
	lastArrival    time.Time          // when an instance last came that was not known
	demand         map[string]float64 // replicas that each model keeps busy, nil before any call came
	callsSeen      bool               // calls came
	lastConversion time.Time          // when instances last changed sides

	leading           bool
	record            record
	writer            object.Writer
	refs              object.Refs
	recordRead        bool // the record was read since this daemon leads
	takeoverRecorded  bool // the record carries this daemon's takeover
	orderCount        uint64
	lastOrders        map[ID]map[Verb]*sentOrder
	loadStarts        []time.Time
	leadingSince      time.Time             // when this daemon began to lead
	formerAssignments map[ID][]assignment   // replicas that instances were recorded in and have not been seen to end
	closed            map[replicaEpoch]bool // replicas whose head answered a close
	departures        map[departure]bool
	nothingToClose    map[replicaEpoch]bool // replicas whose head said that it has nothing to close
	lastPlan          time.Time             // when the record was last held against what is known
	lastStaging       time.Time             // when hosts were last looked over for what to stage
	lastCounts        time.Time             // when the log was last told how the instances are used
	noTransfers       bool                  // replicas never give members to others, for comparison
	closingSince      map[string]time.Time  // when a replica began to be closed gently, by name

	effects []Effect
}

// node is what is known of one instance.
type node struct {
	Instance
	lastModel       string    // model of the last replica since this start
	memberConfirmed time.Time // when the instance itself last told its place, by an answer
	memberChanged   time.Time // when the place last became another one
	dead            bool      // looks are not answered
	missedProbes    int
	lastProbe       time.Time // last look that was asked for
	probing         bool
}

// New returns the state of a daemon that runs by settings.
func New(settings Settings) State {
	return State{
		settings:          settings,
		nodes:             map[ID]*node{},
		heads:             map[string][]Head{},
		formerAssignments: map[ID][]assignment{},
		closed:            map[replicaEpoch]bool{},
		departures:        map[departure]bool{},
		nothingToClose:    map[replicaEpoch]bool{},
		lastOrders:        map[ID]map[Verb]*sentOrder{},
		closingSince:      map[string]time.Time{},
		writer: object.NewWriter(settings.key, settings.identity, settings.seed).
			WithBackoff(object.NewBackoff(minStoreBackoff, maxStoreBackoff, settings.seed)),
	}
}

// Reduce applies one event that happened at now and returns what has to be carried out, in order.
func (s *State) Reduce(now time.Time, e Event) []Effect {
	s.effects = nil
	s.checkEventGap(now)
	switch e := e.(type) {
	case Configured:
		s.engine = e.engine
	case Listed:
		s.applyList(now, e)
	case Probed:
		s.applyProbe(now, e)
	case Suspected:
		s.suspect(now, e.id)
	case DeclaredDead:
		if n := s.nodes[e.id]; n != nil {
			n.dead, n.lastProbe = true, now
		}
	case OrderAnswered:
		s.applyReply(now, e)
	case StoreCompleted:
		s.applyStoreResult(now, e.result)
	case LeadershipChanged:
		s.setLeading(now, e.leading)
	case CallsArrived:
		s.callsSeen = true
	case DemandReported:
		s.callsSeen = true
		s.updateDemand(e.demand)
	case Ticked:
		s.probeDead(now)
	}
	if _, isTick := e.(Ticked); !isTick {
		s.updateHeads()
		s.lastPlan = time.Time{}
	}
	s.reconcile(now)
	return s.effects
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// noticeFreeze makes a leader that stood still read the record again before it orders anything.
func (s *State) checkEventGap(now time.Time) {
	gap := now.Sub(s.lastEvent)
	s.lastEvent = now
	if s.leading && gap > maxEventGap {
		s.recordRead, s.takeoverRecorded = false, false
		s.writer.Reset()
	}
}

// list takes over what the platform lists.
func (s *State) applyList(now time.Time, e Listed) {
	listed := map[ID]bool{}
	for _, i := range e.instances {
		listed[i.id] = true
		s.updateInstance(now, i)
	}
	for _, id := range e.gone {
		s.removeInstance(id)
	}
	if !e.complete {
		return
	}
	for id := range s.nodes {
		if !listed[id] {
			s.removeInstance(id)
		}
	}
}

// enter takes over what an instance says of itself; a later start of it begins without old evidence.
func (s *State) updateInstance(now time.Time, i Instance) {
	n := s.nodes[i.id]
	if n == nil {
		n = &node{}
		s.nodes[i.id] = n
		s.sortedIDs = nil
		s.lastArrival = now
	}
	if n.incarnation > i.incarnation {
		return
	}
	if n.incarnation != i.incarnation {
		*n = node{}
		delete(s.lastOrders, i.id)
	}
	known := n.member
	n.Instance = i
	n.updateMember(now, known, i.member)
	s.noteClosed(known, n)
	n.rememberModel()
}

func (s *State) removeInstance(id ID) {
	delete(s.nodes, id)
	s.sortedIDs = nil
	delete(s.lastOrders, id)
}

// ids returns the instances in the order of their names; callers don't change the list.
func (s *State) ids() []ID {
	if len(s.sortedIDs) != len(s.nodes) {
		s.sortedIDs = slices.Sorted(maps.Keys(s.nodes))
	}
	return s.sortedIDs
}

// reportLag is how long an older place may still be told after a newer one: looks are as of some hundred ms ago, and
// readers of the list tell others within a tenth of a second.
const maxReportLag = time.Second

// take replaces the place that is known by the one that is told, unless that is older.
func (n *node) updateMember(now time.Time, known, told Membership) {
	n.member = told
	if known.isNewerThan(told, now.Sub(n.memberChanged) < maxReportLag) {
		n.member = known
	}
	if n.member != known {
		n.memberChanged = now
	}
}

// remember keeps the model of the last replica, which joins again at once.
func (n *node) rememberModel() {
	if n.member.phase != PhaseNone && n.member.phase != PhaseJoining && n.loadedModel != "" {
		n.lastModel = n.loadedModel
	}
}

// lives reports whether an instance may be counted on.
func (n *node) isAlive() bool { return n != nil && !n.dead }
