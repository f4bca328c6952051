package caller

import "time"

// stop is the progress of a planned stop.
type stop struct {
	startedAt time.Time
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

// completeStop completes a planned stop once new calls are rejected and no call runs or waits.
func (s *State) completeStop(now time.Time) []Effect {
	if s.stop.completed || !s.stop.rejectsCalls(now, s.settings) || len(s.calls) > 0 {
		return nil
	}
	s.stop.completed = true
	return []Effect{CompleteStop{}}
}
