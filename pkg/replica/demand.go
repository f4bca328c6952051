package replica

import (
	"slices"
	"time"

	"github.com/azurepond/azurepond/pkg/route"
)

// The decisions of this file answer demand that shifts between models, and a fleet that shrinks: small replicas survive
// the loss of instances more easily than large ones, so without them the instances drift to the small models.

// How much higher the pressure on one model must be than on another before an instance changes sides.
const (
	repairMargin  = 1.3 // a repair brings a whole replica back for one instance
	convertMargin = 1.5 // a conversion costs a few seconds of all its members
)

// convertPause is the time between two conversions, in which the effect of the last one shows in the demand.
const conversionInterval = 3 * time.Second

// demandGain is the weight of the newest second in the demand; it follows a burst within about three seconds.
const demandWeight = 0.3

// demanded takes in how much work came for each model in the last second.
func (s *State) updateDemand(work map[string]float64) {
	if s.demand == nil {
		s.demand = work
		return
	}
	for _, m := range s.engine.Models() {
		s.demand[m.Name()] += demandWeight * (work[m.Name()] - s.demand[m.Name()])
	}
}

// need returns how many replicas a model needs: by its demand, before that is known by its share of the instances.
func (d *draft) demandFor(model route.Model) float64 {
	if d.demand != nil {
		return d.demand[model.Name()]
	}
	return model.InitialShare() / float64(model.ReplicaSize())
}

// replicas returns how many replicas of a model are recorded.
func (d *draft) replicaCount(model route.Model) int {
	count := 0
	for _, g := range d.next.groups {
		if g.model == model.Name() {
			count++
		}
	}
	return count
}

// pressure returns how much work each of count replicas of a model would have.
func (d *draft) pressure(model route.Model, count int) float64 {
	return d.demandFor(model) / max(float64(count), 0.5) // half a replica stands for none
}

// neediest returns the models in the order of the pressure on them, the highest first.
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

// dissolve takes replicas of other models in a fabric domain apart until count of their instances can join model
// quickly, as long as the pressure on those models stays lower than that on model by margin; it reports whether it did.
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
		if other.model != model.Name() && d.nodes[other.members[0].id].domain == domain && d.mayDissolve(other, victims, model, margin) {
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

// mayLose reports whether the model of victim stays under less pressure than model without it and the other victims.
func (d *draft) mayDissolve(victim group, victims []group, model route.Model, margin float64) bool {
	if d.warmMembers(victim, model) == 0 {
		return false
	}
	loser, _ := d.engine.Model(victim.model)
	left := d.replicaCount(loser) - 1
	for _, v := range victims {
		if v.model == victim.model {
			left--
		}
	}
	return left > 0 && d.pressure(loser, left)*margin < d.pressure(model, d.replicaCount(model))
}

// quick returns how many members of g could join a replica of model without a load from the weight store.
func (d *draft) warmMembers(g group, model route.Model) int { return d.countWarm(g.ids(), model) }

func (d *draft) remove(g group) {
	d.next.groups = slices.DeleteFunc(d.next.groups, func(other group) bool { return other.name == g.name })
	d.release(g.members)
	d.changed = true
}

// convert takes replicas of a model under low pressure apart and forms one of the model under the highest.
func (d *draft) convert() {
	if d.demand == nil || d.now.Sub(d.lastConversion) < conversionInterval || d.isForming() {
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

// isForming reports whether a recorded replica is not open yet.
func (d *draft) isForming() bool {
	for _, g := range d.next.groups {
		head := d.nodes[g.members[0].id]
		if head == nil || !head.member.isIn(g.name, g.epoch) || head.member.phase != PhaseOpen {
			return true
		}
	}
	return false
}
