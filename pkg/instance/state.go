package instance

import (
	"sort"
	"time"

	"github.com/azurepond/azurepond/pkg/object"
)

// State is all that one daemon knows and decides about instances; the zero value is ready for its first event.
type State struct {
	settings Settings
	refs     object.Refs
	nodes    map[ID]*node
	listed   []ID
	pools    []*pool
	groups   map[ReplicaID]*group

	drainedReplicas  map[ReplicaID]bool
	stoppedReplicas  map[ReplicaID]bool
	drainedInstances map[ID]time.Time // since when

	departures []departure

	last       time.Time
	trusted    time.Time
	costs      Costs
	modelCosts map[string]*ModelCosts
	planner    planner
}

// Reduce applies one event that happened at now and returns what has to be carried out, in order.
func (s *State) Reduce(now time.Time, e Event) []Effect {
	if s.froze(now) {
		return append(s.rejudgeAll(now), s.apply(now, e)...)
	}
	return s.apply(now, e)
}

func (s *State) apply(now time.Time, e Event) []Effect {
	switch e := e.(type) {
	case Configured:
		return s.configured(now, e.settings)
	case Listed:
		return s.list(now, e.instances)
	case Probed:
		return s.sighted(now, e.result)
	case Resulted:
		return s.resulted(now, e.result)
	case OrderAnswered:
		return s.ordered(now, e)
	case DrainRequested:
		return s.drained(now, e)
	case RecordReceived:
		return s.recorded(now, e)
	case Ticked:
		return s.ticked(now)
	}
	return nil
}

// frozenGap is the time without any event after which this process counts as having stood still.
const frozenGap = 3 * time.Second

// froze reports whether this process itself stood still; it then distrusts all that it holds.
func (s *State) froze(now time.Time) bool {
	gap := now.Sub(s.last)
	froze := !s.last.IsZero() && (gap > frozenGap || gap < -frozenGap)
	s.last = now
	if froze {
		s.trusted = now
	}
	return froze
}

func (s *State) configured(now time.Time, settings Settings) []Effect {
	s.settings = settings
	s.prepare()
	var pools []*pool
	for _, name := range settings.pools() {
		p := s.pool(name)
		if p == nil {
			p = newPool(name, settings, now)
		}
		p.configure(settings)
		pools = append(pools, p)
	}
	s.pools = pools
	s.stir()
	return s.regroup(now)
}

func (s *State) prepare() {
	if s.nodes != nil {
		return
	}
	s.nodes = map[ID]*node{}
	s.groups = map[ReplicaID]*group{}
	s.drainedReplicas = map[ReplicaID]bool{}
	s.stoppedReplicas = map[ReplicaID]bool{}
	s.drainedInstances = map[ID]time.Time{}
}

// pool returns the pool called name, nil if there is none.
func (s *State) pool(name string) *pool {
	for _, p := range s.pools {
		if p.name == name {
			return p
		}
	}
	return nil
}

// node returns what is known of an instance, beginning with nothing.
func (s *State) node(id ID) *node {
	n := s.nodes[id]
	if n == nil {
		n = &node{id: id}
		s.nodes[id] = n
	}
	return n
}

// list applies a whole instance list; an empty one after a full one is taken for a fault of the platform.
func (s *State) list(now time.Time, instances []Instance) []Effect {
	s.prepare()
	if len(instances) == 0 && len(s.listed) > 0 {
		return nil
	}
	for _, id := range s.listed {
		n := s.nodes[id]
		n.listed, n.gone = false, true
	}
	s.listed = s.listed[:0]
	departing := map[ID]bool{}
	for _, row := range instances {
		n := s.node(row.id)
		departing[row.id] = row.leaving && !n.row.leaving
		n.row, n.listed, n.gone = row, true, false
		s.listed = append(s.listed, row.id)
	}
	sort.Slice(s.listed, func(i, j int) bool { return s.listed[i] < s.listed[j] })
	for i, id := range s.listed {
		if departing[id] {
			s.depart(now, i)
		}
	}
	s.forget(now)
	s.stir()
	return s.rejudgeAll(now)
}

// forget drops instances that are neither listed nor recorded nor heard of lately.
func (s *State) forget(now time.Time) {
	for id, n := range s.nodes {
		if !n.listed && n.group == nil && !n.fresh(now, s.trusted, s.settings.maxProbeAge) {
			delete(s.nodes, id)
		}
	}
}

// sighted takes evidence of life; a miss says no more than the silence does, since one watcher's own link may be broken.
func (s *State) sighted(now time.Time, sighting ProbeResult) []Effect {
	s.prepare()
	n := s.node(sighting.id)
	if !sighting.alive {
		return s.miss(now, n, sighting.at)
	}
	if sighting.at.Before(s.trusted) || n.seen && sighting.at.Before(n.sighting.at) {
		return nil
	}
	changed := n.learn(sighting)
	if changed {
		n.again = now
		s.stir()
	}
	if n.group == nil || !changed && n.group.whole {
		return nil
	}
	return s.rejudge(n.group, now)
}

// miss takes over that an instance did not answer at a time, as its watchers agree.
func (s *State) miss(now time.Time, n *node, at time.Time) []Effect {
	if at.Before(n.missed) || at.Before(n.sighting.at) {
		return nil
	}
	n.missed = at
	if n.group == nil || !n.group.whole {
		return nil
	}
	return s.rejudge(n.group, now)
}

func (s *State) drained(now time.Time, e DrainRequested) []Effect {
	s.prepare()
	if e.replica != "" {
		s.drainedReplicas[e.replica] = !e.undo
		s.stoppedReplicas[e.replica] = e.stop
	}
	if e.id != "" {
		s.drainInstance(now, e.id, e.undo)
	}
	s.stir()
	return s.rejudgeAll(now)
}

func (s *State) drainInstance(now time.Time, id ID, undo bool) {
	_, already := s.drainedInstances[id]
	if undo {
		delete(s.drainedInstances, id)
		return
	}
	if already {
		return
	}
	s.drainedInstances[id] = now
	if i := indexOf(s.listed, id); i >= 0 {
		s.depart(now, i)
	}
}

func (s *State) rejudgeAll(now time.Time) []Effect {
	var effects []Effect
	for _, p := range s.pools {
		for _, g := range p.groups {
			effects = append(effects, s.rejudge(g, now)...)
		}
	}
	return effects
}
