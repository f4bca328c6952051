package route

import (
	"slices"
	"strings"
	"time"
)

// Kind determines whether requests of a route may be retried.
type Kind uint8

// The kinds of routes.
const (
	// Once is the kind of requests that run at most once.
	Once Kind = iota
	// Idempotent is the kind of requests that may run again.
	Idempotent
	// Stream is the kind of requests with a stream of events as the response; they run once unless the route is resumable.
	Stream
)

// String returns the name of the kind.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	}
	return "once"
}

// Route configures the requests to one host with one path prefix.
type Route struct {
	name         string
	host         string
	prefix       string
	kind         Kind
	timeout      time.Duration
	latencyGoal  time.Duration
	eventGapGoal time.Duration
	priority     int
	maxAttempts  int
	public       bool
	resumable    bool
	split        []WeightedService
	homeRegions  Regions
}

// NewRoute returns the route called name for requests to host whose path begins with prefix.
func NewRoute(name, host, prefix string, kind Kind) Route {
	return Route{name: name, host: host, prefix: prefix, kind: kind, maxAttempts: 1}
}

// WithTimes returns the route with its timeout, the goal for the time until the response (of a stream: its first event),
// and the goal for the longest pause between two events; zero for none.
func (r Route) WithTimes(timeout, latencyGoal, eventGapGoal time.Duration) Route {
	r.timeout, r.latencyGoal, r.eventGapGoal = timeout, latencyGoal, eventGapGoal
	return r
}

// WithPriority returns the route with the priority of its requests; 0 is the most urgent.
func (r Route) WithPriority(priority int) Route {
	r.priority = priority
	return r
}

// WithMaxAttempts returns the route with the limit on how many upstreams one request is sent to; the least is 1.
func (r Route) WithMaxAttempts(attempts int) Route {
	r.maxAttempts = max(attempts, 1)
	return r
}

// WithPublic returns the route with whether its requests need no API key.
func (r Route) WithPublic(public bool) Route {
	r.public = public
	return r
}

// WithResumable returns the route with whether its streams may be resumed at another upstream.
func (r Route) WithResumable(resumable bool) Route {
	r.resumable = resumable
	return r
}

// WithSplit returns the route with the services that its requests are distributed among.
func (r Route) WithSplit(services ...WeightedService) Route {
	r.split = services
	return r
}

// WithHomeRegions returns the route with the regions whose upstreams its requests may reach.
func (r Route) WithHomeRegions(regions Regions) Route {
	r.homeRegions = regions
	return r
}

// HomeRegions returns the regions whose upstreams requests may reach.
func (r Route) HomeRegions() Regions { return r.homeRegions }

// Name returns the name of the route.
func (r Route) Name() string { return r.name }

// Kind returns the kind of the route.
func (r Route) Kind() Kind { return r.kind }

// Timeout returns the longest time until the end of a response, 0 for no limit.
func (r Route) Timeout() time.Duration { return r.timeout }

// LatencyGoal returns the goal for the time until the response or, of a stream, until the first event.
func (r Route) LatencyGoal() time.Duration { return r.latencyGoal }

// EventGapGoal returns the goal for the longest pause between two events, 0 for none.
func (r Route) EventGapGoal() time.Duration { return r.eventGapGoal }

// Priority returns the priority of requests; 0 is the most urgent.
func (r Route) Priority() int { return r.priority }

// MaxAttempts returns how many upstreams one request is sent to at most.
func (r Route) MaxAttempts() int { return r.maxAttempts }

// Public reports whether requests need no API key.
func (r Route) Public() bool { return r.public }

// Resumable reports whether a stream may be resumed at another upstream.
func (r Route) Resumable() bool { return r.resumable }

// Retryable reports whether a request that may already have run may be sent again.
func (r Route) Retryable() bool {
	return r.kind == Idempotent || r.kind == Stream && r.resumable
}

// leadsTo reports whether requests may go to a service.
func (r Route) leadsTo(service string) bool {
	return slices.ContainsFunc(r.split, func(s WeightedService) bool { return s.service == service && s.weight > 0 })
}

// PickService returns the service for a request by weight, empty if none has one; random is uniform in [0, 1).
func (r Route) PickService(random float64) string {
	total := 0.0
	for _, s := range r.split {
		total += max(s.weight, 0)
	}
	remaining, last := random*total, ""
	for _, s := range r.split {
		if s.weight <= 0 {
			continue
		}
		if remaining -= s.weight; remaining < 0 {
			return s.service
		}
		last = s.service // the sum may be rounded
	}
	return last
}

// WeightedService is a service that gets a part of a route's requests in proportion to its weight.
type WeightedService struct {
	service string
	weight  float64
}

// NewWeightedService returns the service called service with weight.
func NewWeightedService(service string, weight float64) WeightedService {
	return WeightedService{service, weight}
}

// Match returns the route of host with the longest path prefix that matches.
func (c Config) Match(host, path string) (Route, bool) {
	if name, _, hasPort := strings.Cut(host, ":"); hasPort {
		host = name
	}
	var best Route
	found := false
	for _, r := range c.routes {
		if !strings.EqualFold(r.host, host) || !strings.HasPrefix(path, r.prefix) {
			continue
		}
		if !found || len(r.prefix) > len(best.prefix) {
			best, found = r, true
		}
	}
	return best, found
}
