package route

import "time"

// Config is an accepted configuration; the zero value has no routes.
type Config struct {
	revision      uint64
	routes        []Route
	services      map[string]Service
	organisations map[string]Organisation // by API key
	needsKeys     bool
	limits        Limits
}

// New returns an empty configuration of a revision.
func New(revision uint64) Config {
	return Config{
		revision:      revision,
		services:      map[string]Service{},
		organisations: map[string]Organisation{},
	}
}

// WithRoutes returns the configuration with routes added.
func (c Config) WithRoutes(routes ...Route) Config {
	c.routes = append(c.routes, routes...)
	return c
}

// WithServices returns the configuration with services in place of the previous ones.
func (c Config) WithServices(services ...Service) Config {
	c.services = make(map[string]Service, len(services))
	for _, s := range services {
		c.services[s.name] = s
	}
	return c
}

// WithKeys returns the configuration as one whose routes need an API key unless they are public, also if no organisation has one.
func (c Config) WithKeys() Config {
	c.needsKeys = true
	return c
}

// WithOrganisation returns the configuration with an organisation and its API keys, which may be none. An empty key is ignored, since it
// would admit requests without a key.
func (c Config) WithOrganisation(o Organisation, keys ...string) Config {
	for _, key := range keys {
		if key != "" {
			c.organisations[key] = o
		}
	}
	return c.WithKeys()
}

// WithLimits returns the configuration with limits on requests and connections of callers.
func (c Config) WithLimits(limits Limits) Config {
	c.limits = limits
	return c
}

// Revision returns the number of the configuration; a later one has a higher number.
func (c Config) Revision() uint64 { return c.revision }

// Limits returns the limits on requests and connections of callers.
func (c Config) Limits() Limits { return c.limits }

// Service returns the service called name.
func (c Config) Service(name string) (Service, bool) {
	s, isKnown := c.services[name]
	return s, isKnown
}

// Services returns all services by name.
func (c Config) Services() map[string]Service { return c.services }

// EngineService returns the first service, by name, that runs models.
func (c Config) EngineService() (Service, bool) {
	var found Service
	for _, s := range c.services {
		if len(s.engine.models) > 0 && (found.name == "" || s.name < found.name) {
			found = s
		}
	}
	return found, found.name != ""
}

// IsRetryable reports whether all requests to a service may be sent again after they have run.
func (c Config) IsRetryable(service string) bool {
	for _, r := range c.routes {
		if r.leadsTo(service) && !r.Retryable() {
			return false
		}
	}
	return true
}

// RouteNames returns the names of all routes.
func (c Config) RouteNames() []string {
	names := make([]string, 0, len(c.routes))
	for _, r := range c.routes {
		names = append(names, r.name)
	}
	return names
}

// OrganisationNames returns the names of all organisations that have a key, once for each key.
func (c Config) OrganisationNames() []string {
	names := make([]string, 0, len(c.organisations))
	for _, o := range c.organisations {
		names = append(names, o.name)
	}
	return names
}

// ModelNames returns the names of the models of all services.
func (c Config) ModelNames() []string {
	var names []string
	for _, service := range c.services {
		for _, model := range service.engine.models {
			names = append(names, model.name)
		}
	}
	return names
}

// LongestTimeout returns the longest timeout of the routes to a service, 0 if none of them has one.
func (c Config) LongestTimeout(service string) time.Duration {
	longest := time.Duration(0)
	for _, r := range c.routes {
		if r.leadsTo(service) {
			longest = max(longest, r.timeout)
		}
	}
	return longest
}

// Organisation returns the organisation of an API key.
func (c Config) Organisation(key string) (o Organisation, isKnown bool) {
	o, isKnown = c.organisations[key]
	return o, isKnown
}

// HasKeys reports whether an organisation has an API key.
func (c Config) HasKeys() bool { return len(c.organisations) > 0 }

// NeedsKeys reports whether requests of routes that are not public need an API key of an organisation.
func (c Config) NeedsKeys() bool { return c.needsKeys }

// Organisation is a customer whose callers send its API keys.
type Organisation struct {
	name           string
	priority       int
	overridesRoute bool
	homeRegions    Regions
}

// NewOrganisation returns an organisation; overridesRoute says whether its priority (0 is the most urgent) replaces that of
// the route.
func NewOrganisation(name string, priority int, overridesRoute bool) Organisation {
	return Organisation{name: name, priority: priority, overridesRoute: overridesRoute}
}

// WithHomeRegions returns the organisation with the regions whose upstreams its requests may reach.
func (o Organisation) WithHomeRegions(regions Regions) Organisation {
	o.homeRegions = regions
	return o
}

// HomeRegions returns the regions whose upstreams requests may reach.
func (o Organisation) HomeRegions() Regions { return o.homeRegions }

// Name returns the name of the organisation.
func (o Organisation) Name() string { return o.name }

// Priority returns the priority of its requests on a route with priority routePriority.
func (o Organisation) Priority(routePriority int) int {
	if o.overridesRoute {
		return o.priority
	}
	return routePriority
}

// Limits are limits on requests and connections of callers; zero means no limit.
type Limits struct {
	maxHeaderBytes int
	maxBodyBytes   int64
	headerTimeout  time.Duration
	idleTimeout    time.Duration
}

// NewLimits returns limits on the size of headers and body, on the time to read the headers, and on idle connections.
func NewLimits(maxHeaderBytes int, maxBodyBytes int64, headerTimeout, idleTimeout time.Duration) Limits {
	return Limits{maxHeaderBytes, maxBodyBytes, headerTimeout, idleTimeout}
}

// MaxHeaderBytes returns the largest size of a request's headers in bytes.
func (l Limits) MaxHeaderBytes() int { return l.maxHeaderBytes }

// MaxBodyBytes returns the largest size of a request's body in bytes.
func (l Limits) MaxBodyBytes() int64 { return l.maxBodyBytes }

// HeaderTimeout returns the timeout for reading the headers of a request.
func (l Limits) HeaderTimeout() time.Duration { return l.headerTimeout }

// IdleTimeout returns the time after which an idle connection is closed.
func (l Limits) IdleTimeout() time.Duration { return l.idleTimeout }
