package dispatch

import (
	"time"

	"github.com/azurepond/azurepond/pkg/route"
)

// unconfiguredPause is when to come back while no configuration is known; a daemon learns it from the store or a peer
// within a round trip once either can be reached.
const unconfiguredRetryAfter = 300 * time.Millisecond

// stoppingPause is when to come back to a daemon that stops: at once, since others take the request.
const stoppingRetryAfter = 50 * time.Millisecond

// arrive admits a request: it finds the route and the organisation, and sends the request on, queues or refuses it.
func (s *State) handleArrived(now time.Time, up Upstreams, r Request) {
	r.arrived = now
	c := &call{Request: r, lastEventID: r.resumeAfter}
	if !s.isConfigured {
		s.refuse(now, c, Unconfigured, unconfiguredRetryAfter)
		return
	}
	matched, isKnown := s.config.Match(r.host, r.path)
	if !isKnown {
		s.refuse(now, c, NoRoute, 0)
		return
	}
	c.route = matched
	if !s.authorise(c) {
		s.refuse(now, c, UnknownKey, 0)
		return
	}
	c.service = matched.PickService(s.random.Float64())
	c.deadline = s.deadlineOf(now, c)
	s.calls[r.id] = c
	s.budget(c.service).countRequest(now, s.settings.retries.window)
	s.addDemand(c)
	if s.stopping {
		s.refuse(now, c, DaemonStopping, stoppingRetryAfter)
		return
	}
	if s.isPoison(now, c, crashesToRefuse) {
		s.refuse(now, c, Poison, 0)
		return
	}
	s.place(now, up, c)
}

// authorise finds the organisation that holds the key of a request.
func (s *State) authorise(c *call) bool {
	c.priority = c.route.Priority()
	holder, isKnown, open := s.config.Organisation(c.key)
	if isKnown {
		c.organisation, c.priority = holder.Name(), holder.Priority(c.priority)
		return true
	}
	return c.route.Public() || open
}

// endOf returns when nobody waits for an answer any more: at the route's timeout, or earlier by the caller's word.
func (s *State) deadlineOf(now time.Time, c *call) time.Time {
	limit := c.route.Timeout()
	if limit <= 0 || c.timeout > 0 && c.timeout < limit {
		limit = c.timeout
	}
	if limit <= 0 {
		limit = defaultTimeout
	}
	return now.Add(limit)
}

// defaultTimeout bounds requests for which neither caller nor route names a time.
const defaultTimeout = time.Minute

// isModel reports whether a call is for a model rather than a plain service.
func (s *State) isModelCall(c *call) bool {
	service, _ := s.config.Service(c.service)
	return len(service.Engine().Models()) > 0
}

// engineOf returns the engine and the model that a call is for.
func (s *State) engineOf(c *call) (route.Engine, route.Model) {
	service, _ := s.config.Service(c.service)
	model, _ := service.Engine().Model(c.model)
	return service.Engine(), model
}

// typicalCalls is the batch by which demand is weighed: half of a replica's slots.
const typicalUtilisation = 0.5

// weigh adds the work of a call to the demand for its model.
func (s *State) addDemand(c *call) {
	engine, model := s.engineOf(c)
	if model.Name() == "" {
		return
	}
	running := max(int(typicalUtilisation*float64(engine.Slots())), 1)
	writing := engine.StepTime(model, running) * time.Duration(c.output) / time.Duration(running)
	s.demand[c.model] += (engine.Read(model, c.prompt) + writing).Seconds()
}

// TakeDemand returns the work that came for each model since the last call, in seconds of a replica, and begins anew.
func (s *State) TakeDemand() map[string]float64 {
	demand := s.demand
	s.demand = map[string]float64{}
	return demand
}
