package dispatch

import (
	"slices"
	"time"
)

// farCost is what a request in another data centre costs more: its delay both ways is a few milliseconds.
const farCost = 3 * time.Millisecond

// choice is an upstream and what is expected there.
type choice struct {
	target Target
	own    *upstream
	calls  float64
	cost   time.Duration
}

// place finds an upstream for a call: a call for a model needs a place at a replica first.
func (s *State) place(now time.Time, up Upstreams, c *call) {
	if s.mayAsk(c) && len(s.targets(up, c)) > 0 {
		s.askFor(now, up, c)
		return
	}
	s.placeUnasked(now, up, c)
}

// placeUnasked sends a call to the upstream where its answer is expected first, queues it if none has room, or refuses it.
func (s *State) placeUnasked(now time.Time, up Upstreams, c *call) {
	best, others, isFound := s.choose(now, up, c)
	if isFound && (s.plain || !s.hasWaiting(c)) {
		s.send(now, c, best, others)
		return
	}
	if others == 0 && !s.mayAppear(c) {
		s.giveUp(now, c, NoUpstream, s.again(now, up, c))
		return
	}
	s.wait(now, up, c, others)
	if isFound {
		s.serveQueue(now, up)
	}
}

// hasWaiting reports whether other calls wait for the same upstreams; a new one must not take a place before them.
func (s *State) hasWaiting(c *call) bool {
	return slices.ContainsFunc(s.queue, func(other *call) bool { return other != c && other.kind() == c.kind() })
}

// mayAppear reports whether an upstream that takes the call may appear soon: the service or model is configured.
func (s *State) mayAppear(c *call) bool {
	if !s.isModel(c) {
		return false
	}
	_, model := s.engineOf(c)
	return model.Name() != ""
}

// choose returns the best upstream with room for a call, and how many take such calls at all.
func (s *State) choose(now time.Time, up Upstreams, c *call) (best choice, count int, isFound bool) {
	var open []choice
	for _, t := range s.targets(up, c) {
		if slices.Contains(c.tried, t.name) {
			continue
		}
		count++
		if one, hasRoom := s.judge(now, c, t); hasRoom {
			open = append(open, one)
		}
	}
	if len(open) == 0 {
		return choice{}, count, false
	}
	return s.pick(open), count, true
}

// targets returns the upstreams that take a call.
func (s *State) targets(up Upstreams, c *call) []Target {
	if s.isModel(c) {
		return up.Replicas(c.model)
	}
	return up.Processes(c.service)
}

// judge returns what is expected of a call at a target, and whether there is room for it.
func (s *State) judge(now time.Time, c *call, t Target) (choice, bool) {
	own := s.upstream(t.name)
	one := choice{target: t, own: own, calls: own.calls(now)}
	if now.Before(own.avoid) {
		return one, false
	}
	if s.isModel(c) {
		one.cost = s.firstEvent(c, one)
		if one.calls >= float64(t.slots) {
			return one, false
		}
	} else {
		one.cost = time.Duration((1 + one.calls) * float64(processCost))
		if one.calls >= float64(t.slots)*processRoom {
			return one, false
		}
	}
	if !t.near {
		one.cost += farCost
	}
	return one, true
}

// processCost stands for the unknown time of one call of a plain service when costs are compared.
const processCost = 20 * time.Millisecond

// processRoom is how many calls a process of a plain service may have for each of its slots; more wait in its queue.
const processRoom = 2.0

// firstEvent returns the time to the first event of a call at a replica: a pass of all that run there, and the reading
// of prompts that were sent there before.
func (s *State) firstEvent(c *call, one choice) time.Duration {
	engine, model := s.engineOf(c)
	plain := engine.EventInterval(model, int(one.calls)+1) + engine.Read(model, one.own.unread+c.prompt)
	return time.Duration(float64(plain) * one.target.slowdown)
}

func (s *State) send(now time.Time, c *call, best choice, others int) {
	s.last++
	a := &attempt{id: s.last, call: c, own: best.own, at: now}
	s.attempts[a.id] = a
	best.own.begin(now, c.prompt)
	s.recall(c, best.target.name)
	s.running[c.organisation]++
	c.attempt = a
	c.sends++
	c.tried = append(c.tried, best.target.name)
	c.held = false
	s.emit(Send{
		attempt: a.id, id: c.id, route: c.route.Name(), upstream: best.target.name, address: best.target.address,
		organisation: c.organisation, priority: c.priority, timeLeft: c.ends.Sub(now), lastEventID: c.last,
		kind: c.route.Kind(), stallTimeout: s.silenceOf(c, best.target),
	})
	s.note(now, c, NoteSent, best.target.name, "", Inputs{others, best.calls, best.cost, len(s.queue), best.own.age(now)})
}
