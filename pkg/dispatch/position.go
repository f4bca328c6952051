package dispatch

import "github.com/azurepond/azurepond/pkg/route"

// PositionChanged reports whether the position of a stream is known: that of the last id that its caller received, if no event with
// content came after it.
type PositionChanged struct {
	attempt AttemptID
	isKnown bool
}

// NewPositionChanged returns the event of an attempt after which the position of its stream is known or not.
func NewPositionChanged(attempt AttemptID, isKnown bool) PositionChanged {
	return PositionChanged{attempt, isKnown}
}

func (PositionChanged) isEvent() {}

func (s *State) handlePositionChanged(e PositionChanged) {
	if a := s.attempts[e.attempt]; a != nil {
		a.call.isPositionUnknown = !e.isKnown
	}
}

// isContinuable reports whether another upstream can give the part of the response that the caller has not received. The events of a
// stream are continued after the last id.
func (c *call) isContinuable() bool {
	return !c.hasPartialAnswer || c.route.Kind() == route.Stream && !c.isPositionUnknown
}
