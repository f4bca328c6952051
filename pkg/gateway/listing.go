package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/azurepond/azurepond/pkg/replica"
)

// The times for which entries that are missing are kept.
const (
	// returnTime is how long after an outage of the store lapsed entries of living instances may still come back (the
	// platform says two seconds).
	returnTime = 2 * time.Second
	// otherTime is how long an entry that another reader's list lacks is kept: that reader may have started during an
	// outage. It leaves half of the time within which an upstream that leaves gets no new work.
	otherTime = time.Second
)

// listing is the platform's list of upstreams, without forgetting those that lapsed while the store was away.
type listing struct {
	entries  map[replica.ID]Upstream
	absent   map[replica.ID]time.Time // when they are to be taken as gone
	known    bool
	broken   bool
	regained time.Time // when the store answered this daemon again
}

// take applies what the platform lists and returns what changed; an entry that the whole list lacks is kept for a while.
func (l *listing) take(now time.Time, e Listed, missing time.Duration) (changed []Upstream, gone []replica.ID) {
	if l.entries == nil {
		l.entries, l.absent = map[replica.ID]Upstream{}, map[replica.ID]time.Time{}
	}
	l.known, l.broken = true, false
	listed := map[replica.ID]bool{}
	for _, u := range e.upstreams {
		id := u.instance.ID()
		listed[id] = true
		delete(l.absent, id)
		l.entries[id] = u
		changed = append(changed, u)
	}
	for _, id := range e.gone {
		l.absent[id] = l.returns()
	}
	if e.complete {
		for id := range l.entries {
			if _, isAbsent := l.absent[id]; !listed[id] && !isAbsent {
				l.absent[id] = later(l.returns(), now.Add(missing))
			}
		}
	}
	return changed, l.expire(now)
}

// returns is the time until which lapsed entries may still come back.
func (l *listing) returns() time.Time { return l.regained.Add(returnTime) }

// isReturning reports whether lapsed entries may still come back.
func (l *listing) isReturning(now time.Time) bool { return now.Before(l.returns()) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// expire returns the entries that are to be taken as gone.
func (l *listing) expire(now time.Time) []replica.ID {
	if l.broken {
		return nil
	}
	var gone []replica.ID
	for _, id := range slices.Sorted(maps.Keys(l.absent)) {
		if now.Before(l.absent[id]) {
			continue
		}
		gone = append(gone, id)
		delete(l.absent, id)
		delete(l.entries, id)
	}
	return gone
}
