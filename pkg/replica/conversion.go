package replica

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/azurepond/azurepond/pkg/route"
)

// This file decides which replicas give their instances to another model while a model has too few replicas. A conversion is
// made if its benefit over conversionHorizon exceeds what it costs: the work of the dissolved replicas from now on, and that
// of the new ones until they have loaded and opened.

const (
	// enoughPressure is the pressure up to which a model has enough replicas. A pressure of 1 uses half of the slots, so a load
	// that swings by 0.55 uses at most 0.62 of them.
	enoughPressure = 0.8

	// conversionHorizon is for how long a conversion is expected to be of use. The load shifts within minutes.
	conversionHorizon = time.Minute

	// minGainRatio is how many times the gain of a conversion exceeds its loss. The average of waves of 15 s with a swing of
	// 0.55 varies by 8 in 100, so that conversions there and back would need a ratio of 1.16 of two of them.
	minGainRatio = 1.15

	// maxConvertedShare is the share of the instances that conversions may take out of service within conversionInterval.
	maxConvertedShare = 0.125

	// steadyWeight is the weight of the latest second in the average of the demand that conversions follow. It averages over
	// waves of 15 s.
	steadyWeight = 0.06

	// minDemandReports is the number of seconds of demand before the first conversion.
	minDemandReports = 3
)

// conversion is the formation of replicas of a model of the members of other replicas and idle instances of a domain.
type conversion struct {
	model   route.Model
	victims []group
	members []ID // of the new replicas, those that load fastest first
	gain    float64
	loss    float64
	delay   time.Duration // until the new replicas serve
}

// net returns the benefit of the conversion minus its cost.
func (c conversion) net() float64 {
	return c.gain*(conversionHorizon-c.delay).Seconds() - c.loss*conversionHorizon.Seconds()
}

// updateSteadyDemand adds the work of the last second to the average over waves, which is the mean until it has as many
// reports.
func (s *State) updateSteadyDemand(work map[string]float64) {
	if s.steadyDemand == nil {
		s.steadyDemand = map[string]float64{}
	}
	s.demandReports++
	weight := max(1/float64(s.demandReports), steadyWeight)
	for _, m := range s.engine.Models() {
		s.steadyDemand[m.Name()] += weight * (work[m.Name()] - s.steadyDemand[m.Name()])
	}
}

// isScarce reports whether a model has too few replicas for its demand.
func (d *draft) isScarce() bool {
	return d.demandReports >= minDemandReports && !d.noTransfers && !d.equalPlanOnly && slices.ContainsFunc(d.engine.Models(), d.lacksReplicas)
}

// lacksReplicas reports whether a model has too few replicas for its demand.
func (d *draft) lacksReplicas(model route.Model) bool {
	return d.steadyDemand[model.Name()] > enoughPressure*max(d.capacity(model), 0.5)
}

// capacity returns the replicas of a model in the draft. Those that span domains count less, as they are slower.
func (d *draft) capacity(model route.Model) float64 {
	capacity := 0.0
	for _, g := range d.next.groups {
		switch {
		case g.model != model.Name():
		case d.isCrossDomain(g):
			capacity += 1 / d.engine.CrossDomainFactor()
		default:
			capacity++
		}
	}
	return capacity
}

// worth returns the value per second of this number of replicas of a model: the logarithm of the share of its demand that
// they serve, weighted by the instances which the demand needs. The sum over the models is highest where the pressure is
// equal. Replicas beyond enough have no value.
func (d *draft) worth(model route.Model, replicas float64) float64 {
	demand := d.steadyDemand[model.Name()]
	if demand <= 0 {
		return 0
	}
	return float64(model.ReplicaSize()) * demand * math.Log(min(max(replicas, 0.5), demand/enoughPressure))
}

// convertScarce makes the conversions with the highest net benefit.
func (d *draft) convertScarce() {
	if d.now.Sub(d.lastConversion) >= conversionInterval {
		d.convertedInstances = 0
	}
	limit := maxConvertedShare * float64(len(d.nodes))
	for float64(d.convertedInstances) < limit {
		best, isFound := d.bestConversion()
		if !isFound {
			return
		}
		if d.convertedInstances == 0 {
			d.lastConversion = d.now
		}
		d.apply(best)
	}
}

// bestConversion returns the conversion with the highest net benefit, if one has any.
func (d *draft) bestConversion() (best conversion, isFound bool) {
	for _, model := range d.engine.Models() {
		if !d.lacksReplicas(model) {
			continue
		}
		for _, domain := range d.domains() {
			for _, warmOnly := range []bool{true, false} {
				c, isPossible := d.conversionIn(domain, model, nil, warmOnly)
				if isPossible && c.gain >= minGainRatio*c.loss && c.net() > max(best.net(), 0) {
					best, isFound = c, true
				}
			}
		}
	}
	return best, isFound
}

// conversionIn returns the conversion to model with the least loss in a domain. The survivors of a replica that lost members
// are the first members of the new one. Without warmOnly, members may load from the weight store.
func (d *draft) conversionIn(domain string, model route.Model, survivors []ID, warmOnly bool) (conversion, bool) {
	c := conversion{model: model}
	pool := d.usable(d.idle(domain, model), model, warmOnly)
	missing := model.ReplicaSize() - len(survivors)
	if survivors == nil && len(pool) >= missing {
		return c, false // they form a replica, or are staged, without a conversion
	}
	capacities := map[string]float64{}
	for _, m := range d.engine.Models() {
		capacities[m.Name()] = d.capacity(m)
	}
	for len(pool) < missing {
		victim, loss, isFound := d.cheapestVictim(domain, model, capacities, c.victims, warmOnly)
		if !isFound {
			return c, false
		}
		c.victims, c.loss = append(c.victims, victim), c.loss+loss
		capacities[victim.model]--
		pool = append(pool, d.usable(victim.ids(), model, warmOnly)...)
	}
	d.sortByLoadTime(pool, model)
	gained := 1
	if survivors == nil {
		gained = len(pool) / model.ReplicaSize()
	}
	added := pool[:gained*model.ReplicaSize()-len(survivors)]
	c.members = slices.Concat(survivors, added)
	c.gain = d.worth(model, capacities[model.Name()]+float64(gained)) - d.worth(model, capacities[model.Name()])
	c.delay = d.formationDelay(added, model)
	return c, true
}

// repairScarce repairs a replica with the instances of its domain whose use costs least, if that is less than the benefit. It
// reports whether it did.
func (d *draft) repairScarce(g group, survivors []member) bool {
	model, _ := d.engine.Model(g.model)
	domain := d.nodes[survivors[0].id].domain
	var best conversion
	for _, warmOnly := range []bool{true} {
		c, isPossible := d.conversionIn(domain, model, group{members: survivors}.ids(), warmOnly)
		if isPossible && c.net() > max(best.net(), 0) {
			best = c
		}
	}
	if best.members == nil {
		return false
	}
	for _, victim := range best.victims {
		d.remove(victim)
	}
	d.add(group{g.name, g.model, 0, d.membersOf(best.members)})
	return true
}

func (d *draft) membersOf(ids []ID) []member {
	members := make([]member, 0, len(ids))
	for _, id := range ids {
		members = append(members, member{id, d.nodes[id].incarnation})
	}
	return members
}

// usable returns those of the instances that may join a replica of model.
func (d *draft) usable(ids []ID, model route.Model, warmOnly bool) []ID {
	var usable []ID
	for _, id := range ids {
		if !warmOnly || d.nodes[id].loadTime(model) < model.LoadTime() {
			usable = append(usable, id)
		}
	}
	return usable
}

// cheapestVictim returns the replica of another model in a domain whose loss is the least for each instance that model gains.
// Of equal ones it returns the one whose instances load model fastest. The last replica of a model is none.
func (d *draft) cheapestVictim(
	domain string, model route.Model, capacities map[string]float64, victims []group, warmOnly bool,
) (best group, bestLoss float64, isFound bool) {
	bestCost, bestTime := 0.0, time.Duration(0)
	for _, g := range d.next.groups {
		if g.model == model.Name() || capacities[g.model] <= 1 || d.nodes[g.members[0].id].domain != domain ||
			d.isCrossDomain(g) || d.isForming([]group{g}) ||
			slices.ContainsFunc(victims, func(v group) bool { return v.name == g.name }) {
			continue
		}
		usable := d.usable(g.ids(), model, warmOnly)
		if len(usable) == 0 {
			continue
		}
		victimModel, _ := d.engine.Model(g.model)
		loss := d.worth(victimModel, capacities[g.model]) - d.worth(victimModel, capacities[g.model]-1)
		cost, loadTime := loss/float64(len(usable)), d.formationDelay(usable, model)
		if !isFound || cost < bestCost || cost == bestCost && loadTime < bestTime {
			best, bestLoss, bestCost, bestTime, isFound = g, loss, cost, loadTime, true
		}
	}
	return best, bestLoss, isFound
}

// formationDelay returns how long it takes until instances that belong to other replicas serve model: their calls end, they
// load the model, at most so many at once as the weight store supports, and the replica opens.
func (d *draft) formationDelay(ids []ID, model route.Model) time.Duration {
	var slowest time.Duration
	loads := 0
	for _, id := range ids {
		loadTime := d.nodes[id].loadTime(model)
		slowest = max(slowest, loadTime)
		if loadTime == model.LoadTime() {
			loads++
		}
	}
	if limit := d.engine.MaxConcurrentLoads(); loads > 0 && limit > 0 {
		loads += d.runningLoads(d.now)
		slowest *= time.Duration((loads + limit - 1) / limit)
	}
	return drainTimeout + slowest + d.engine.FormationTime()
}

func (d *draft) sortByLoadTime(ids []ID, model route.Model) {
	slices.SortStableFunc(ids, func(a, b ID) int {
		return cmp.Compare(d.nodes[a].loadTime(model), d.nodes[b].loadTime(model))
	})
}

// apply makes a conversion.
func (d *draft) apply(c conversion) {
	d.conversions++
	for _, victim := range c.victims {
		d.remove(victim)
		d.convertedInstances += len(victim.members)
	}
	for ids := range slices.Chunk(c.members, c.model.ReplicaSize()) {
		d.add(group{d.unusedName(), c.model.Name(), 0, d.membersOf(ids)})
	}
}
