package replica

import (
	"slices"
	"time"

	"github.com/azurepond/azurepond/pkg/route"
)

// formingReplica collects the members of a replica that is not open yet.
type formingReplica struct {
	ranks   []int // distinct
	readyAt time.Time
}

// NextOpening returns the earliest time at which a replica of a model may open: when all members of one that is forming should
// be ready, or else after the shortest repair, each with the time of the opening itself. If too few instances are left outside the
// evacuated data centres, it returns the time after noOpening.
func (s *State) NextOpening(now time.Time, model string) time.Time {
	m, _ := s.engine.Model(model)
	if !s.canOpen(m) {
		return now.Add(noOpening)
	}
	earliest := now.Add(min(m.WarmLoadTime(), m.LoadTime()) + s.engine.FormationTime())
	for _, forming := range s.formingReplicas(now, m) {
		if len(forming.ranks) != m.ReplicaSize() {
			continue
		}
		if opensAt := forming.readyAt.Add(s.engine.FormationTime()); opensAt.Before(earliest) {
			earliest = opensAt
		}
	}
	return earliest
}

// formingReplicas returns the replicas of a model whose members join or are ready, each with the time at which the last one
// should be ready.
func (s *State) formingReplicas(now time.Time, m route.Model) map[replicaEpoch]*formingReplica {
	replicas := map[replicaEpoch]*formingReplica{}
	for _, id := range s.ids() {
		n := s.nodes[id]
		isForming := n.membership.phase == PhaseJoining || n.membership.phase == PhaseReady || n.membership.phase == PhaseOpen
		if !n.isAlive() || n.leaving || s.isEvacuated(n) || !isForming || n.loadedModel != m.Name() {
			continue
		}
		key := n.membership.replicaEpoch()
		if replicas[key] == nil {
			replicas[key] = &formingReplica{readyAt: now}
		}
		r := replicas[key]
		if !slices.Contains(r.ranks, n.membership.rank) {
			r.ranks = append(r.ranks, n.membership.rank)
		}
		if n.membership.phase != PhaseJoining {
			continue
		}
		if readyAt := n.membershipChanged.Add(n.loadTime(m)); readyAt.After(r.readyAt) {
			r.readyAt = readyAt
		}
	}
	return replicas
}
