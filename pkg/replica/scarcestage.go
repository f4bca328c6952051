package replica

import (
	"cmp"
	"slices"
	"time"

	"github.com/azurepond/azurepond/pkg/route"
)

// While a model lacks replicas, the hosts of instances that would serve it better than their present model stage it. The
// instances serve meanwhile, and a conversion then takes them out of service for seconds only.

// stagingGain returns the benefit of staging model for idle instances that form a replica of it.
func (d *draft) stagingGain(model route.Model, ids []ID) float64 {
	if !d.isScarce() {
		return d.pressure(model, d.replicaCount(model))
	}
	capacity := d.capacity(model)
	useful := max(conversionHorizon-d.formationDelay(ids, model), time.Second)
	return (d.worth(model, capacity+1) - d.worth(model, capacity)) * useful.Seconds()
}

// stageForConversion stages the model under the highest pressure on the hosts of other replicas, as many as should be
// converted. Replicas with the fewest loads come first.
func (s *State) stageForConversion(now time.Time) {
	d := s.newDraft(now, s.record)
	if !d.isScarce() {
		return
	}
	model := d.scarcest()
	capacities := map[string]float64{}
	for _, m := range d.engine.Models() {
		capacities[m.Name()] = d.capacity(m)
	}
	groups := slices.Clone(s.record.groups)
	slices.SortStableFunc(groups, func(a, b group) int {
		return cmp.Compare(len(a.members)-d.warmMembers(a, model), len(b.members)-d.warmMembers(b, model))
	})
	for _, g := range groups {
		if g.model == model.Name() || !d.isListed(g) || capacities[g.model] <= 1 {
			continue
		}
		other, _ := d.engine.Model(g.model)
		gained := float64(len(g.members)) / float64(model.ReplicaSize())
		gain := d.worth(model, capacities[model.Name()]+gained) - d.worth(model, capacities[model.Name()])
		loss := d.worth(other, capacities[other.Name()]) - d.worth(other, capacities[other.Name()]-1)
		if gain < minGainRatio*loss {
			return
		}
		capacities[model.Name()] += gained
		capacities[other.Name()]--
		for _, m := range g.members {
			s.stageMember(now, g, m, model, 1)
		}
	}
}

// scarcest returns the model under the highest pressure by the average over waves.
func (d *draft) scarcest() route.Model {
	return slices.MaxFunc(d.engine.Models(), func(a, b route.Model) int {
		return cmp.Compare(d.steadyDemand[a.Name()]*max(d.capacity(b), 0.5), d.steadyDemand[b.Name()]*max(d.capacity(a), 0.5))
	})
}
