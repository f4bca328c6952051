package replica

import (
	"slices"
	"time"

	"github.com/azurepond/azurepond/pkg/route"
)

// This file moves instances between models when the demand shifts or the fleet shrinks. Small replicas survive the loss of
// instances more easily than large ones, so without it the instances would accumulate in the small models.

// The factors by which the pressure on one model must exceed that on another before instances move to it.
const (
	repairMargin  = 1.3 // one instance restores a whole replica
	convertMargin = 1.5 // all members are out of service for a few seconds
)

// conversionInterval is the minimum time between two conversions. The effect of one is visible in the demand after it.
const conversionInterval = 3 * time.Second

// demandWeight is the weight of the latest second in the moving average of the demand, which follows a burst within about
// three seconds.
const demandWeight = 0.3

// updateDemand adds the work of the last second to the moving average.
func (s *State) updateDemand(work map[string]float64) {
	if s.demand == nil {
		s.demand = work
		return
	}
	for _, m := range s.engine.Models() {
		s.demand[m.Name()] += demandWeight * (work[m.Name()] - s.demand[m.Name()])
	}
}

// demandFor returns how many replicas a model keeps busy. Before the demand is known, it follows from the model's share of
// the instances.
func (d *draft) demandFor(model route.Model) float64 {
	if d.demand != nil {
		return d.demand[model.Name()]
	}
	return model.InitialShare() / float64(model.ReplicaSize())
}

// replicaCount returns how many replicas of a model the draft holds, without those that are evacuated.
func (d *draft) replicaCount(model route.Model) int {
	count := 0
	for _, g := range d.next.groups {
		if g.model == model.Name() && !d.hasEvacuated(g) {
			count++
		}
	}
	return count
}

// pressure returns the work per replica of a model with count replicas.
func (d *draft) pressure(model route.Model, count int) float64 {
	return d.demandFor(model) / max(float64(count), 0.5) // zero replicas count as 0.5
}

// byPressure returns the models sorted by pressure, the highest first.
func (d *draft) byPressure() []route.Model {
	models := slices.Clone(d.engine.Models())
	slices.SortStableFunc(models, func(a, b route.Model) int {
		if d.pressure(a, d.replicaCount(a)) > d.pressure(b, d.replicaCount(b)) {
			return -1
		}
		return 1
	})
	return models
}

// dissolve removes replicas of other models in a fabric domain until count of their instances are warm for model, as long as
// the pressure on model exceeds that on the other models by the factor margin. It reports whether there were enough.
func (d *draft) dissolve(domain string, model route.Model, count int, margin float64) bool {
	if d.noTransfers {
		return false
	}
	var victims []group
	gained := 0
	for _, other := range d.next.groups {
		if gained >= count {
			break
		}
		if other.model != model.Name() && d.nodes[other.members[0].id].domain == domain && !d.hasEvacuated(other) &&
			d.mayDissolve(other, victims, model, margin) {
			victims = append(victims, other)
			gained += d.warmMembers(other, model)
		}
	}
	if gained < count {
		return false
	}
	for _, victim := range victims {
		d.remove(victim)
	}
	return true
}

// mayDissolve reports whether the model of victim stays under less pressure than model without victim and the other victims.
func (d *draft) mayDissolve(victim group, victims []group, model route.Model, margin float64) bool {
	if d.warmMembers(victim, model) == 0 {
		return false
	}
	victimModel, _ := d.engine.Model(victim.model)
	remaining := d.replicaCount(victimModel) - 1
	for _, v := range victims {
		if v.model == victim.model {
			remaining--
		}
	}
	return remaining > 0 && d.pressure(victimModel, remaining)*margin < d.pressure(model, d.replicaCount(model))
}

// warmMembers returns how many members of g are warm for model.
func (d *draft) warmMembers(g group, model route.Model) int { return d.countWarm(g.ids(), model) }

func (d *draft) remove(g group) {
	d.next.groups = slices.DeleteFunc(d.next.groups, func(other group) bool { return other.name == g.name })
	d.release(g.members)
	d.changed = true
}

// convert dissolves replicas of models under low pressure and forms one of the model under the highest pressure.
func (d *draft) convert() {
	if d.demand == nil || d.now.Sub(d.lastConversion) < conversionInterval || d.isForming(d.next.groups) {
		return
	}
	model := d.byPressure()[0]
	for _, domain := range d.domains() {
		idle := len(d.eligible(domain, model))
		if !d.dissolve(domain, model, model.ReplicaSize()-idle, convertMargin) {
			continue
		}
		d.lastConversion = d.now
		if members := d.fastestMembers(model); members != nil {
			d.add(group{d.unusedName(), model.Name(), 0, members})
		}
		return
	}
}

// isForming reports whether one of the replicas is not open yet. Evacuated ones do not open.
func (s *State) isForming(groups []group) bool {
	for _, g := range groups {
		head := s.nodes[g.members[0].id]
		isOpen := head != nil && head.membership.isIn(g.name, g.epoch) && head.membership.phase == PhaseOpen
		if !isOpen && !s.hasEvacuated(g) {
			return true
		}
	}
	return false
}
