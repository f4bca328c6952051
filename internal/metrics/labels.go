package metrics

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// How long, and for how many values of a label, metrics are kept that are no longer configured. Scrapes come every few seconds.
const (
	goneTime = time.Minute
	maxGone  = 64
)

// owner is the value of a label whose metrics end with it, such as a route.
type owner struct{ label, value string }

// ownedLabels are the labels whose values end.
var ownedLabels = []string{"route", "service", "centre", "organisation", "target", "model"}

// ownedMetrics tracks which metrics belong to the values of labels, so that they are unregistered with them. The zero value knows none.
type ownedMetrics struct {
	mutex      sync.Mutex
	configured map[string]map[string]bool // values by label; a label without a configuration keeps all
	owners     map[string][]owner         // by the registry name of the metric
	goneSince  map[owner]time.Time
}

// add notes to which values of labels a metric belongs.
func (m *ownedMetrics) add(metric Metric, values []string, name string) {
	var owners []owner
	for i, label := range metric.labels {
		if slices.Contains(ownedLabels, label) && values[i] != "" { // the empty value stands for none of them
			owners = append(owners, owner{label, values[i]})
		}
	}
	if len(owners) == 0 {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.owners == nil {
		m.owners, m.goneSince = map[string][]owner{}, map[owner]time.Time{}
	}
	m.owners[name] = owners
}

// isGone reports whether a value of a label is no longer configured.
func (m *ownedMetrics) isGone(o owner) bool {
	configured, isKnown := m.configured[o.label]
	return isKnown && !configured[o.value]
}

// takeGone returns the names of the metrics that are to be unregistered, and forgets them.
func (m *ownedMetrics) takeGone(now time.Time) []string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	ended := m.endedOwners(now)
	if len(ended) == 0 {
		return nil
	}
	var names []string
	for name, owners := range m.owners {
		if slices.ContainsFunc(owners, func(o owner) bool { return ended[o] }) {
			names = append(names, name)
			delete(m.owners, name)
		}
	}
	for o := range ended {
		delete(m.goneSince, o)
	}
	return names
}

// endedOwners returns those whose metrics need not be kept any longer.
func (m *ownedMetrics) endedOwners(now time.Time) map[owner]bool {
	goneByLabel := map[string]map[owner]bool{}
	for _, owners := range m.owners {
		for _, o := range owners {
			if !m.isGone(o) {
				delete(m.goneSince, o)
				continue
			}
			if m.goneSince[o].IsZero() {
				m.goneSince[o] = now
			}
			if goneByLabel[o.label] == nil {
				goneByLabel[o.label] = map[owner]bool{}
			}
			goneByLabel[o.label][o] = true
		}
	}
	ended := map[owner]bool{}
	for _, gone := range goneByLabel {
		latest := slices.SortedFunc(maps.Keys(gone), func(a, b owner) int { // the one that is gone for the shortest time first
			return cmp.Or(m.goneSince[b].Compare(m.goneSince[a]), cmp.Compare(a.value, b.value))
		})
		for i, o := range latest {
			if i >= maxGone || now.Sub(m.goneSince[o]) >= goneTime {
				ended[o] = true
			}
		}
	}
	return ended
}

// SetConfigured sets the values of a label that are configured, such as the names of all routes. Before its first call for a label, all
// metrics with the label are kept.
func (r *Recorder) SetConfigured(label string, values []string) {
	configured := map[string]bool{}
	for _, value := range values {
		configured[value] = true
	}
	r.owned.mutex.Lock()
	defer r.owned.mutex.Unlock()
	if r.owned.configured == nil {
		r.owned.configured = map[string]map[string]bool{}
	}
	r.owned.configured[label] = configured
}

// configuredOrNone returns a value of a label, or the empty one if it is not configured, for values that callers choose.
func (r *Recorder) configuredOrNone(label, value string) string {
	r.owned.mutex.Lock()
	defer r.owned.mutex.Unlock()
	if r.owned.isGone(owner{label, value}) {
		return ""
	}
	return value
}

// UnregisterGone unregisters the metrics with labels whose values are no longer configured: for a minute, and of the last 64 values, they are
// kept, so that they can be scraped once more.
func (r *Recorder) UnregisterGone(now time.Time) {
	for _, name := range r.owned.takeGone(now) {
		r.registry.Unregister(name)
	}
}

// name returns the registry name of a metric, and notes to which values of labels it belongs if it is not registered yet.
func (r *Recorder) name(metric Metric, values ...string) string {
	name := metric.RegistryName(values...)
	if len(values) > 0 && r.registry.Get(name) == nil {
		r.owned.add(metric, values, name)
	}
	return name
}
