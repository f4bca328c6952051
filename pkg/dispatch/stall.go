package dispatch

import "time"

// The decisions of this file answer streams that stand still: a replica that lost a member, or whose head lost the way to
// one, goes on accepting and brings nothing for seconds.

// The pauses after which a stream counts as silent.
const (
	stallPasses       = 3                      // passes that a stream may miss: prompts of others are read between them
	minStallTimeout   = 250 * time.Millisecond // several large prompts in one pass take that long
	plainStallTimeout = time.Second            // streams of a plain service, whose pace is not known
)

// silenceOf returns the pause after which a stream counts as silent.
func (s *State) stallTimeout(c *call, t Target) time.Duration {
	if !s.isModelCall(c) {
		return plainStallTimeout
	}
	engine, model := s.engineOf(c)
	pass := time.Duration(float64(engine.EventInterval(model, engine.Slots())) * t.slowdown)
	return max(minStallTimeout, stallPasses*pass)
}

// silenceMost is after how many pauses a stream that may go on elsewhere is taken from its replica, though all its members
// answer: one may be cut off from the others. The pauses together stay below the two seconds after which callers give up.
const maxStallTimeouts = 4

// silence suspects the upstream of a stream that fell silent, and takes the stream away if it stays so.
func (s *State) handleStreamStalled(now time.Time, e StreamStalled) {
	a := s.attempts[e.attempt]
	if a == nil {
		return
	}
	if e.timeouts == 1 {
		s.emit(Suspect{a.target(), "a stream fell silent"})
	}
	if e.timeouts >= maxStallTimeouts {
		s.cancelToRetry(now, a)
	}
}
