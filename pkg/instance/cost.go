package instance

import "time"

// Costs are the group downtime and the stranded accelerator-time since the first tick, as observed by this daemon.
type Costs struct {
	downtime time.Duration
	stranded time.Duration
	lastTick time.Time
}

// Downtime returns the group downtime: replica-time in which wanted replicas were unavailable.
func (c Costs) Downtime() time.Duration { return c.downtime }

// Stranded returns the accelerator-time in which listed accelerators were in no available replica.
func (c Costs) Stranded() time.Duration { return c.stranded }

// Costs returns the costs of all models so far, including instances without a replica.
func (s *State) Costs() Costs { return s.costs }

// accumulateCosts adds the costs since the last tick. It assumes that the present state has lasted since then.
func (s *State) accumulateCosts(now time.Time) {
	passed := now.Sub(s.costs.lastTick)
	first := s.costs.lastTick.IsZero()
	s.costs.lastTick = now
	if first || passed <= 0 {
		return
	}
	for _, p := range s.pools {
		for _, m := range p.models {
			s.addCosts(m.name, time.Duration(p.unavailableReplicas(m))*passed, 0)
		}
		s.addStranded(p, passed)
	}
}

// unavailableReplicas returns how many wanted replicas of the model are not available.
func (p *pool) unavailableReplicas(m Model) int {
	available := 0
	for _, rs := range p.replicas {
		if rs.available && rs.entry.model == m.name {
			available++
		}
	}
	return max(m.replicas-available, 0)
}

// addStranded adds the accelerators of the pool that are in no available replica. They count for the model whose
// replica contains them, or for no model.
func (s *State) addStranded(p *pool, passed time.Duration) {
	for _, id := range s.listedIDs {
		n := s.nodes[id]
		if !s.owns(p, n) || n.replica != nil && n.replica.available {
			continue
		}
		model := ""
		if n.replica != nil {
			model = n.replica.entry.model
		}
		s.addCosts(model, 0, time.Duration(n.listing.accelerators)*passed)
	}
}

// addCosts adds to the costs of model and to the total.
func (s *State) addCosts(model string, downtime, stranded time.Duration) {
	s.costs.downtime += downtime
	s.costs.stranded += stranded
	c := s.costsOf(model)
	c.downtime += downtime
	c.stranded += stranded
}
