package dispatch

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/azurepond/azurepond/pkg/quantity"
)

// rate is a moving average of events per second.
type rate struct {
	updatedAt time.Time
	value     float64
}

// rateWindow is the averaging time of a rate; calls take about two seconds.
const rateWindow = 2 * time.Second

func (r *rate) add(now time.Time) { r.addCount(now, 1) }

func (r *rate) addCount(now time.Time, count int) {
	r.value = r.perSecond(now) + float64(count)/rateWindow.Seconds()
	r.updatedAt = now
}

func (r *rate) perSecond(now time.Time) float64 {
	elapsed := now.Sub(r.updatedAt)
	if r.updatedAt.IsZero() || elapsed >= 2*rateWindow {
		return 0
	}
	return r.value * (1 - elapsed.Seconds()/(2*rateWindow.Seconds()))
}

// queueKey identifies the calls that wait for the same upstreams. A model that is not configured is a name that the caller chose.
func (c *call) queueKey() string {
	key := c.service
	if c.isModelKnown {
		key += "/" + c.model
	}
	if c.regions.IsRestricted() {
		key += "/" + strings.Join(c.regions.Names(), ",")
	}
	return key
}

func (s *State) countAnswer(now time.Time, c *call) {
	key := c.queueKey()
	if s.answerRates[key] == nil {
		s.answerRates[key] = &rate{}
	}
	s.answerRates[key].add(now)
}

// answersPerSecond returns the rate of the first events of a queue.
func (s *State) answersPerSecond(now time.Time, c *call) float64 {
	if r := s.answerRates[c.queueKey()]; r != nil {
		return r.perSecond(now)
	}
	return 0
}

// forgetAnswers removes the rates that fell to 0, and the times of routes that are no longer configured.
func (s *State) forgetAnswers(now time.Time) {
	maps.DeleteFunc(s.answerRates, func(_ string, r *rate) bool { return r.perSecond(now) == 0 })
	isConfigured := map[string]bool{}
	for _, name := range s.config.RouteNames() {
		isConfigured[name] = true
	}
	maps.DeleteFunc(s.answerSeconds, func(route string, _ float64) bool { return !isConfigured[route] })
}

// The limits of waiting in this daemon's queue and of Retry-After times.
const (
	maxWaitGoalRatio    = 0.6  // of the latency goal; the rest is for the first event itself
	maxWaitTimeoutRatio = 0.25 // of the call's timeout, for calls that can no longer meet the goal
	maxRetryAfterRatio  = 0.25 // of the time left to the caller; callers respect no longer ones
	minRetryAfter       = 100 * time.Millisecond
)

// enqueue queues a call that no upstream has room for, or refuses it if its expected wait is too long.
func (s *State) enqueue(now time.Time, up Upstreams, c *call, upstreams int) {
	expected := max(s.expectedWait(now, up, c), s.throttledFor(now, up, c))
	if now.Add(expected).After(s.waitDeadline(c)) {
		s.giveUp(now, c, Overload, s.retryAfter(now, up, c))
		return
	}
	s.queue = append(s.queue, c)
	if c.queuedAt.IsZero() {
		c.queuedAt = now
		s.note(now, c, NoteQueued, "", "", Inputs{upstreams: upstreams, expected: expected, waiting: len(s.queue)})
	}
}

// expectedWait returns the expected wait of a call behind those ahead of it. It assumes the recent rate of first
// events of its queue or the capacity of its upstreams, whichever is higher: the recent rate is low after a time of
// few calls.
func (s *State) expectedWait(now time.Time, up Upstreams, c *call) time.Duration {
	ahead := 0
	for _, other := range s.queue {
		if other != c && other.queueKey() == c.queueKey() && (!isByUrgency(s.policy) || s.compare(now, other, c) < 0) {
			ahead++
		}
	}
	perSecond := max(s.answersPerSecond(now, c), s.serviceRate(up, c))
	if perSecond <= 0 {
		return 0
	}
	return quantity.Seconds(float64(ahead) / perSecond)
}

// serviceRate returns the number of calls like c per second that the upstreams can serve for this daemon, which shares
// them with the other daemons.
func (s *State) serviceRate(up Upstreams, c *call) float64 {
	engine, model := s.engineOf(c)
	duration := quantity.Duration(float64(c.outputTokens), engine.StepTime(model, engine.Slots())) + engine.Read(model, c.promptTokens)
	if model.Name() == "" || duration <= 0 {
		duration = processCallTime
	}
	perSecond := 0.0
	for _, t := range s.targets(up, c) {
		perSecond += float64(t.slots) / (duration.Seconds() * t.slowdown)
	}
	return perSecond / float64(max(s.fleetSize, 1))
}

// waitDeadline returns the time until which a call may wait for an upstream.
func (s *State) waitDeadline(c *call) time.Time {
	onTimeLimit := time.Duration(maxWaitGoalRatio * float64(c.route.LatencyGoal()))
	lateLimit := time.Duration(maxWaitTimeoutRatio * float64(c.deadline.Sub(c.arrived)))
	if c.hasPartialAnswer {
		lateLimit = c.deadline.Sub(c.arrived)
	}
	return c.arrived.Add(max(onTimeLimit, lateLimit))
}

func (s *State) dequeue(c *call) {
	if i := slices.Index(s.queue, c); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
	}
}

// serveQueue sends queued calls in their order while upstreams have room, and refuses those past their wait deadline.
func (s *State) serveQueue(now time.Time, up Upstreams) {
	if len(s.queue) == 0 {
		return
	}
	waiting := slices.Clone(s.queue)
	if isByUrgency(s.policy) {
		slices.SortStableFunc(waiting, func(a, b *call) int { return s.compare(now, a, b) })
	}
	full := map[string]bool{}
	for _, c := range waiting {
		if !full[c.queueKey()] {
			best, upstreams, isFound := s.choose(now, up, c)
			if isFound {
				s.dequeue(c)
				s.send(now, up, c, best, upstreams)
				continue
			}
			// A call that tried upstreams before has fewer left, so others with its key may still find room.
			full[c.queueKey()] = len(c.tried) == 0
		}
		if now.After(s.waitDeadline(c)) {
			s.dequeue(c)
			s.giveUp(now, c, Overload, s.retryAfter(now, up, c))
		}
	}
}

// lateness returns 1 for a call that can no longer meet its latency goal, else 0; calls that still can go first.
func (s *State) lateness(now time.Time, c *call) int {
	if c.isCallerRetry() || now.Sub(c.arrived) > time.Duration(maxWaitGoalRatio*float64(c.route.LatencyGoal())) {
		return 1
	}
	return 0
}

// retryAfter returns the Retry-After time of a refused call: the expected wait, with jitter so that refused callers do
// not retry at the same time. While all upstreams throttle this daemon, it is the time until the first one ends that.
func (s *State) retryAfter(now time.Time, up Upstreams, c *call) time.Duration {
	if wait := s.throttledFor(now, up, c); wait > 0 {
		return wait + time.Duration(s.random.Float64()*float64(throttleSpread))
	}
	longest := time.Duration(maxRetryAfterRatio * float64(c.deadline.Sub(now)))
	wait := max(s.expectedWait(now, up, c), minRetryAfter)
	wait += time.Duration(s.random.Float64() * float64(wait))
	return max(min(wait, longest), 0)
}
