package caller

import (
	"maps"
	"slices"
	"time"
)

// stop is the progress of a planned stop.
type stop struct {
	startedAt time.Time
	ends      time.Time // of the process, zero if it goes on
	ended     bool      // all calls were ended
	completed bool
}

func (s *stop) hasStarted() bool { return !s.startedAt.IsZero() }

// rejectsCalls reports whether new calls are rejected: the address has expired in the caches of all callers.
func (s *stop) rejectsCalls(now time.Time, settings Settings) bool {
	return s.hasStarted() && !now.Before(s.startedAt.Add(settings.PropagationDelay()+settings.AddressTTL()))
}

func (s *State) startStop(now time.Time) []Effect {
	if !s.stop.hasStarted() {
		s.stop.startedAt = now
	}
	return nil
}

// unrepeatableMargin is the factor on the expected time of a call that its caller could not repeat if it was cut.
const unrepeatableMargin = 2

// mayOutlastStop reports whether a call that is dispatched after wait may still run when this process ends.
func (s *State) mayOutlastStop(now time.Time, t *target, call Call, wait time.Duration) bool {
	if s.stop.ends.IsZero() || !call.deadline.After(s.stop.ends) {
		return false
	}
	expected := t.latency.upperBound(call.maxTokens)
	switch {
	case call.idempotent:
	case expected == 0:
		return true // nothing is known of such calls
	default:
		expected *= unrepeatableMargin
	}
	return now.Add(wait + expected).After(s.stop.ends)
}

// endCalls ends all calls when this process ends: those that wait did not run, and those that run may have run.
func (s *State) endCalls(now time.Time) []Effect {
	if s.stop.ended || s.stop.ends.IsZero() || now.Before(s.stop.ends) {
		return nil
	}
	s.stop.ended = true
	var effects []Effect
	for _, name := range s.targetNames {
		effects = append(effects, s.rejectAll(s.targets[name], NewNotRun(DaemonStopping, stoppingRetryAfter))...)
	}
	effects = append(effects, EndCalls{})
	for _, id := range slices.Sorted(maps.Keys(s.calls)) {
		effects = append(effects, Cancel{id})
	}
	return effects
}

// completeStop completes a planned stop once new calls are rejected and no call runs or waits.
func (s *State) completeStop(now time.Time) []Effect {
	if s.stop.completed || !s.stop.rejectsCalls(now, s.settings) || len(s.calls) > 0 {
		return nil
	}
	s.stop.completed = true
	return []Effect{CompleteStop{}}
}
