package dispatch

import (
	"slices"
	"time"

	"github.com/azurepond/azurepond/pkg/quantity"
)

// Detection of slow replicas, such as one with a slow member: their calls are late even at low load. Each daemon
// reports the observed time of first events relative to the expected time, and shard owners grant slots of slow
// replicas last.

// The limits of slow replica detection.
const (
	slowdownWeight = 0.2                   // of one first event; five late ones in a row are enough, one behind another prompt is not
	minSlowdown    = 1.8                   // of a slow replica; prompts of other calls can add half of the expected time
	slowdownTTL    = 5 * time.Second       // after which a slow replica without calls is probed
	roundTripTime  = 10 * time.Millisecond // to the replica, with a new connection
)

// ReplicaUsage is what one daemon reports of a replica: its calls there and the observed slowdown.
type ReplicaUsage struct {
	calls    int
	slowdown float64
}

// maxSlowdown is higher than any slowdown that leaves a call time to be answered.
const maxSlowdown = 1e6

// NewReplicaUsage returns a daemon's number of calls at a replica, at most quantity.MaxCount, and the slowdown of its latest first event, at
// most maxSlowdown: the observed time divided by the expected time, 0 for no first event since the last report.
func NewReplicaUsage(calls int, slowdown float64) ReplicaUsage {
	if !(slowdown > 0) { // also NaN
		slowdown = 0
	}
	return ReplicaUsage{quantity.Limit(int64(calls)), min(slowdown, maxSlowdown)}
}

// Calls returns the number of calls at the replica.
func (u ReplicaUsage) Calls() int { return u.calls }

// Slowdown returns the observed time of the first event divided by the expected time, 0 for no observation.
func (u ReplicaUsage) Slowdown() float64 { return u.slowdown }

// measureSlowdown compares the time to the first event of a call with the expected time.
func (s *State) measureSlowdown(now time.Time, a *attempt) {
	if !s.isModelCall(a.call) {
		return
	}
	engine, model := s.engineOf(a.call)
	expected := roundTripTime + firstEventPrefills*engine.Read(model, a.call.promptTokens) +
		quantity.Duration(firstEventIntervals, engine.EventInterval(model, max(a.upstream.running, a.upstream.load.running)))
	a.upstream.slowdown = float64(now.Sub(a.sentAt)) / float64(expected)
	s.unreported[a.target()] = true
}

// recordSlowdown adds a reported slowdown to the average of a replica.
func (r *replicaSlots) recordSlowdown(now time.Time, slowdown float64) {
	if slowdown <= 0 {
		return
	}
	if r.slowdown == 0 {
		r.slowdown = 1
	}
	if r.isProbing {
		r.slowdown, r.isProbing = slowdown, false
	}
	r.slowdown += slowdownWeight * (slowdown - r.slowdown)
	r.slowdownAt = now
}

// startProbe makes the granted call a probe if the replica is slow and its slowdown has expired.
func (r *replicaSlots) startProbe(now time.Time) {
	if r.slowdown >= minSlowdown && now.Sub(r.slowdownAt) > slowdownTTL {
		r.slowdownAt, r.isProbing = now, true
	}
}

// slowdown returns the slowdown of a replica relative to the median of its shard, 1 if it is not slow. Under load first
// events are late everywhere, which is no reason to prefer one replica to another.
func (t *slotTable) slowdown(now time.Time, r *replicaSlots) float64 {
	if r.slowdown < minSlowdown || now.Sub(r.slowdownAt) > slowdownTTL {
		return 1
	}
	var slowdowns []float64
	for _, other := range t.replicas {
		if other.slowdown > 0 {
			slowdowns = append(slowdowns, other.slowdown)
		}
	}
	slices.Sort(slowdowns)
	if relative := r.slowdown / max(slowdowns[(len(slowdowns)-1)/2], 1); relative >= minSlowdown {
		return relative
	}
	return 1
}

// capacity returns the maximum number of calls of a replica: its slots, or fewer if it is slow, since each further
// call delays all of its calls. Some of the calls of a process of a plain service wait in its own queue.
func (t *slotTable) capacity(now time.Time, r *replicaSlots, target Target, shard Shard) int {
	if shard.service != "" {
		return quantity.Count(float64(target.slots) * maxCallsPerProcessSlot)
	}
	return max(quantity.Count(float64(target.slots)/t.slowdown(now, r)), 1)
}
