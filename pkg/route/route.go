package route

import (
	"strings"
	"time"
)

// Kind tells what may be repeated.
type Kind uint8

// The kinds of routes.
const (
	// Once marks requests that run at most once.
	Once Kind = iota
	// Idempotent marks requests that may run again.
	Idempotent
	// Stream marks requests that are answered by a stream of events; they run once unless the route is resumable.
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

// Route says how requests to one host below one path are handled.
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
}

// NewRoute returns the route called name for requests to host whose path begins with prefix.
func NewRoute(name, host, prefix string, kind Kind) Route {
	return Route{name: name, host: host, prefix: prefix, kind: kind, maxAttempts: 1}
}

// WithTimes returns the route with its timeout, the time until the answer (of a stream: its first event) that is aimed
// at, and the longest pause between two events that is aimed at; zero for none.
func (r Route) WithTimes(timeout, goal, gap time.Duration) Route {
	r.timeout, r.latencyGoal, r.eventGapGoal = timeout, goal, gap
	return r
}

// WithPriority returns the route with the priority of its requests; 0 is most urgent.
func (r Route) WithPriority(priority int) Route {
	r.priority = priority
	return r
}

// WithMaxAttempts returns the route with the most upstreams that one request may be sent to.
func (r Route) WithMaxAttempts(attempts int) Route {
	r.maxAttempts = max(attempts, 1)
	return r
}

// WithPublic returns the route as one that needs no API key.
func (r Route) WithPublic(public bool) Route {
	r.public = public
	return r
}

// WithResumable returns the route with whether its streams may go on at another upstream.
func (r Route) WithResumable(resumable bool) Route {
	r.resumable = resumable
	return r
}

// WithSplit returns the route with the services that its requests are split among.
func (r Route) WithSplit(shares ...WeightedService) Route {
	r.split = shares
	return r
}

// Name returns the name of the route.
func (r Route) Name() string { return r.name }

// Kind returns what may be repeated.
func (r Route) Kind() Kind { return r.kind }

// Timeout returns the longest time until the end of an answer, 0 for no limit.
func (r Route) Timeout() time.Duration { return r.timeout }

// LatencyGoal returns the time until the answer, or the first event, that is aimed at.
func (r Route) LatencyGoal() time.Duration { return r.latencyGoal }

// EventGapGoal returns the longest pause between two events that is aimed at, 0 for none.
func (r Route) EventGapGoal() time.Duration { return r.eventGapGoal }

// Priority returns the priority of requests; 0 is most urgent.
func (r Route) Priority() int { return r.priority }

// MaxAttempts returns the most upstreams that one request may be sent to.
func (r Route) MaxAttempts() int { return r.maxAttempts }

// Public reports whether requests need no API key.
func (r Route) Public() bool { return r.public }

// Resumable reports whether a stream may go on at another upstream.
func (r Route) Resumable() bool { return r.resumable }

// Retryable reports whether a request may run again after it may have run.
func (r Route) Retryable() bool {
	return r.kind == Idempotent || r.kind == Stream && r.resumable
}

// PickService returns the service for a request, given a number drawn evenly from 0 up to 1.
func (r Route) PickService(draw float64) string {
	total := 0.0
	for _, s := range r.split {
		total += s.weight
	}
	left := draw * total
	for _, s := range r.split {
		if left -= s.weight; left < 0 {
			return s.service
		}
	}
	if len(r.split) == 0 {
		return ""
	}
	return r.split[len(r.split)-1].service
}

// WeightedService is the part of a route's requests that goes to one service.
type WeightedService struct {
	service string
	weight  float64
}

// NewWeightedService returns a share of weight for service.
func NewWeightedService(service string, weight float64) WeightedService {
	return WeightedService{service, weight}
}

// Match returns the route of host with the longest prefix of path.
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
