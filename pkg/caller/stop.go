package caller

import "time"

// stop is the progress of a planned stop.
type stop struct {
	begun time.Time
	done  bool
}

func (p *stop) hasBegun() bool { return !p.begun.IsZero() }

// refuses reports whether new calls are turned away: callers that heard of the address have had time to forget it.
func (p *stop) refuses(now time.Time, settings Settings) bool {
	return p.hasBegun() && !now.Before(p.begun.Add(settings.PropagationDelay()+settings.AddressTTL()))
}

func (s *State) beginStop(now time.Time) []Effect {
	if !s.stop.hasBegun() {
		s.stop.begun = now
	}
	return nil
}

// completeStop ends a planned stop once nobody holds the address and nothing runs or waits.
func (s *State) completeStop(now time.Time) []Effect {
	if s.stop.done || !s.stop.refuses(now, s.settings) || len(s.calls) > 0 {
		return nil
	}
	s.stop.done = true
	return []Effect{CompleteStop{}}
}
