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
	slowGain  = 0.2                   // weight of one first event; five in a row tell, and one prompt before others does not
	slowLeast = 1.8                   // of the expected time; prompts of others make up to half as much more
	slowKept  = 5 * time.Second       // after which a replica without calls is tried again
	wayTime   = 10 * time.Millisecond // to the replica and back, with a new connection
)

// ReplicaUsage is what a daemon has at a replica.
type ReplicaUsage struct {
	calls    int
	slowdown float64
}

// NewReplicaUsage returns that a daemon has so many calls at a replica, and how many times as long as expected first events took
// since it was told last, 0 if there were none.
func NewReplicaUsage(calls int, pace float64) ReplicaUsage { return ReplicaUsage{calls, pace} }

// Calls returns how many calls the daemon has there.
func (h ReplicaUsage) Calls() int { return h.calls }

// Slowdown returns how many times as long as expected first events took, 0 if there were none.
func (h ReplicaUsage) Slowdown() float64 { return h.slowdown }

// observe takes in when the first event of a call came.
func (s *State) observe(now time.Time, a *attempt) {
	if !s.isModel(a.call) {
		return
	}
	engine, model := s.engineOf(a.call)
	expected := wayTime + firstReads*engine.Read(model, a.call.prompt) +
		time.Duration(firstPasses*float64(engine.EventInterval(model, max(a.own.running, a.own.load.running))))
	a.own.pace = float64(now.Sub(a.at)) / float64(expected)
	s.changed[a.target()] = true
}

// learn takes over how long first events took at a replica.
func (t *tally) learn(now time.Time, pace float64) {
	if pace <= 0 {
		return
	}
	if t.slow == 0 {
		t.slow = 1
	}
	if t.tried {
		t.slow, t.tried = pace, false
	}
	t.slow += slowGain * (pace - t.slow)
	t.learned = now
}

// try notes that a slow replica gets one call again, to find out whether it still is.
func (t *tally) try(now time.Time) {
	if t.slow >= slowLeast && now.Sub(t.learned) > slowKept {
		t.learned, t.tried = now, true
	}
}

// factor returns by how much a replica is slower than the others of its share, 1 if it is not. Under load first events
// come late everywhere, which is no reason to prefer one replica to another.
func (l *ledger) factor(now time.Time, t *tally) float64 {
	if t.slow < slowLeast || now.Sub(t.learned) > slowKept {
		return 1
	}
	var all []float64
	for _, other := range l.heads {
		if other.slow > 0 {
			all = append(all, other.slow)
		}
	}
	slices.Sort(all)
	if factor := t.slow / max(all[(len(all)-1)/2], 1); factor >= slowLeast {
		return factor
	}
	return 1
}

// places returns how many calls a replica may have: its slots, or fewer if it is slower than others, since each call more
// makes all of its calls wait longer.
func (l *ledger) places(now time.Time, t *tally, target Target) int {
	return max(int(float64(target.slots)/l.factor(now, t)), 1)
}
