package metrics

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// How long, and for how many routes, metrics are kept that no configuration has any more. Scrapes come every few seconds.
const (
	goneRouteTime = time.Minute
	maxGoneRoutes = 64
)

// routeMetrics tracks which metrics belong to each route, so that they are unregistered with it. The zero value knows no route.
type routeMetrics struct {
	mutex      sync.Mutex
	configured map[string]bool // nil before the first configuration
	names      map[string][]string
	goneSince  map[string]time.Time
}

// add notes that a metric belongs to a route.
func (m *routeMetrics) add(route, name string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.names == nil {
		m.names, m.goneSince = map[string][]string{}, map[string]time.Time{}
	}
	if !slices.Contains(m.names[route], name) {
		m.names[route] = append(m.names[route], name)
	}
}

// takeGone returns the names of the metrics that are to be unregistered, and forgets them.
func (m *routeMetrics) takeGone(now time.Time) []string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.configured == nil {
		return nil
	}
	var gone []string
	for route := range m.names {
		if route == "" || m.configured[route] { // "" is that of requests without a route
			delete(m.goneSince, route)
			continue
		}
		if m.goneSince[route].IsZero() {
			m.goneSince[route] = now
		}
		gone = append(gone, route)
	}
	slices.SortFunc(gone, func(a, b string) int { // the one that is gone for the shortest time first
		return cmp.Or(m.goneSince[b].Compare(m.goneSince[a]), cmp.Compare(a, b))
	})
	var names []string
	for i, route := range gone {
		if i < maxGoneRoutes && now.Sub(m.goneSince[route]) < goneRouteTime {
			continue
		}
		names = append(names, m.names[route]...)
		delete(m.names, route)
		delete(m.goneSince, route)
	}
	return names
}

// SetRoutes sets the routes of the configuration that is in force.
func (r *Recorder) SetRoutes(names []string) {
	configured := map[string]bool{}
	for _, name := range names {
		configured[name] = true
	}
	r.routes.mutex.Lock()
	defer r.routes.mutex.Unlock()
	r.routes.configured = configured
}

// UnregisterGoneRoutes unregisters the metrics of routes that are no longer configured: for goneRouteTime and of the last maxGoneRoutes they are
// kept, so that they can be scraped once more.
func (r *Recorder) UnregisterGoneRoutes(now time.Time) {
	for _, name := range r.routes.takeGone(now) {
		r.registry.Unregister(name)
	}
}

// ofRoute notes that a metric which may not be registered yet belongs to a route, and returns its name.
func (r *Recorder) ofRoute(route, name string) string {
	if r.registry.Get(name) == nil {
		r.routes.add(route, name)
	}
	return name
}
