package dispatch

import (
	"slices"
	"time"

	"github.com/azurepond/azurepond/pkg/quantity"
	"github.com/azurepond/azurepond/pkg/route"
)

// crossCentreCost is the extra cost of an upstream in another data centre, a round trip of a few milliseconds.
const crossCentreCost = 3 * time.Millisecond

// candidate is an upstream for a call, with its estimated calls and the expected cost.
type candidate struct {
	target   Target
	upstream *upstream
	calls    float64
	cost     time.Duration
}

// place finds an upstream for a call; a new call for a model needs a slot at a replica first, and so does each send while an upstream
// of the call names a limit.
func (s *State) place(now time.Time, up Upstreams, c *call) {
	s.workOn(c)
	if c.trial == nil && s.needsSlot(now, up, c) && s.hasUntried(up, c) && s.throttledFor(now, up, c) == 0 {
		s.requestSlot(now, up, c)
		return
	}
	s.placeWithoutSlot(now, up, c)
}

// placeWithoutSlot sends a call to the upstream with the lowest cost, queues it if none has room, or refuses it.
func (s *State) placeWithoutSlot(now time.Time, up Upstreams, c *call) {
	s.workOn(c)
	best, upstreams, isFound := s.choose(now, up, c)
	if isFound && (!isByUrgency(s.policy) || !s.hasQueued(c)) {
		s.send(now, up, c, best, upstreams)
		return
	}
	if upstreams == 0 && (!s.mayAppear(c) || c.regions.IsRestricted() && len(s.targets(up, c)) == 0) {
		s.giveUp(now, c, NoUpstream, s.retryAfter(now, up, c))
		return
	}
	if s.opensTooLate(now, up, c) {
		s.giveUp(now, c, NoUpstream, s.openingRetryAfter(now, up, c))
		return
	}
	s.enqueue(now, up, c, upstreams)
	if isFound {
		s.serveQueue(now, up)
	}
}

// hasUntried reports whether a call has an upstream to which it was not sent yet.
func (s *State) hasUntried(up Upstreams, c *call) bool {
	return slices.ContainsFunc(s.targets(up, c), func(t Target) bool { return !slices.Contains(c.tried, t.name) })
}

// hasQueued reports whether other calls wait for the same upstreams; a new call must not overtake them.
func (s *State) hasQueued(c *call) bool {
	return slices.ContainsFunc(s.queue, func(other *call) bool { return other != c && other.queueKey() == c.queueKey() })
}

// mayAppear reports whether an upstream for the call may appear soon, since its model is configured.
func (s *State) mayAppear(c *call) bool {
	if !s.isModelCall(c) {
		return false
	}
	_, model := s.engineOf(c)
	return model.Name() != ""
}

// opensTooLate reports whether no replica of a call's model is open, and none can open before the call has to be refused.
func (s *State) opensTooLate(now time.Time, up Upstreams, c *call) bool {
	return s.isModelCall(c) && s.mayAppear(c) && len(s.targets(up, c)) == 0 &&
		up.NextOpening(now, c.model).After(s.waitDeadline(c))
}

// openingRetryAfter returns the Retry-After time of a call that is refused because no replica is open: when one may open, also if
// that is after the caller's deadline. Jitter spreads the retries, since they all need a prefill.
func (s *State) openingRetryAfter(now time.Time, up Upstreams, c *call) time.Duration {
	return up.NextOpening(now, c.model).Sub(now) + time.Duration(s.random.Float64()*float64(openingSpread))
}

// openingSpread is the time over which the callers return that were refused because no replica was open.
const openingSpread = 500 * time.Millisecond // in which a replica prefills the prompts of a few dozen calls

// choose returns an upstream with room for a call, and the number of untried upstreams, with room or without. A stream of a replica that
// all others have refused may return to one that it was on.
func (s *State) choose(now time.Time, up Upstreams, c *call) (best candidate, untried int, isFound bool) {
	s.workOn(c)
	var candidates []candidate
	mayReturn := c.hasPartialAnswer && c.attempt == nil && s.isModelCall(c) && !s.hasUntried(up, c)
	for _, t := range s.targets(up, c) {
		if slices.Contains(c.tried, t.name) && !mayReturn {
			continue
		}
		untried++
		if found, hasRoom := s.evaluate(now, c, t); hasRoom {
			candidates = append(candidates, found)
		}
	}
	if len(candidates) == 0 {
		return candidate{}, untried, false
	}
	if c.trial != nil {
		return leastLoaded(candidates), untried, true
	}
	return s.pick(candidates), untried, true
}

// targets returns the upstreams that accept a call.
func (s *State) targets(up Upstreams, c *call) []Target {
	if s.isModelCall(c) {
		return within(up, up.Replicas(c.model), c.regions)
	}
	return within(up, up.Processes(c.service), c.regions)
}

// within returns the targets that are in some regions.
func within(up Upstreams, targets []Target, regions route.Regions) []Target {
	if !regions.IsRestricted() {
		return targets
	}
	return slices.DeleteFunc(slices.Clone(targets), func(t Target) bool { return !up.IsWithin(t.name, regions) })
}

// evaluate returns a target as a candidate for a call, and whether it has room.
func (s *State) evaluate(now time.Time, c *call, t Target) (candidate, bool) {
	u := s.upstream(t.name)
	result := candidate{target: t, upstream: u, calls: u.estimatedCalls(now)}
	if !u.isAvailable(now) || s.limitsRequests(now, t) {
		return result, false
	}
	if s.isModelCall(c) {
		result.cost = s.firstEventTime(c, result)
		if result.calls >= float64(t.slots) {
			return result, false
		}
	} else {
		result.cost = quantity.Duration(1+result.calls, processCallTime)
		if result.calls >= float64(t.slots)*maxCallsPerProcessSlot {
			return result, false
		}
	}
	if !t.isLocal {
		result.cost += crossCentreCost
	}
	return result, true
}

// processCallTime is the assumed time of one call of a plain service, whose real time is unknown.
const processCallTime = 20 * time.Millisecond

// maxCallsPerProcessSlot is the maximum number of calls per slot of a process of a plain service. Calls above one per
// slot wait in the queue of the process.
const maxCallsPerProcessSlot = 2.0

// firstEventTime returns the expected time to the first event of a call at a replica: one event interval of all running
// calls, and the prefill time of the pending prompts and of its own.
func (s *State) firstEventTime(c *call, at candidate) time.Duration {
	engine, model := s.engineOf(c)
	expected := engine.EventInterval(model, quantity.Count(at.calls)+1) +
		engine.Read(model, at.upstream.pendingPrefillTokens+c.promptTokens)
	return quantity.Duration(at.target.slowdown, expected)
}

func (s *State) send(now time.Time, up Upstreams, c *call, best candidate, upstreams int) {
	s.lastAttempt++
	way := up.Way(now, best.target.name, c.regions)
	a := &attempt{
		id: s.lastAttempt, call: c, upstream: best.upstream, sentAt: now, stallTimeout: s.stallTimeout(c, best.target),
		promptTime: s.promptTime(c, best), hasSlot: c.hasSlot, isDirect: way.IsDirect(),
	}
	c.hasSlot = false
	s.spendRetry(now, c)
	s.attempts[a.id] = a
	best.upstream.begin(now, c.promptTokens)
	s.markUnreported(a, best.target.name)
	s.runningByOrganisation[c.organisation]++
	c.attempt = a
	c.sends++
	c.tried = append(c.tried, best.target.name)
	c.hasErrorResponse = false
	s.emit(Send{
		attempt: a.id, id: c.id, route: c.route.Name(), upstream: best.target.name, address: best.target.address,
		organisation: c.organisation, priority: c.priority, timeLeft: c.deadline.Sub(now), lastEventID: c.lastEventID,
		kind: c.route.Kind(), isRetryable: c.route.Retryable(), stallTimeout: a.stallTimeout, way: way,
	})
	s.note(now, c, NoteSent, best.target.name, "",
		Inputs{upstreams, best.calls, best.cost, len(s.queue), best.upstream.reportAge(now)})
}
