package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/azurepond/azurepond/pkg/route"
)

// Shutdown is the schedule of a graceful shutdown of this daemon, which with the zero value ends at once.
type Shutdown struct {
	callersLeave time.Time
	refuses      time.Time
	ends         time.Time
}

// NewShutdown returns the schedule of a daemon that callers still find in their address lists until callersLeave, that refuses all new
// requests from refuses on, and whose connections are closed when it ends.
func NewShutdown(callersLeave, refuses, ends time.Time) Shutdown {
	return Shutdown{callersLeave, refuses, ends}
}

// finalAnswerTime is the time before the end of a shutdown in which the last answers reach their callers.
const finalAnswerTime = 200 * time.Millisecond

// lastAnswer returns when the calls that still run must be answered.
func (s Shutdown) lastAnswer() time.Time { return s.ends.Add(-finalAnswerTime) }

// refusesNew reports whether a call that arrives is refused, since this daemon shuts down.
func (s *State) refusesNew(now time.Time, c *call) bool {
	return s.stopping && (!now.Before(s.shutdown.refuses) || s.mayOutlast(now, c))
}

// mayOutlast reports whether a call may still run when this daemon ends. Callers that follow their address lists meet no refusal
// unless the call is expected to take that long.
func (s *State) mayOutlast(now time.Time, c *call) bool {
	if !c.deadline.After(s.shutdown.lastAnswer()) {
		return false
	}
	return !now.Before(s.shutdown.callersLeave) || s.expectedSeconds(c) > s.shutdown.lastAnswer().Sub(now).Seconds()
}

// expectedSeconds returns how long a call takes at most at a replica that is full but not slow, or on average at a plain service, 0 if no
// answer on its route was seen.
func (s *State) expectedSeconds(c *call) float64 {
	if !s.isModelCall(c) {
		return s.answerSeconds[c.route.Name()]
	}
	engine, model := s.engineOf(c)
	return engine.Read(model, c.promptTokens).Seconds() + engine.StepTime(model, engine.Slots()).Seconds()*float64(c.outputTokens)
}

// proceedShutdown refuses the calls that wait, have not run and may outlast this daemon, since another one can finish them. Shortly before
// the end, it gives all calls their final answers except those whose answers have begun.
func (s *State) proceedShutdown(now time.Time) {
	if !s.stopping {
		return
	}
	isLast := !now.Before(s.shutdown.lastAnswer())
	for _, id := range slices.Sorted(maps.Keys(s.calls)) {
		c := s.calls[id]
		switch {
		case c.attempt == nil && c.runs == 0 && !c.hasPartialAnswer && s.mayOutlast(now, c):
			s.refuse(now, c, DaemonStopping, stoppingRetryAfter)
		case !isLast || c.finalEffect != nil:
		case c.attempt == nil:
			s.giveUp(now, c, DaemonStopping, stoppingRetryAfter)
		case !c.hasPartialAnswer || c.route.Kind() == route.Stream && !c.attempt.hasEvent:
			s.halt(c, Fail{c.id, DaemonStopping, false})
		}
	}
}

// answerWeight is the weight of one answer in the average time of answers.
const answerWeight = 0.1

// measureAnswer adds the time of an answer of a plain service to the average of its route.
func (s *State) measureAnswer(now time.Time, a *attempt) {
	if s.isModelCall(a.call) {
		return
	}
	route, seconds := a.call.route.Name(), now.Sub(a.sentAt).Seconds()
	if average, isKnown := s.answerSeconds[route]; isKnown {
		seconds = average + answerWeight*(seconds-average)
	}
	s.answerSeconds[route] = seconds
}
