package dispatch

import (
	"time"

	"github.com/azurepond/azurepond/pkg/quantity"
)

// Detection of stalled streams: a replica that lost a member, or whose head lost the connection to one, still accepts
// calls but delivers nothing for seconds.

// The stall timeouts of streams.
const (
	stallIntervals    = 3                      // missed in a row; the engine prefills other prompts between events
	minStallTimeout   = 250 * time.Millisecond // several large prompts between two events take that long
	plainStallTimeout = time.Second            // of a plain service, whose speed is unknown
)

// stallTimeout returns the pause after which a stream is stalled.
func (s *State) stallTimeout(c *call, t Target) time.Duration {
	if !s.isModelCall(c) {
		return plainStallTimeout
	}
	engine, model := s.engineOf(c)
	interval := quantity.Duration(t.slowdown, engine.EventInterval(model, engine.Slots()))
	return max(minStallTimeout, stallIntervals*interval)
}

// promptTime returns the expected time until a replica has read the prompt of a call and those that were sent before it, 0 for a plain
// service. A stream without an event within it is not stalled: a prompt of 46,000 tokens takes a second.
func (s *State) promptTime(c *call, at candidate) time.Duration {
	if !s.isModelCall(c) {
		return 0
	}
	engine, model := s.engineOf(c)
	return min(quantity.Duration(at.target.slowdown, engine.Read(model, at.upstream.pendingPrefillTokens+c.promptTokens)), maxPromptTime)
}

// maxPromptTime limits promptTime, since callers state the tokens of their prompts.
const maxPromptTime = 10 * time.Second

// maxStallTimeouts is the number of stall timeouts after which a stream is retried elsewhere, even if all members of
// its replica respond: one may be cut off from the others. Together the timeouts stay below the two seconds after which
// callers give up.
const maxStallTimeouts = 4

// stallWaits is how often an event of a stream waits for this daemon until it resets the stall timeout: to be read, and written.
const stallWaits = 2

// handleStreamStalled reports the upstream of a stalled stream as suspect, and retries the stream elsewhere if the
// stall lasts and another upstream has room, or at once if the path to the upstream is lost.
func (s *State) handleStreamStalled(now time.Time, up Upstreams, e StreamStalled) {
	a := s.attempts[e.attempt]
	if a == nil {
		return
	}
	s.workOn(a.call)
	if e.timeouts == 1 {
		a.isSuspected = false // this stall is a new one
	}
	silence := time.Duration(e.timeouts)*a.stallTimeout - stallWaits*s.lag.Recent(now)
	if !a.hasEvent {
		silence -= a.promptTime
	}
	if silence >= a.stallTimeout && !a.isSuspected {
		a.isSuspected = true
		s.emit(Suspect{a.target(), "stream stalled"})
	}
	isPathLost := a.isDirect && !up.Way(now, a.target(), a.call.regions).IsDirect()
	isLong := silence >= maxStallTimeouts*a.stallTimeout && s.hasRoomElsewhere(now, up, a.call)
	if isLong || isPathLost && silence >= a.stallTimeout {
		s.cancelToRetry(now, up, a)
	}
}

// hasRoomElsewhere reports whether an upstream to which a call was not sent yet has room for it. A stream that left for a full one would wait
// there, while the silent one may go on.
func (s *State) hasRoomElsewhere(now time.Time, up Upstreams, c *call) bool {
	_, _, isFound := s.choose(now, up, c)
	return isFound
}
