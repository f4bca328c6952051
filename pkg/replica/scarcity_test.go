package replica

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/azurepond/azurepond/pkg/route"

	. "github.com/smartystreets/goconvey/convey"
)

// simDeployment is a deployment whose demand exceeds its capacity.
type simDeployment struct {
	name               string
	domains, perDomain int
	large, small       route.Model
	demand             map[string]float64 // replicas that each model keeps busy
}

var scarceDeployments = []simDeployment{
	{
		"162 engines", 9, 18, sized(large, 8, 0.4), sized(small, 2, 0.6),
		map[string]float64{"large": 22, "small": 183},
	},
	{
		"222 engines", 6, 37, sized(large, 16, 0.37), sized(small, 4, 0.63),
		map[string]float64{"large": 13, "small": 58},
	},
}

// sized returns a model with this replica size and share of the instances.
func sized(m route.Model, size int, share float64) route.Model {
	return route.NewModel(m.Name(), size, share, m.TimeFactor()).WithLoadTimes(m.LoadTime(), m.WarmLoadTime())
}

// scarceLoad is what happens to a deployment in a minute.
type scarceLoad struct {
	name     string
	ofLarge  bool                                   // the engines that are lost are members of large replicas
	losses   bool                                   // two or three engines each 3 s, while as many join without a model
	share    float64                                // of the large model before calls arrive, 0 for that of the deployment
	dark     bool                                   // a third of the domains is lost, and returns without models
	staged   bool                                   // its hosts keep their models
	factor   func(model string, at float64) float64 // on the demand
	newPlan  bool
	seed     uint64
	duration time.Duration
	minShare float64 // of the optimum
}

// scarceResult compares a plan with the optimum.
type scarceResult struct {
	value, optimum float64
	conversions    int
	open           map[string]float64 // mean number of open replicas
}

func (r scarceResult) share() float64 { return r.value / r.optimum }

// run replays a load.
func (p simDeployment) run(load scarceLoad) (scarceResult, *simulation) {
	if load.share > 0 {
		p.large, p.small = sized(p.large, p.large.ReplicaSize(), load.share), sized(p.small, p.small.ReplicaSize(), 1-load.share)
	}
	sim := newModelSimulation(p.domains, p.perDomain, 1, p.large, p.small)
	sim.daemons[0].state.equalPlanOnly = !load.newPlan
	sim.run(25 * time.Second)
	random := rand.New(rand.NewPCG(load.seed, 5))
	result := scarceResult{open: map[string]float64{}}
	if load.dark {
		for d := range p.domains / 3 {
			sim.setDomainDown(fmt.Sprintf("d%d", d))
		}
		sim.after(15*time.Second, func() {
			for d := range p.domains / 3 {
				sim.startDomain(fmt.Sprintf("d%d", d), load.staged)
			}
		})
	}
	steps := int(load.duration / (100 * time.Millisecond))
	for step := range steps {
		at := float64(step) / 10
		demand := map[string]float64{}
		for model, replicas := range p.demand {
			demand[model] = replicas * load.factor(model, at)
		}
		if step%10 == 0 {
			sim.feed(sim.daemons[0], NewDemandReported(demand))
		}
		if load.losses && step%30 == 0 {
			for range 2 + random.IntN(2) {
				sim.replaceEngine(random, load.ofLarge)
			}
		}
		sim.run(100 * time.Millisecond)
		open := map[string]float64{}
		for _, m := range sim.models {
			open[m.Name()] = sim.openCapacity(m)
			result.open[m.Name()] += open[m.Name()] / float64(steps)
		}
		result.value += p.value(demand, open) / float64(steps)
		result.optimum += p.optimum(demand, sim, load.ofLarge) / float64(steps)
	}
	result.conversions = sim.daemons[0].state.conversions
	return result, sim
}

// value returns the mean share of the demand that is served, weighted by the instances that each model needs. It is the
// geometric mean, which is low if one of the models gets few replicas.
func (p simDeployment) value(demand, open map[string]float64) float64 {
	sum, weights := 0.0, 0.0
	for _, m := range []route.Model{p.large, p.small} {
		weight := demand[m.Name()] * float64(m.ReplicaSize())
		sum += weight * math.Log(min(max(open[m.Name()], 0.5)/demand[m.Name()], 1))
		weights += weight
	}
	return math.Exp(sum / weights)
}

// optimum returns the highest value that the engines can have now, if all are in use that are alive and have had time to load a
// model, instances of all domains can form replicas, and each replica that lost a member is repaired as soon as possible.
func (p simDeployment) optimum(demand map[string]float64, sim *simulation, isOfLarge bool) float64 {
	alive := sim.alive()
	loaded := 0
	if len(sim.emptySince) > 0 {
		loaded = simConcurrentLoads * int(sim.now.Sub(sim.emptySince[0])/p.small.LoadTime())
	}
	usable := alive - max(len(sim.emptySince)-loaded, 0)
	serving := func(m route.Model, replicas int) float64 {
		losses := 0
		for _, at := range sim.losses {
			if sim.now.Sub(at) < 250*time.Millisecond+minSilentTime+m.WarmLoadTime()+simFormationTime {
				losses++
			}
		}
		if isOfLarge {
			losses *= int(math.Round(float64(alive) / float64(max(replicas, 1)*m.ReplicaSize())))
			if m.Name() != p.large.Name() {
				losses = 0
			}
		}
		return float64(replicas) * max(1-float64(losses*m.ReplicaSize())/float64(alive), 0)
	}
	best := 0.0
	for count := 0; count*p.large.ReplicaSize() <= usable; count++ {
		rest := (usable - count*p.large.ReplicaSize()) / p.small.ReplicaSize()
		open := map[string]float64{"large": serving(p.large, count), "small": serving(p.small, rest)}
		best = max(best, p.value(demand, open))
	}
	return best
}

// openCapacity returns the number of open replicas of a model. Those that span domains count less.
func (sim *simulation) openCapacity(model route.Model) float64 {
	capacity := 0.0
	for _, head := range sim.daemons[0].state.Heads(model.Name()) {
		if head.CrossDomain() {
			capacity += 1 / simCrossDomainFactor
			continue
		}
		capacity++
	}
	return capacity
}

func (sim *simulation) alive() int {
	count := 0
	for _, e := range sim.engines {
		if !e.down {
			count++
		}
	}
	return count
}

// replaceEngine kills an engine for good, and adds one without a model to its domain.
func (sim *simulation) replaceEngine(random *rand.Rand, ofLarge bool) {
	e := sim.engines[random.IntN(len(sim.engines))]
	for tries := 0; e.down || ofLarge && tries < 1000 && (e.membership.phase == PhaseNone || e.loadedModel != "large"); tries++ {
		e = sim.engines[random.IntN(len(sim.engines))]
	}
	sim.kill(e.id)
	sim.losses = append(sim.losses, sim.now)
	sim.emptySince = append(sim.emptySince, sim.now)
	sim.engines = append(sim.engines, &simEngine{
		id: ID(fmt.Sprintf("n%d", len(sim.engines))), domain: e.domain, incarnation: 1, readyIn: map[string]bool{},
	})
}

func (sim *simulation) setDomainDown(domain string) {
	for _, e := range sim.engines {
		if e.domain == domain && !e.down {
			sim.kill(e.id)
		}
	}
}

// startDomain restarts the engines of a domain, with or without the models on their hosts.
func (sim *simulation) startDomain(domain string, staged bool) {
	for _, e := range sim.engines {
		if e.domain != domain || !e.down {
			continue
		}
		sim.start(e.id)
		if !staged {
			e.stagedModel = ""
		}
		if e.stagedModel == "" {
			sim.emptySince = append(sim.emptySince, sim.now)
		}
	}
}

// constant is a load that does not change.
func constant(string, float64) float64 { return 1 }

// waves is a load that swings by 0.55 each 15 s, of the models one after the other.
func waves(model string, at float64) float64 {
	phase := 0.0
	if model == "small" {
		phase = math.Pi
	}
	return 1 + 0.55*math.Sin(2*math.Pi*at/15+phase)
}

// commonWaves is a load of all models that swings by 0.55 each 15 s.
func commonWaves(_ string, at float64) float64 { return 1 + 0.55*math.Sin(2*math.Pi*at/15) }

var scarceLoads = []scarceLoad{
	{name: "losses in waves", factor: commonWaves, losses: true, duration: 40 * time.Second, minShare: 0.9},
	{name: "losses of large replicas", factor: constant, losses: true, ofLarge: true, duration: 40 * time.Second, minShare: 0.85},
	{name: "too few large replicas", factor: constant, share: 0.15, losses: true, duration: 40 * time.Second, minShare: 0.85},
	{name: "dark data centre", factor: constant, dark: true, duration: 40 * time.Second, minShare: 0.9},
	{name: "waves of one model after the other", factor: waves, duration: 40 * time.Second, minShare: 0.85},
}

// means returns the mean share of the optimum with the plan for sufficient replicas, with the one for scarce ones, and the mean
// number of conversions, over the seeds.
func (p simDeployment) means(load scarceLoad) (before, after, conversions float64, violations []string) {
	seeds := 1
	if load.losses {
		seeds = 3
	}
	for seed := range seeds {
		load.seed, load.newPlan = uint64(seed), false
		old, _ := p.run(load)
		load.newPlan = true
		result, sim := p.run(load)
		before += old.share() / float64(seeds)
		after += result.share() / float64(seeds)
		conversions += float64(result.conversions) / float64(seeds)
		violations = append(violations, sim.violations...)
	}
	return before, after, conversions, violations
}

func TestScarcity(t *testing.T) {
	Convey("While models lack replicas, the plan is close to the optimum, and no worse than that for sufficient replicas", t, func() {
		for _, deployment := range scarceDeployments {
			for _, load := range scarceLoads {
				before, after, conversions, violations := deployment.means(load)
				Printf("\n%s, %s: %.3f of the optimum, before %.3f, %.1f conversions\n",
					deployment.name, load.name, after, before, conversions)
				So(violations, ShouldBeEmpty)
				So(after, ShouldBeGreaterThan, max(load.minShare, before-0.01))
			}
		}
	})
}

func TestConversionsInWaves(t *testing.T) {
	Convey("Waves of 15 s, of the models one after the other, cause no conversions once the numbers of replicas fit", t, func() {
		for _, deployment := range scarceDeployments {
			load := scarceLoad{factor: waves, newPlan: true, duration: 30 * time.Second}
			first, _ := deployment.run(load)
			load.duration = 90 * time.Second
			all, _ := deployment.run(load)
			Printf("\n%s: %d conversions within 30 s, %d within 90 s\n", deployment.name, first.conversions, all.conversions)
			So(all.conversions, ShouldEqual, first.conversions)
		}
	})
}
