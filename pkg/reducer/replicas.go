package reducer

import (
	"time"

	"github.com/azurepond/azurepond/pkg/engine"
	"github.com/azurepond/azurepond/pkg/instance"
)

// replicas is the view of the replicas that calls are routed by: those that were whole at the last refresh.
type replicas struct {
	models map[string][]engine.Upstream
	places map[instance.ReplicaID]place
	leads  map[instance.ID]instance.ReplicaID
	loads  map[instance.ReplicaID]load
	last   map[instance.ReplicaID]engine.Upstream
}

// place is where a replica stands in the list of its model.
type place struct {
	model string
	index int
}

// load is what the lead of a replica last reported, and when.
type load struct {
	load     instance.Load
	reported time.Time
}

// Len returns how many replicas of model take new calls.
func (r *replicas) Len(model string) int { return len(r.models[model]) }

// At returns one of the replicas of model that take new calls.
func (r *replicas) At(model string, i int) engine.Upstream { return r.models[model][i] }

// Find returns a replica that is whole, also while it drains.
func (r *replicas) Find(replica instance.ReplicaID) (engine.Upstream, bool) {
	upstream, isKnown := r.last[replica]
	return upstream, isKnown
}

// refresh takes over which replicas of models are whole at now.
func (r *replicas) refresh(now time.Time, state *instance.State, models []string) {
	last := r.last
	r.models = make(map[string][]engine.Upstream, len(models))
	r.places = map[instance.ReplicaID]place{}
	r.leads = map[instance.ID]instance.ReplicaID{}
	r.last = map[instance.ReplicaID]engine.Upstream{}
	for _, model := range models {
		for i, serving := range state.ServingReplicas(model, now) {
			replica := serving.Replica()
			upstream := engine.NewUpstream(replica, serving.Address(), serving.DataCentre())
			reported := r.loads[replica]
			r.models[model] = append(r.models[model], upstream.WithLoad(reported.load, reported.reported))
			r.places[replica] = place{model, i}
			r.leads[serving.Lead()] = replica
			r.last[replica] = upstream
		}
	}
	r.keepDraining(now, state, last)
	r.forgetLoads()
}

// keepDraining keeps the replicas that take no new calls but still end those that run.
func (r *replicas) keepDraining(now time.Time, state *instance.State, last map[instance.ReplicaID]engine.Upstream) {
	for replica, upstream := range last {
		if _, isWhole := r.last[replica]; isWhole {
			continue
		}
		if _, reason := state.Available(replica, now); reason.Cause() == instance.CauseDraining {
			r.last[replica] = upstream
		}
	}
}

func (r *replicas) forgetLoads() {
	for replica := range r.loads {
		if _, isKnown := r.last[replica]; !isKnown {
			delete(r.loads, replica)
		}
	}
}

// sight notes the load that the lead of a replica reports.
func (r *replicas) sight(s instance.ProbeResult) {
	replica, isLead := r.leads[s.ID()]
	if !isLead || !s.Alive() {
		return
	}
	if r.loads == nil {
		r.loads = map[instance.ReplicaID]load{}
	}
	r.loads[replica] = load{s.Load(), s.At()}
	p := r.places[replica]
	r.models[p.model][p.index] = r.models[p.model][p.index].WithLoad(s.Load(), s.At())
}
