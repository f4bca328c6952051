package dispatch

import (
	"slices"
	"time"
)

// farCost is what a request in another data centre costs more: its delay both ways is a few milliseconds.
const crossCentreCost = 3 * time.Millisecond

// choice is an upstream and what is expected there.
type candidate struct {
	target   Target
	upstream *upstream
	calls    float64
	cost     time.Duration
}

// place finds an upstream for a call: a call for a model needs a place at a replica first.
func (s *State) place(now time.Time, up Upstreams, c *call) {
	if s.needsSlot(c) && len(s.targets(up, c)) > 0 {
		s.requestSlot(now, up, c)
		return
	}
	s.placeWithoutSlot(now, up, c)
}

// placeUnasked sends a call to the upstream where its answer is expected first, queues it if none has room, or refuses it.
func (s *State) placeWithoutSlot(now time.Time, up Upstreams, c *call) {
	best, upstreams, isFound := s.choose(now, up, c)
	if isFound && (s.fifo || !s.hasQueued(c)) {
		s.send(now, c, best, upstreams)
		return
	}
	if upstreams == 0 && !s.mayAppear(c) {
		s.giveUp(now, c, NoUpstream, s.retryAfter(now, up, c))
		return
	}
	s.enqueue(now, up, c, upstreams)
	if isFound {
		s.serveQueue(now, up)
	}
}

// hasWaiting reports whether other calls wait for the same upstreams; a new one must not take a place before them.
func (s *State) hasQueued(c *call) bool {
	return slices.ContainsFunc(s.queue, func(other *call) bool { return other != c && other.queueKey() == c.queueKey() })
}

// mayAppear reports whether an upstream that takes the call may appear soon: the service or model is configured.
func (s *State) mayAppear(c *call) bool {
	if !s.isModelCall(c) {
		return false
	}
	_, model := s.engineOf(c)
	return model.Name() != ""
}

// choose returns the best upstream with room for a call, and how many take such calls at all.
func (s *State) choose(now time.Time, up Upstreams, c *call) (best candidate, count int, isFound bool) {
	var candidates []candidate
	for _, t := range s.targets(up, c) {
		if slices.Contains(c.tried, t.name) {
			continue
		}
		count++
		if found, hasRoom := s.evaluate(now, c, t); hasRoom {
			candidates = append(candidates, found)
		}
	}
	if len(candidates) == 0 {
		return candidate{}, count, false
	}
	return s.pick(candidates), count, true
}

// targets returns the upstreams that take a call.
func (s *State) targets(up Upstreams, c *call) []Target {
	if s.isModelCall(c) {
		return up.Replicas(c.model)
	}
	return up.Processes(c.service)
}

// judge returns what is expected of a call at a target, and whether there is room for it.
func (s *State) evaluate(now time.Time, c *call, t Target) (candidate, bool) {
	u := s.upstream(t.name)
	result := candidate{target: t, upstream: u, calls: u.estimatedCalls(now)}
	if now.Before(u.avoidUntil) {
		return result, false
	}
	if s.isModelCall(c) {
		result.cost = s.firstEventTime(c, result)
		if result.calls >= float64(t.slots) {
			return result, false
		}
	} else {
		result.cost = time.Duration((1 + result.calls) * float64(processCallTime))
		if result.calls >= float64(t.slots)*maxCallsPerProcessSlot {
			return result, false
		}
	}
	if !t.isLocal {
		result.cost += crossCentreCost
	}
	return result, true
}

// processCost stands for the unknown time of one call of a plain service when costs are compared.
const processCallTime = 20 * time.Millisecond

// processRoom is how many calls a process of a plain service may have for each of its slots; more wait in its queue.
const maxCallsPerProcessSlot = 2.0

// firstEvent returns the time to the first event of a call at a replica: a pass of all that run there, and the reading
// of prompts that were sent there before.
func (s *State) firstEventTime(c *call, at candidate) time.Duration {
	engine, model := s.engineOf(c)
	expected := engine.EventInterval(model, int(at.calls)+1) + engine.Read(model, at.upstream.unreadTokens+c.prompt)
	return time.Duration(float64(expected) * at.target.slowdown)
}

func (s *State) send(now time.Time, c *call, best candidate, upstreams int) {
	s.lastAttempt++
	a := &attempt{id: s.lastAttempt, call: c, upstream: best.upstream, sentAt: now}
	s.attempts[a.id] = a
	best.upstream.begin(now, c.prompt)
	s.markUnreported(c, best.target.name)
	s.runningByOrganisation[c.organisation]++
	c.attempt = a
	c.sends++
	c.tried = append(c.tried, best.target.name)
	c.hasErrorResponse = false
	s.emit(Send{
		attempt: a.id, id: c.id, route: c.route.Name(), upstream: best.target.name, address: best.target.address,
		organisation: c.organisation, priority: c.priority, timeLeft: c.deadline.Sub(now), lastEventID: c.lastEventID,
		kind: c.route.Kind(), stallTimeout: s.stallTimeout(c, best.target),
	})
	s.note(now, c, NoteSent, best.target.name, "", Inputs{upstreams, best.calls, best.cost, len(s.queue), best.upstream.reportAge(now)})
}
