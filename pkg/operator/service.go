package operator

import (
	"net/netip"
	"path"
	"strings"
)

// Service is the configuration of one plain service.
type Service struct {
	name          string
	upstreams     []Upstream
	nonIdempotent []RequestPattern
	outage        OutagePolicy
}

// Name returns the name that callers use in requests.
func (s Service) Name() string { return s.name }

// Upstreams returns the processes of the service.
func (s Service) Upstreams() []Upstream { return s.upstreams }

// NonIdempotent returns the patterns of requests that are not idempotent.
func (s Service) NonIdempotent() []RequestPattern { return s.nonIdempotent }

// Outage returns the policy for non-idempotent calls while the platform's store is unavailable.
func (s Service) Outage() OutagePolicy { return s.outage }

// Idempotent reports whether a call with method (such as "GET") and path may run more than once.
func (s Service) Idempotent(method, path string) bool {
	for _, pattern := range s.nonIdempotent {
		if pattern.Matches(method, path) {
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

// RequestPattern matches requests by HTTP method and path.
type RequestPattern struct {
	method string
	path   string
}

// Method returns the HTTP method in upper case, or "*" for any method.
func (p RequestPattern) Method() string { return p.method }

// Path returns the path. A path that ends in "/" matches all paths below it.
func (p RequestPattern) Path() string { return p.path }

// String returns "METHOD /path".
func (p RequestPattern) String() string { return p.method + " " + p.path }

// Matches reports whether the pattern matches a call with method to requestPath.
func (p RequestPattern) Matches(method, requestPath string) bool {
	if p.method != "*" && !strings.EqualFold(p.method, method) {
		return false
	}
	clean := path.Clean("/" + requestPath)
	if strings.HasSuffix(p.path, "/") {
		return strings.HasPrefix(clean+"/", p.path)
	}
	return clean == path.Clean(p.path)
}

// OutagePolicy is how non-idempotent calls are handled while the platform's store is unavailable. None of them runs
// during that time.
type OutagePolicy string

// The policies for an outage of the store.
const (
	// OutageRefuse answers at once that the call did not run.
	OutageRefuse OutagePolicy = "refuse"
	// OutageWait holds the call until the store is available again or the deadline of the call has passed.
	OutageWait OutagePolicy = "wait"
)
