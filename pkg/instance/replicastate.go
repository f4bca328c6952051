package instance

import "time"

// replicaState is this daemon's view of one recorded replica.
type replicaState struct {
	entry            *entry
	model            Model
	available        bool
	reason           Reason
	unavailableSince time.Time
	drainingSince    time.Time
}

// evaluate returns why the replica is not available at now, by the probe results that this daemon has.
func (s *State) evaluate(rs *replicaState, now time.Time) Reason {
	if rs.entry.draining || rs.entry.retiring || s.drainedReplicas[rs.entry.replica] {
		return Reason{cause: CauseDraining}
	}
	for rank := range rs.entry.slots {
		if cause := s.evaluateMember(rs.entry, rank, now); cause != CauseNone {
			return Reason{cause, rs.entry.slots[rank].id}
		}
	}
	return Reason{}
}

// evaluateMember returns why one member makes the replica unavailable, if it does.
func (s *State) evaluateMember(e *entry, rank int, now time.Time) Cause {
	id := e.slots[rank].id
	if id == "" {
		return CauseVacant
	}
	n := s.nodes[id]
	if n == nil || !n.fresh(now, s.trustedSince, s.settings.maxProbeAge) {
		return CauseMissing
	}
	if n.lastProbe.boot != e.slots[rank].boot {
		return CauseRestarted
	}
	if n.lastProbe.assignment != NewAssignment(e.replica, e.fencingToken) {
		return CauseMisassigned
	}
	if n.lastProbe.phase != PhaseReady {
		return CauseNotReady
	}
	if n.listing.leaving || n.delisted {
		return CauseLeaving
	}
	return CauseNone
}

// reevaluate updates the availability of the replica and returns the effect of a change.
func (s *State) reevaluate(rs *replicaState, now time.Time) []Effect {
	reason := s.evaluate(rs, now)
	available := reason.cause == CauseNone
	changed := available != rs.available
	if changed && !available {
		rs.unavailableSince = now
	}
	rs.available, rs.reason = available, reason
	if !changed {
		return nil
	}
	return []Effect{AvailabilityChanged{rs.entry.replica, rs.entry.model, available, reason}}
}
