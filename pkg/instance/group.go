package instance

import "time"

// group is what this daemon judges of one recorded replica.
type group struct {
	entry    *entry
	model    Model
	whole    bool
	reason   Reason
	broken   time.Time
	draining time.Time
}

// judge returns why the replica is not whole at now, by the evidence that this daemon holds.
func (s *State) judge(g *group, now time.Time) Reason {
	if g.entry.draining || g.entry.retiring || s.drainedReplicas[g.entry.replica] {
		return Reason{cause: Draining}
	}
	for rank := range g.entry.slots {
		if cause := s.judgeMember(g.entry, rank, now); cause != None {
			return Reason{cause, g.entry.slots[rank].id}
		}
	}
	return Reason{}
}

// judgeMember returns what keeps one member from its part in the replica.
func (s *State) judgeMember(e *entry, rank int, now time.Time) Cause {
	id := e.slots[rank].id
	if id == "" {
		return Vacant
	}
	n := s.nodes[id]
	if n == nil || !n.fresh(now, s.trusted, s.settings.maxProbeAge) {
		return Missing
	}
	if n.sighting.boot != e.slots[rank].boot {
		return Restarted
	}
	if n.sighting.assignment != NewAssignment(e.replica, e.fence) {
		return Elsewhere
	}
	if n.sighting.phase != Ready {
		return Unready
	}
	if n.row.leaving || n.gone {
		return Leaving
	}
	return None
}

// rejudge judges the replica anew and returns the effect of a change.
func (s *State) rejudge(g *group, now time.Time) []Effect {
	reason := s.judge(g, now)
	whole := reason.cause == None
	changed := whole != g.whole
	if changed && !whole {
		g.broken = now
	}
	g.whole, g.reason = whole, reason
	if !changed {
		return nil
	}
	return []Effect{AvailabilityChanged{g.entry.replica, g.entry.model, whole, reason}}
}
