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
	settings  Settings
	engine    route.Engine
	nodes     map[ID]*node
	names     []ID               // of the nodes, in order; nil when it is to be made anew
	heads     map[string][]Head  // by model
	woken     time.Time          // last event
	arrived   time.Time          // when an instance last came that was not known
	demand    map[string]float64 // replicas that each model keeps busy, nil before any call came
	serving   bool               // calls came
	converted time.Time          // when instances last changed sides

	leading  bool
	record   record
	writer   object.Writer
	refs     object.Refs
	read     bool // the record was read since this daemon leads
	claims   bool // the record carries this daemon's takeover
	tokens   uint64
	sent     map[ID]map[Verb]*errand
	loads    []time.Time
	since    time.Time          // when this daemon began to lead
	past     map[ID][]place     // replicas that instances were recorded in and have not been seen to end
	ended    map[formation]bool // replicas whose head answered a close
	left     map[departure]bool
	unopened map[formation]bool   // replicas whose head said that it has nothing to close
	planned  time.Time            // when the record was last held against what is known
	staged   time.Time            // when hosts were last looked over for what to stage
	counted  time.Time            // when the log was last told how the instances are used
	rigid    bool                 // replicas never give members to others, for comparison
	drains   map[string]time.Time // when a replica began to be closed gently, by name

	effects []Effect
}

// node is what is known of one instance.
type node struct {
	Instance
	last    string    // model of the last replica since this start
	sure    time.Time // when the instance itself last told its place, by an answer
	changed time.Time // when the place last became another one
	dead    bool      // looks are not answered
	misses  int
	looked  time.Time // last look that was asked for
	looking bool
}

// New returns the state of a daemon that runs by settings.
func New(settings Settings) State {
	return State{
		settings: settings,
		nodes:    map[ID]*node{},
		heads:    map[string][]Head{},
		past:     map[ID][]place{},
		ended:    map[formation]bool{},
		left:     map[departure]bool{},
		unopened: map[formation]bool{},
		sent:     map[ID]map[Verb]*errand{},
		drains:   map[string]time.Time{},
		writer: object.NewWriter(settings.key, settings.identity, settings.seed).
			WithBackoff(object.NewBackoff(minBackoff, maxBackoff, settings.seed)),
	}
}

// Reduce applies one event that happened at now and returns what has to be carried out, in order.
func (s *State) Reduce(now time.Time, e Event) []Effect {
	s.effects = nil
	s.noticeFreeze(now)
	switch e := e.(type) {
	case Configured:
		s.engine = e.engine
	case Listed:
		s.list(now, e)
	case Probed:
		s.looked(now, e)
	case Suspected:
		s.suspect(now, e.id)
	case DeclaredDead:
		if n := s.nodes[e.id]; n != nil {
			n.dead, n.looked = true, now
		}
	case OrderAnswered:
		s.ordered(now, e)
	case StoreCompleted:
		s.resulted(now, e.result)
	case LeadershipChanged:
		s.led(now, e.leading)
	case CallsArrived:
		s.serving = true
	case DemandReported:
		s.serving = true
		s.demanded(e.work)
	case Ticked:
		s.lookAgain(now)
	}
	if _, isTick := e.(Ticked); !isTick {
		s.judge()
		s.planned = time.Time{}
	}
	s.lead(now)
	return s.effects
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// noticeFreeze makes a leader that stood still read the record again before it orders anything.
func (s *State) noticeFreeze(now time.Time) {
	gap := now.Sub(s.woken)
	s.woken = now
	if s.leading && gap > frozenGap {
		s.read, s.claims = false, false
		s.writer.Reset()
	}
}

// list takes over what the platform lists.
func (s *State) list(now time.Time, e Listed) {
	listed := map[ID]bool{}
	for _, i := range e.instances {
		listed[i.id] = true
		s.enter(now, i)
	}
	for _, id := range e.gone {
		s.drop(id)
	}
	if !e.whole {
		return
	}
	for id := range s.nodes {
		if !listed[id] {
			s.drop(id)
		}
	}
}

// enter takes over what an instance says of itself; a later start of it begins without old evidence.
func (s *State) enter(now time.Time, i Instance) {
	n := s.nodes[i.id]
	if n == nil {
		n = &node{}
		s.nodes[i.id] = n
		s.names = nil
		s.arrived = now
	}
	if n.incarnation > i.incarnation {
		return
	}
	if n.incarnation != i.incarnation {
		*n = node{}
		delete(s.sent, i.id)
	}
	known := n.member
	n.Instance = i
	n.take(now, known, i.member)
	s.noteEnd(known, n)
	n.remember()
}

func (s *State) drop(id ID) {
	delete(s.nodes, id)
	s.names = nil
	delete(s.sent, id)
}

// ids returns the instances in the order of their names; callers don't change the list.
func (s *State) ids() []ID {
	if len(s.names) != len(s.nodes) {
		s.names = slices.Sorted(maps.Keys(s.nodes))
	}
	return s.names
}

// reportLag is how long an older place may still be told after a newer one: looks are as of some hundred ms ago, and
// readers of the list tell others within a tenth of a second.
const reportLag = time.Second

// take replaces the place that is known by the one that is told, unless that is older.
func (n *node) take(now time.Time, known, told Membership) {
	n.member = told
	if known.isAfter(told, now.Sub(n.changed) < reportLag) {
		n.member = known
	}
	if n.member != known {
		n.changed = now
	}
}

// remember keeps the model of the last replica, which joins again at once.
func (n *node) remember() {
	if n.member.phase != PhaseNone && n.member.phase != PhaseJoining && n.loadedModel != "" {
		n.last = n.loadedModel
	}
}

// lives reports whether an instance may be counted on.
func (n *node) lives() bool { return n != nil && !n.dead }
