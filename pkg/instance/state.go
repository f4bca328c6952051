package instance

import (
	"sort"
	"time"

	"github.com/azurepond/azurepond/pkg/object"
)

// State is the state of one daemon's decisions about instances. The zero value is ready for its first event.
type State struct {
	settings  Settings
	refs      object.Refs
	nodes     map[ID]*node
	listedIDs []ID
	pools     []*pool
	replicas  map[ReplicaID]*replicaState

	drainedReplicas  map[ReplicaID]bool // by operators
	stoppedReplicas  map[ReplicaID]bool // by operators
	drainedInstances map[ID]time.Time   // when an operator requested the drain

	departures []departure

	lastEvent    time.Time
	trustedSince time.Time // earlier probe results are not trusted
	costs        Costs
	modelCosts   map[string]*ModelCosts
	planner      planner
}

// Reduce applies one event that happened at now and returns the effects to carry out, in order.
func (s *State) Reduce(now time.Time, e Event) []Effect {
	if s.stalled(now) {
		return append(s.reevaluateAll(now), s.apply(now, e)...)
	}
	return s.apply(now, e)
}

func (s *State) apply(now time.Time, e Event) []Effect {
	switch e := e.(type) {
	case Configured:
		return s.configured(now, e.settings)
	case Listed:
		return s.listed(now, e.instances)
	case Probed:
		return s.probed(now, e.result)
	case StoreCompleted:
		return s.storeCompleted(now, e.result)
	case OrderAnswered:
		return s.orderAnswered(now, e)
	case DrainRequested:
		return s.drainRequested(now, e)
	case RecordReceived:
		return s.recordReceived(now, e)
	case Ticked:
		return s.ticked(now)
	}
	return nil
}

// maxEventGap is the longest time without an event before this process counts as stalled.
const maxEventGap = 3 * time.Second

// stalled reports whether this process itself was paused. Its probe results are then no longer trusted.
func (s *State) stalled(now time.Time) bool {
	gap := now.Sub(s.lastEvent)
	stalled := !s.lastEvent.IsZero() && (gap > maxEventGap || gap < -maxEventGap)
	s.lastEvent = now
	if stalled {
		s.trustedSince = now
	}
	return stalled
}

func (s *State) configured(now time.Time, settings Settings) []Effect {
	s.settings = settings
	s.initMaps()
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
	s.requestPlans()
	return s.rebuildReplicas(now)
}

func (s *State) initMaps() {
	if s.nodes != nil {
		return
	}
	s.nodes = map[ID]*node{}
	s.replicas = map[ReplicaID]*replicaState{}
	s.drainedReplicas = map[ReplicaID]bool{}
	s.stoppedReplicas = map[ReplicaID]bool{}
	s.drainedInstances = map[ID]time.Time{}
}

// pool returns the pool with this name, nil if there is none.
func (s *State) pool(name string) *pool {
	for _, p := range s.pools {
		if p.name == name {
			return p
		}
	}
	return nil
}

// node returns the node of an instance and creates it if necessary.
func (s *State) node(id ID) *node {
	n := s.nodes[id]
	if n == nil {
		n = &node{id: id}
		s.nodes[id] = n
	}
	return n
}

// listed applies an instance list. It ignores an empty list after a non-empty one as a fault of the platform.
func (s *State) listed(now time.Time, instances []Instance) []Effect {
	s.initMaps()
	if len(instances) == 0 && len(s.listedIDs) > 0 {
		return nil
	}
	for _, id := range s.listedIDs {
		n := s.nodes[id]
		n.listed, n.delisted = false, true
	}
	s.listedIDs = s.listedIDs[:0]
	departing := map[ID]bool{}
	for _, listing := range instances {
		n := s.node(listing.id)
		departing[listing.id] = listing.leaving && !n.listing.leaving
		n.listing, n.listed, n.delisted = listing, true, false
		s.listedIDs = append(s.listedIDs, listing.id)
	}
	sort.Slice(s.listedIDs, func(i, j int) bool { return s.listedIDs[i] < s.listedIDs[j] })
	for i, id := range s.listedIDs {
		if departing[id] {
			s.recordDeparture(now, i)
		}
	}
	s.pruneNodes(now)
	s.requestPlans()
	return s.reevaluateAll(now)
}

// pruneNodes removes instances that are not listed, not recorded and without a recent probe result.
func (s *State) pruneNodes(now time.Time) {
	for id, n := range s.nodes {
		if !n.listed && n.replica == nil && !n.fresh(now, s.trustedSince, s.settings.maxProbeAge) {
			delete(s.nodes, id)
		}
	}
}

// probed applies a probe result.
func (s *State) probed(now time.Time, result ProbeResult) []Effect {
	s.initMaps()
	n := s.node(result.id)
	if !result.alive {
		return s.probeFailed(now, n, result.at)
	}
	if result.at.Before(s.trustedSince) || n.probed && result.at.Before(n.lastProbe.at) {
		return nil
	}
	changed := n.update(result)
	if changed {
		n.nextOrder = now
		s.requestPlans()
	}
	if n.replica == nil || !changed && n.replica.available {
		return nil
	}
	return s.reevaluate(n.replica, now)
}

// probeFailed applies a failed probe that the watchers of the instance agree on. One watcher alone proves nothing,
// since its own link may be broken.
func (s *State) probeFailed(now time.Time, n *node, at time.Time) []Effect {
	if at.Before(n.probeFailedAt) || at.Before(n.lastProbe.at) {
		return nil
	}
	n.probeFailedAt = at
	if n.replica == nil || !n.replica.available {
		return nil
	}
	return s.reevaluate(n.replica, now)
}

func (s *State) drainRequested(now time.Time, e DrainRequested) []Effect {
	s.initMaps()
	if e.replica != "" {
		s.drainedReplicas[e.replica] = !e.undo
		s.stoppedReplicas[e.replica] = e.stop
	}
	if e.id != "" {
		s.drainInstance(now, e.id, e.undo)
	}
	s.requestPlans()
	return s.reevaluateAll(now)
}

func (s *State) drainInstance(now time.Time, id ID, undo bool) {
	_, drained := s.drainedInstances[id]
	if undo {
		delete(s.drainedInstances, id)
		return
	}
	if drained {
		return
	}
	s.drainedInstances[id] = now
	if i := indexOf(s.listedIDs, id); i >= 0 {
		s.recordDeparture(now, i)
	}
}

func (s *State) reevaluateAll(now time.Time) []Effect {
	var effects []Effect
	for _, p := range s.pools {
		for _, rs := range p.replicas {
			effects = append(effects, s.reevaluate(rs, now)...)
		}
	}
	return effects
}
