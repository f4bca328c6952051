package dispatch

import (
	"slices"
	"time"
)

// The decisions of this file answer replicas that are slow, as one with a slow member is: their calls are late whatever
// they were given. Each daemon tells how long first events took beside what was expected; the one that keeps count gives
// places there last.

// How slowness is found and forgotten.
const (
	slowdownWeight = 0.2                   // weight of one first event; five in a row tell, and one prompt before others does not
	minSlowdown    = 1.8                   // of the expected time; prompts of others make up to half as much more
	slowdownTTL    = 5 * time.Second       // after which a replica without calls is tried again
	roundTripTime  = 10 * time.Millisecond // to the replica and back, with a new connection
)

// ReplicaUsage is what a daemon has at a replica.
type ReplicaUsage struct {
	calls    int
	slowdown float64
}

// NewReplicaUsage returns that a daemon has so many calls at a replica, and how many times as long as expected first events took
// since it was told last, 0 if there were none.
func NewReplicaUsage(calls int, slowdown float64) ReplicaUsage { return ReplicaUsage{calls, slowdown} }

// Calls returns how many calls the daemon has there.
func (u ReplicaUsage) Calls() int { return u.calls }

// Slowdown returns how many times as long as expected first events took, 0 if there were none.
func (u ReplicaUsage) Slowdown() float64 { return u.slowdown }

// observe takes in when the first event of a call came.
func (s *State) measureSlowdown(now time.Time, a *attempt) {
	if !s.isModelCall(a.call) {
		return
	}
	engine, model := s.engineOf(a.call)
	expected := roundTripTime + firstEventReads*engine.Read(model, a.call.prompt) +
		time.Duration(firstEventPasses*float64(engine.EventInterval(model, max(a.upstream.running, a.upstream.load.running))))
	a.upstream.slowdown = float64(now.Sub(a.sentAt)) / float64(expected)
	s.unreported[a.target()] = true
}

// learn takes over how long first events took at a replica.
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

// try notes that a slow replica gets one call again, to find out whether it still is.
func (r *replicaSlots) startProbe(now time.Time) {
	if r.slowdown >= minSlowdown && now.Sub(r.slowdownAt) > slowdownTTL {
		r.slowdownAt, r.isProbing = now, true
	}
}

// factor returns by how much a replica is slower than the others of its share, 1 if it is not. Under load first events
// come late everywhere, which is no reason to prefer one replica to another.
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
	if factor := r.slowdown / max(slowdowns[(len(slowdowns)-1)/2], 1); factor >= minSlowdown {
		return factor
	}
	return 1
}

// places returns how many calls a replica may have: its slots, or fewer if it is slower than others, since each call more
// makes all of its calls wait longer.
func (t *slotTable) capacity(now time.Time, r *replicaSlots, target Target) int {
	return max(int(float64(target.slots)/t.slowdown(now, r)), 1)
}
