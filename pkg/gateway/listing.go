package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/azurepond/azurepond/pkg/replica"
)

// returnTime is how long after an outage of the store lapsed entries of living instances may still come back (the
// platform says two seconds).
const returnTime = 2 * time.Second

// listing is the platform's list of upstreams, without forgetting those that lapsed while the store was away.
type listing struct {
	entries  map[replica.ID]Upstream
	absent   map[replica.ID]bool
	known    bool
	broken   bool
	regained time.Time
}

// take applies what the platform lists and returns what changed.
func (l *listing) take(now time.Time, e Listed) (changed []Upstream, gone []replica.ID) {
	if l.entries == nil {
		l.entries, l.absent = map[replica.ID]Upstream{}, map[replica.ID]bool{}
	}
	if l.broken {
		l.broken, l.regained = false, now
	}
	l.known = true
	listed := map[replica.ID]bool{}
	for _, u := range e.upstreams {
		id := u.instance.ID()
		listed[id] = true
		delete(l.absent, id)
		l.entries[id] = u
		changed = append(changed, u)
	}
	for _, id := range e.gone {
		l.absent[id] = true
	}
	if e.whole {
		for id := range l.entries {
			if !listed[id] {
				l.absent[id] = true
			}
		}
	}
	return changed, l.expire(now)
}

// expire returns the entries that are to be taken as gone.
func (l *listing) expire(now time.Time) []replica.ID {
	if len(l.absent) == 0 || l.broken || now.Sub(l.regained) < returnTime {
		return nil
	}
	gone := slices.Sorted(maps.Keys(l.absent))
	for _, id := range gone {
		delete(l.entries, id)
	}
	clear(l.absent)
	return gone
}
