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
	// removalMemory is how long a removed upstream is remembered, which is longer than the age of a snapshot that the
	// store may be restored from.
	removalMemory = time.Minute
	// holdBackTime is how long an entry is held back whose upstream had been removed before the store was restored. The store
	// removes it again after three missed heartbeats.
	holdBackTime = 5 * time.Second
)

// listing is the platform's list of upstreams, including entries that expired during an outage of the store.
type listing struct {
	entries          map[replica.ID]Upstream
	absent           map[replica.ID]time.Time // when they are to be removed
	known            bool
	unavailable      bool                 // neither this daemon nor its source can read the list; entries are kept
	storeRecoveredAt time.Time            // end of the last outage seen by this daemon
	left             map[replica.ID]int64 // incarnations of the upstreams that announced in an answer that they shut down
	removed          map[replica.ID]removal
	isRestored       bool      // the next complete list is of an older snapshot of the store
	restoredAt       time.Time // when this daemon noticed the last restore of the store
	heldBack         map[replica.ID]heldEntry
	coldTimes        map[string]time.Duration // for which upstreams are cold after they start, by service
}

// removal is an upstream that was removed from the list.
type removal struct {
	incarnation int64
	at          time.Time
}

// heldEntry is an entry of an older snapshot whose upstream has been removed since.
type heldEntry struct {
	upstream Upstream
	until    time.Time
}

// apply merges a list and returns what changed. An entry that a complete list lacks is kept for absentGrace, and at least
// until graceEnd.
func (l *listing) apply(now time.Time, e Listed, absentGrace time.Duration) (changed []Upstream, gone []replica.ID) {
	if l.entries == nil {
		l.entries, l.absent = map[replica.ID]Upstream{}, map[replica.ID]time.Time{}
		l.left = map[replica.ID]int64{}
		l.removed, l.heldBack = map[replica.ID]removal{}, map[replica.ID]heldEntry{}
	}
	isRestored := l.isRestored && e.complete
	l.isRestored = l.isRestored && !e.complete
	l.known, l.unavailable = true, false
	listed := map[replica.ID]bool{}
	for _, u := range e.upstreams {
		u = l.receive(now, u)
		id := u.instance.ID()
		if isRestored && l.holdBack(now, u) {
			continue
		}
		delete(l.heldBack, id)
		listed[id] = true
		delete(l.absent, id)
		if known, isKnown := l.entries[id]; isKnown {
			u = known.merge(u, isRestored)
		}
		u = l.markLeft(u)
		l.entries[id] = u
		changed = append(changed, u)
	}
	for _, id := range e.gone {
		l.absent[id] = l.graceEnd()
		delete(l.heldBack, id)
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

// graceEnd returns the time until which entries may still be renewed that expired or were lost with a restore.
func (l *listing) graceEnd() time.Time {
	return later(l.storeRecoveredAt, l.restoredAt).Add(absentGraceAfterOutage)
}

// isRecovering reports whether entries that expired during an outage at this daemon may still be renewed. After a restore of the
// store, all daemons lack the same entries, so none is a better reader.
func (l *listing) isRecovering(now time.Time) bool {
	return now.Before(l.storeRecoveredAt.Add(absentGraceAfterOutage))
}

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
		l.removed[id] = removal{l.entries[id].instance.Incarnation(), now}
		delete(l.absent, id)
		delete(l.entries, id)
	}
	for id, r := range l.removed {
		if now.Sub(r.at) > removalMemory {
			delete(l.removed, id)
			delete(l.left, id)
		}
	}
	return gone
}

// markLeft returns the entry as leaving if this start of its upstream announced that.
func (l *listing) markLeft(u Upstream) Upstream {
	incarnation, hasLeft := l.left[u.instance.ID()]
	switch {
	case !hasLeft:
	case incarnation == u.instance.Incarnation():
		u.instance = u.instance.WithLeaving(true)
	case incarnation < u.instance.Incarnation():
		delete(l.left, u.instance.ID())
	}
	return u
}

// leave marks the listed start of an upstream as leaving, and reports whether that is new.
func (l *listing) leave(id replica.ID, incarnation int64) bool {
	u, isListed := l.entries[id]
	if !isListed || u.instance.Incarnation() != incarnation || u.instance.Leaving() {
		return false
	}
	l.left[id] = incarnation
	l.entries[id] = l.markLeft(u)
	return true
}

// restore prepares for the list of a restored store, which lacks what upstreams have written since the snapshot until they write it
// again.
func (l *listing) restore(now time.Time) {
	l.isRestored, l.restoredAt = true, now
}

// holdBack holds back an entry of an older snapshot whose upstream was removed since, and reports whether it did.
func (l *listing) holdBack(now time.Time, u Upstream) bool {
	r, isRemoved := l.removed[u.instance.ID()]
	if !isRemoved || r.incarnation < u.instance.Incarnation() {
		return false
	}
	l.heldBack[u.instance.ID()] = heldEntry{u, now.Add(holdBackTime)}
	return true
}

// releaseHeldBack returns the entries that are still listed at the end of the time for which they were held back.
func (l *listing) releaseHeldBack(now time.Time) []Upstream {
	var released []Upstream
	for _, id := range slices.Sorted(maps.Keys(l.heldBack)) {
		if held := l.heldBack[id]; !now.Before(held.until) {
			released = append(released, held.upstream)
			delete(l.heldBack, id)
		}
	}
	return released
}

// merge returns the next entry of an upstream with what is known from the present one. isOlder says that the next one is of an older
// snapshot. An upstream that is leaving stays so until its next start.
func (u Upstream) merge(next Upstream, isOlder bool) Upstream {
	switch {
	case isOlder:
		next.instance = u.instance.MergeOlder(next.instance)
	case u.instance.Leaving() && u.instance.Incarnation() == next.instance.Incarnation():
		next.instance = next.instance.WithLeaving(true)
	}
	if u.instance.Incarnation() == next.instance.Incarnation() {
		// The entry may be older than an answer of the upstream, so it does not end the time for which the upstream is cold.
		next.instance = next.instance.WithColdUntil(later(u.instance.ColdUntil(), next.instance.ColdUntil()))
	}
	return next
}
