package dispatch

import (
	"slices"
	"time"
)

// rate is how many calls of one kind begin to be answered in a second, over the last seconds.
type rate struct {
	at    time.Time
	value float64
}

// rateMemory is the time over which the rate is averaged; calls last about two seconds.
const rateMemory = 2 * time.Second

func (r *rate) add(now time.Time) {
	r.value = r.per(now) + 1/rateMemory.Seconds()
	r.at = now
}

func (r *rate) per(now time.Time) float64 {
	gone := now.Sub(r.at)
	if r.at.IsZero() || gone >= 2*rateMemory {
		return 0
	}
	return r.value * (1 - gone.Seconds()/(2*rateMemory.Seconds()))
}

func (c *call) kind() string { return c.service + "/" + c.model }

func (s *State) rate(kind string) *rate {
	r := s.rates[kind]
	if r == nil {
		r = &rate{}
		s.rates[kind] = r
	}
	return r
}

func (s *State) served(now time.Time, c *call) { s.rate(c.kind()).add(now) }

// The bounds of waiting here.
const (
	waitOfGoal = 0.6  // of the goal; the rest is for the first event itself
	waitOfTime = 0.25 // of the time that the caller waits, for calls that can only be late
	againOfWay = 0.25 // of the time that is left, the most that a caller is told to stay away
	minAgain   = 100 * time.Millisecond
)

// wait queues a call that no upstream has room for, if it can be served in time.
func (s *State) wait(now time.Time, up Upstreams, c *call, others int) {
	expected := s.expectedWait(now, up, c)
	if now.Add(expected).After(s.patienceOf(c)) {
		s.giveUp(now, c, Overload, s.again(now, up, c))
		return
	}
	s.queue = append(s.queue, c)
	if c.queued.IsZero() {
		c.queued = now
		s.note(now, c, NoteQueued, "", "", Inputs{heads: others, best: expected, waiting: len(s.queue)})
	}
}

// expectedWait returns how long a call would wait behind those that are ahead of it: at the rate at which calls of its
// kind began to be answered lately, or at that which its upstreams can bear, since little is answered while little comes.
func (s *State) expectedWait(now time.Time, up Upstreams, c *call) time.Duration {
	ahead := 0
	for _, other := range s.queue {
		if other != c && other.kind() == c.kind() && (s.plain || s.compare(now, other, c) < 0) {
			ahead++
		}
	}
	per := max(s.rate(c.kind()).per(now), s.bearable(up, c))
	if per <= 0 {
		return 0
	}
	return time.Duration(float64(ahead) / per * float64(time.Second))
}

// bearable returns how many calls like c the upstreams can end in a second for this daemon, as one of those that share
// them.
func (s *State) bearable(up Upstreams, c *call) float64 {
	engine, model := s.engineOf(c)
	takes := engine.StepTime(model, engine.Slots())*time.Duration(c.output) + engine.Read(model, c.prompt)
	if model.Name() == "" || takes <= 0 {
		takes = processCost
	}
	per := 0.0
	for _, t := range s.targets(up, c) {
		per += float64(t.slots) / (takes.Seconds() * t.slowdown)
	}
	return per / float64(s.sharers)
}

// patienceOf returns until when a call may wait here.
func (s *State) patienceOf(c *call) time.Time {
	limit := time.Duration(waitOfGoal * float64(c.route.LatencyGoal()))
	late := time.Duration(waitOfTime * float64(c.ends.Sub(c.arrived)))
	if c.started {
		late = c.ends.Sub(c.arrived)
	}
	return c.arrived.Add(max(limit, late))
}

func (s *State) unqueue(c *call) {
	if i := slices.Index(s.queue, c); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
	}
}

// serveQueue sends the calls that wait while there is room, the most urgent first, and refuses those that waited for
// too long.
func (s *State) serveQueue(now time.Time, up Upstreams) {
	if len(s.queue) == 0 {
		return
	}
	waiting := slices.Clone(s.queue)
	if !s.plain {
		slices.SortStableFunc(waiting, func(a, b *call) int { return s.compare(now, a, b) })
	}
	full := map[string]bool{}
	for _, c := range waiting {
		if !full[c.kind()] {
			best, others, isFound := s.choose(now, up, c)
			if isFound {
				s.unqueue(c)
				s.send(now, c, best, others)
				continue
			}
			full[c.kind()] = len(c.tried) == 0
		}
		if now.After(s.patienceOf(c)) {
			s.unqueue(c)
			s.giveUp(now, c, Overload, s.again(now, up, c))
		}
	}
}

// lateness returns 1 for a call that can only be late, which gives way to those that can be on time, else 0.
func (s *State) lateness(now time.Time, c *call) int {
	if c.isReturned() || now.Sub(c.arrived) > time.Duration(waitOfGoal*float64(c.route.LatencyGoal())) {
		return 1
	}
	return 0
}

// again returns when a refused caller should come back: when those that wait now have been served, spread so that
// refused callers don't return together.
func (s *State) again(now time.Time, up Upstreams, c *call) time.Duration {
	most := time.Duration(againOfWay * float64(c.ends.Sub(now)))
	wait := max(s.expectedWait(now, up, c), minAgain)
	wait += time.Duration(s.random.Float64() * float64(wait))
	return max(min(wait, most), 0)
}
