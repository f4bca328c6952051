package reducer

import (
	"time"

	"github.com/azurepond/azurepond/pkg/engine"
	"github.com/azurepond/azurepond/pkg/instance"
)

// replicas implements engine.Replicas with the replicas that were available or draining at the last refresh.
type replicas struct {
	byModel       map[string][]engine.Upstream // only available replicas
	positions     map[instance.ReplicaID]position
	replicaByLead map[instance.ID]instance.ReplicaID
	loads         map[instance.ReplicaID]loadReport
	known         map[instance.ReplicaID]engine.Upstream // available and draining replicas
}

// position is the index of a replica in the list of its model.
type position struct {
	model string
	index int
}

// loadReport is the load that the lead of a replica last reported.
type loadReport struct {
	load       instance.Load
	reportedAt time.Time
}

// Len returns how many replicas of model accept new calls.
func (r *replicas) Len(model string) int { return len(r.byModel[model]) }

// At returns one of the replicas of model that accept new calls.
func (r *replicas) At(model string, i int) engine.Upstream { return r.byModel[model][i] }

// Find returns a replica that is available or draining.
func (r *replicas) Find(replica instance.ReplicaID) (engine.Upstream, bool) {
	upstream, isKnown := r.known[replica]
	return upstream, isKnown
}

// refresh updates the replicas of models from state.
func (r *replicas) refresh(now time.Time, state *instance.State, models []string) {
	previous := r.known
	r.byModel = make(map[string][]engine.Upstream, len(models))
	r.positions = map[instance.ReplicaID]position{}
	r.replicaByLead = map[instance.ID]instance.ReplicaID{}
	r.known = map[instance.ReplicaID]engine.Upstream{}
	for _, model := range models {
		for i, serving := range state.ServingReplicas(model, now) {
			replica := serving.Replica()
			upstream := engine.NewUpstream(replica, serving.Address(), serving.DataCentre())
			report := r.loads[replica]
			r.byModel[model] = append(r.byModel[model], upstream.WithLoad(report.load, report.reportedAt))
			r.positions[replica] = position{model, i}
			r.replicaByLead[serving.Lead()] = replica
			r.known[replica] = upstream
		}
	}
	r.keepDraining(now, state, previous)
	r.pruneLoads()
}

// keepDraining keeps the replicas that accept no new calls but still complete the running ones.
func (r *replicas) keepDraining(now time.Time, state *instance.State, previous map[instance.ReplicaID]engine.Upstream) {
	for replica, upstream := range previous {
		if _, isAvailable := r.known[replica]; isAvailable {
			continue
		}
		if _, reason := state.Available(replica, now); reason.Cause() == instance.CauseDraining {
			r.known[replica] = upstream
		}
	}
}

func (r *replicas) pruneLoads() {
	for replica := range r.loads {
		if _, isKnown := r.known[replica]; !isKnown {
			delete(r.loads, replica)
		}
	}
}

// recordLoad stores the load from a successful probe of the lead of a replica, and ignores other probe results.
func (r *replicas) recordLoad(result instance.ProbeResult) {
	replica, isLead := r.replicaByLead[result.ID()]
	if !isLead || !result.Alive() {
		return
	}
	if r.loads == nil {
		r.loads = map[instance.ReplicaID]loadReport{}
	}
	r.loads[replica] = loadReport{result.Load(), result.At()}
	p := r.positions[replica]
	r.byModel[p.model][p.index] = r.byModel[p.model][p.index].WithLoad(result.Load(), result.At())
}
