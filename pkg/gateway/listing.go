package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/azurepond/azurepond/pkg/replica"
)

// How long entries that are missing from the list are kept.
const (
	// absentGraceAfterOutage is how long after an outage of the store the expired entries of live instances may still be
	// renewed; the platform specifies two seconds.
	absentGraceAfterOutage = 2 * time.Second
	// absentGraceOtherReader is how long an entry is kept that is missing from another reader's list: that reader may
	// have started during an outage. It is half of the two seconds after which a leaving upstream must get no new work.
	absentGraceOtherReader = time.Second
)

// listing is the platform's list of upstreams, including entries that expired during an outage of the store.
type listing struct {
	entries          map[replica.ID]Upstream
	absent           map[replica.ID]time.Time // when they are to be removed
	known            bool
	unavailable      bool      // neither this daemon nor its source can read the list; entries are kept
	storeRecoveredAt time.Time // end of the last outage seen by this daemon
}

// apply merges a list and returns what changed. An entry that a complete list lacks is kept for absentGrace, and at least
// until graceEnd.
func (l *listing) apply(now time.Time, e Listed, absentGrace time.Duration) (changed []Upstream, gone []replica.ID) {
	if l.entries == nil {
		l.entries, l.absent = map[replica.ID]Upstream{}, map[replica.ID]time.Time{}
	}
	l.known, l.unavailable = true, false
	listed := map[replica.ID]bool{}
	for _, u := range e.upstreams {
		id := u.instance.ID()
		listed[id] = true
		delete(l.absent, id)
		l.entries[id] = u
		changed = append(changed, u)
	}
	for _, id := range e.gone {
		l.absent[id] = l.graceEnd()
	}
	if e.complete {
		for id := range l.entries {
			if _, isAbsent := l.absent[id]; !listed[id] && !isAbsent {
				l.absent[id] = later(l.graceEnd(), now.Add(absentGrace))
			}
		}
	}
	return changed, l.expire(now)
}

// graceEnd returns the time until which expired entries may still be renewed.
func (l *listing) graceEnd() time.Time { return l.storeRecoveredAt.Add(absentGraceAfterOutage) }

// inGracePeriod reports whether expired entries may still be renewed.
func (l *listing) inGracePeriod(now time.Time) bool { return now.Before(l.graceEnd()) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// expire removes the entries whose grace period has ended and returns them.
func (l *listing) expire(now time.Time) []replica.ID {
	if l.unavailable {
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
