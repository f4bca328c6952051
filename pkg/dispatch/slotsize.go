package dispatch

import (
	"math"
	"time"
)

// Answers of different lengths: of two equally urgent calls the shorter one gets a slot first, since its slot is free again sooner.

// The limits of the estimate of a call's length.
const (
	outputWeight  = 0.05 // of one answer in the mean output of its route
	slotTimeRatio = 2.0  // of the mean slot time of a shard: above it a call is long, below the inverse it is short
)

// expectedOutput returns the expected output tokens of a call: the mean of the caller's estimate, which is often far off, and of what the
// route has sent, or the maximum if neither is known.
func (s *State) expectedOutput(c *call) int {
	mean, isMeasured := s.meanOutput[c.route.Name()]
	expected := mean
	switch {
	case c.lengthHint > 0 && isMeasured:
		expected = math.Sqrt(float64(c.lengthHint) * mean)
	case c.lengthHint > 0:
		expected = float64(c.lengthHint)
	case !isMeasured:
		return c.outputTokens
	}
	if c.outputTokens > 0 {
		expected = min(expected, float64(c.outputTokens))
	}
	return int(math.Round(expected))
}

// measureOutput adds the output of an attempt that completed to the mean of its route. It follows from the time since the first event,
// since events may have several tokens.
func (s *State) measureOutput(now time.Time, a *attempt) {
	engine, model := s.engineOf(a.call)
	step := engine.StepTime(model, max(a.upstream.running, a.upstream.load.running))
	if !s.isModelCall(a.call) || a.firstEventAt.IsZero() || step <= 0 {
		return
	}
	tokens := max(float64(now.Sub(a.firstEventAt))/float64(step), 1)
	name := a.call.route.Name()
	mean, isMeasured := s.meanOutput[name]
	if !isMeasured {
		mean = tokens
	}
	s.meanOutput[name] = mean + outputWeight*(tokens-mean)
}

// slotTime returns how long a call is expected to occupy a slot, 0 if unknown.
func (s *State) slotTime(r SlotRequest) time.Duration {
	service, _ := s.config.EngineService()
	engine := service.Engine()
	model, _ := engine.Model(r.shard.model)
	return engine.Read(model, r.promptTokens) + time.Duration(r.outputTokens)*engine.StepTime(model, engine.Slots())
}

// countSlotTime adds a call to the mean slot time of the calls that request slots.
func (t *slotTable) countSlotTime(slotTime time.Duration) {
	if t.meanSlotTime == 0 {
		t.meanSlotTime = slotTime
	}
	t.meanSlotTime += time.Duration(outputWeight * float64(slotTime-t.meanSlotTime))
}

// length returns the class of a call by its expected slot time: -1 for a short, 0 for a medium and 1 for a long one. Half of the long calls
// count as medium ones, so that long calls are served too while slots are scarce.
func (t *slotTable) length(w slotWaiter) int {
	switch ratio := float64(w.slotTime) / float64(max(t.meanSlotTime, 1)); {
	case w.slotTime == 0:
		return 0
	case ratio < 1/slotTimeRatio:
		return -1
	case ratio > slotTimeRatio && w.content%2 == 0:
		return 1
	}
	return 0
}
