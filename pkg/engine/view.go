package engine

import (
	"sort"

	"github.com/azurepond/azurepond/pkg/instance"
)

// View is a copy of the state for the dump command.
type View struct {
	calls        int
	attempts     int
	held         int
	replicas     []ReplicaView
	suspicions   []Suspicion
	retriesSpent map[string]float64
}

// Calls returns how many calls have not finished.
func (v View) Calls() int { return v.calls }

// Attempts returns how many attempts have not ended.
func (v View) Attempts() int { return v.attempts }

// Held returns how many calls wait for a verdict on their content.
func (v View) Held() int { return v.held }

// Replicas returns the known replicas in the order of their names.
func (v View) Replicas() []ReplicaView { return v.replicas }

// Suspicions returns the contents that are suspicious or poisonous, in the order of their fingerprints.
func (v View) Suspicions() []Suspicion { return v.suspicions }

// RetriesSpent returns how much of its retry budget each model has spent.
func (v View) RetriesSpent() map[string]float64 { return v.retriesSpent }

// ReplicaView is a copy of the state that this daemon itself keeps of a replica.
type ReplicaView struct {
	replica  instance.ReplicaID
	running  int
	slots    float64
	slowness float64
	draining bool
}

// Replica returns the name of the replica.
func (v ReplicaView) Replica() instance.ReplicaID { return v.replica }

// Running returns how many attempts of this daemon run on the replica.
func (v ReplicaView) Running() int { return v.running }

// Slots returns how many calls the replica runs when it is full, 0 if it never was full.
func (v ReplicaView) Slots() float64 { return v.slots }

// Slowness returns the last observed factor by which the replica is slower than the mean of all replicas.
func (v ReplicaView) Slowness() float64 { return v.slowness }

// Draining reports whether the replica is draining and gets no new calls.
func (v ReplicaView) Draining() bool { return v.draining }

// View returns a copy of the state.
func (s *State) View() View {
	v := View{calls: len(s.calls), attempts: len(s.attempts), held: len(s.suspects.held), retriesSpent: map[string]float64{}}
	for model, b := range s.budgets {
		v.retriesSpent[model] = b.spent
	}
	for id, state := range s.replicas {
		v.replicas = append(v.replicas, ReplicaView{id, state.running, state.slots, max(state.slowness, 1), state.draining})
	}
	sort.Slice(v.replicas, func(i, j int) bool { return v.replicas[i].replica < v.replicas[j].replica })
	for _, entry := range s.suspects.entries {
		v.suspicions = append(v.suspicions, entry.suspicion())
	}
	sort.Slice(v.suspicions, func(i, j int) bool { return v.suspicions[i].fingerprint < v.suspicions[j].fingerprint })
	return v
}
