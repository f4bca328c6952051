package dispatch

import (
	"cmp"
	"time"

	"github.com/azurepond/azurepond/pkg/quantity"
	"github.com/azurepond/azurepond/pkg/route"
)

// unconfiguredRetryAfter is the Retry-After time while the daemon has no configuration. It gets one within a round trip
// once it can reach the store or a peer.
const unconfiguredRetryAfter = 300 * time.Millisecond

// stoppingRetryAfter is the Retry-After time while the daemon shuts down. It is short, since other daemons accept the
// request.
const stoppingRetryAfter = 50 * time.Millisecond

// handleArrived finds the route and the organisation of a request, and sends, queues or refuses it.
func (s *State) handleArrived(now time.Time, up Upstreams, r Request) {
	r.arrived = now
	c := &call{Request: r, lastEventID: r.resumeAfter}
	s.workOn(c)
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
	c.isModelKnown = s.mayAppear(c)
	c.deadline = s.deadlineOf(now, c)
	s.calls[r.id] = c
	s.budget(c.service).countRequest(now, s.settings.retries.window)
	if s.isTooLarge(c) {
		s.refuse(now, c, TooLarge, 0)
		return
	}
	s.addDemand(now, c)
	if s.refusesNew(now, c) {
		s.refuse(now, c, DaemonStopping, stoppingRetryAfter)
		return
	}
	if s.isSuspect(now, c) && !s.beginTrial(now, c) {
		s.refuse(now, c, Poison, suspicionRetryAfter)
		return
	}
	s.place(now, up, c)
}

// isSuspect reports whether a call is refused since it, or a part of its prompt, probably crashes upstreams.
func (s *State) isSuspect(now time.Time, c *call) bool {
	return s.isPoison(now, c, crashesToRefuse) || s.hasRefusedPart(now, c)
}

// authorise looks up the organisation of a request by its key, and reports whether the request is admitted: its key is
// known, its route is public, or the configuration has no organisations at all.
func (s *State) authorise(c *call) bool {
	c.priority, c.regions = c.route.Priority(), c.route.HomeRegions()
	organisation, isKnown := s.config.Organisation(c.key)
	if isKnown {
		c.organisation, c.priority = organisation.Name(), organisation.Priority(c.priority)
		c.regions = c.regions.And(organisation.HomeRegions())
		return true
	}
	return c.route.Public() || !s.config.NeedsKeys()
}

// RefusalOf returns the reason for which a configuration refuses a request whatever its body is, and whether there is one.
func RefusalOf(config route.Config, r Request) (Reason, bool) {
	matched, isKnown := config.Match(r.host, r.path)
	if !isKnown {
		return NoRoute, true
	}
	_, hasKey := config.Organisation(r.key)
	return UnknownKey, !hasKey && !matched.Public() && config.NeedsKeys()
}

// deadlineOf returns the deadline of a call: the route's timeout, or the caller's if that is shorter.
func (s *State) deadlineOf(now time.Time, c *call) time.Time {
	limit := c.route.Timeout()
	if limit <= 0 || c.timeout > 0 && c.timeout < limit {
		limit = c.timeout
	}
	if limit <= 0 {
		limit = DefaultTimeout
	}
	return now.Add(limit)
}

// DefaultTimeout applies to requests for which neither the caller nor the route sets a timeout.
const DefaultTimeout = time.Minute

// isTooLarge reports whether the prompt and the longest answer of a call exceed the memory of every replica, each of which would refuse it.
func (s *State) isTooLarge(c *call) bool {
	engine, model := s.engineOf(c)
	return model.Name() != "" && !engine.Fits(c.promptTokens, c.outputTokens)
}

// isModelCall reports whether the service of a call runs models; other services are called plain.
func (s *State) isModelCall(c *call) bool {
	service, _ := s.config.Service(c.service)
	return len(service.Engine().Models()) > 0
}

// engineOf returns the engine and the model of a call.
func (s *State) engineOf(c *call) (route.Engine, route.Model) {
	service, _ := s.config.Service(c.service)
	model, _ := service.Engine().Model(c.model)
	return service.Engine(), model
}

// typicalUtilisation is the fraction of a replica's slots that the demand estimate assumes to be in use.
const typicalUtilisation = 0.5

// addDemand adds the estimated work of a call to the demand for its model: that which can be done before its deadline, as the longest answer
// that a caller allows may take far longer.
func (s *State) addDemand(now time.Time, c *call) {
	engine, model := s.engineOf(c)
	if model.Name() == "" {
		return
	}
	running := max(int(typicalUtilisation*float64(engine.Slots())), 1)
	left := c.deadline.Sub(now)
	readTime := min(engine.Read(model, c.promptTokens), left)
	answerTime := min(quantity.Duration(float64(c.outputTokens), engine.StepTime(model, running)), left-readTime)
	s.demand[Demander{c.organisation, c.model}] += readTime.Seconds() + answerTime.Seconds()/float64(running)
}

// Demander is an organisation that asks for a model.
type Demander struct{ organisation, model string }

// Organisation returns the name of the organisation, empty for callers without a key.
func (d Demander) Organisation() string { return d.organisation }

// Model returns the name of the model.
func (d Demander) Model() string { return d.model }

// Compare orders organisations and their models by name.
func (d Demander) Compare(other Demander) int {
	return cmp.Or(cmp.Compare(d.organisation, other.organisation), cmp.Compare(d.model, other.model))
}

// TakeDemand returns the work that arrived for each model by organisation, in replica-seconds, and resets it.
func (s *State) TakeDemand() map[Demander]float64 {
	demand := s.demand
	s.demand = map[Demander]float64{}
	return demand
}
