package operator

import (
	"net/netip"
	"path"
	"strings"
)

// Service is one plain service that calls are routed to.
type Service struct {
	name          string
	upstreams     []Upstream
	nonIdempotent []RequestPattern
	outage        OutagePolicy
}

// Name returns the name that callers ask for.
func (s Service) Name() string { return s.name }

// Upstreams returns where the service runs.
func (s Service) Upstreams() []Upstream { return s.upstreams }

// NonIdempotent returns the methods that are not idempotent.
func (s Service) NonIdempotent() []RequestPattern { return s.nonIdempotent }

// Outage returns what becomes of calls that are not idempotent while the platform's store is out.
func (s Service) Outage() OutagePolicy { return s.outage }

// Idempotent reports whether a call with verb (such as "GET") of path may be run more than once.
func (s Service) Idempotent(verb, path string) bool {
	for _, method := range s.nonIdempotent {
		if method.Matches(verb, path) {
			return false
		}
	}
	return true
}

// Upstream is one process of a plain service.
type Upstream struct {
	address netip.AddrPort
	centre  string
}

// Address returns the IP address and port.
func (u Upstream) Address() netip.AddrPort { return u.address }

// Centre returns the data centre.
func (u Upstream) Centre() string { return u.centre }

// RequestPattern is an HTTP method with the path that it is used on.
type RequestPattern struct {
	method string
	path   string
}

// Method returns the HTTP method, in upper case, or "*" for any.
func (m RequestPattern) Method() string { return m.method }

// Path returns the path; one that ends in "/" stands for all paths below it.
func (m RequestPattern) Path() string { return m.path }

// String returns "VERB /path".
func (m RequestPattern) String() string { return m.method + " " + m.path }

// Matches reports whether the method stands for a call with verb of the path target.
func (m RequestPattern) Matches(verb, target string) bool {
	if m.method != "*" && !strings.EqualFold(m.method, verb) {
		return false
	}
	clean := path.Clean("/" + target)
	if strings.HasSuffix(m.path, "/") {
		return strings.HasPrefix(clean+"/", m.path)
	}
	return clean == path.Clean(m.path)
}

// OutagePolicy is what becomes of a call that is not idempotent while the platform's store is out; none of them runs.
type OutagePolicy string

// The ways to meet an outage of the store.
const (
	// Refuse answers at once that the call did not run.
	OutageRefuse OutagePolicy = "refuse"
	// Wait holds the call until the store is back or its deadline has passed.
	OutageWait OutagePolicy = "wait"
)
