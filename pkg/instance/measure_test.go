package instance

import (
	"fmt"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// fleet is a size at which the policy is measured.
type fleet struct {
	name                string
	domains             []int // instances per domain, two domains per data centre
	big                 Model
	small               Model
	maxLoads            int64
	settleTime          time.Duration // after each scenario
	replacementInterval time.Duration // between two departures of a rolling replacement
}

var fleets = []fleet{
	{
		"50",
		[]int{17, 17, 16},
		NewModel("big", "p", 4, 11), NewModel("small", "p", 1, 2).WithSurplus(6), 8,
		30 * time.Minute, 3 * time.Minute,
	},
	{
		"600",
		[]int{100, 100, 100, 100, 100, 100},
		NewModel("big", "p", 32, 17), NewModel("small", "p", 4, 2).WithSurplus(20), 32,
		30 * time.Minute, time.Minute,
	},
}

// smallestFleet is small enough for a test.
var smallestFleet = fleet{
	"18",
	[]int{6, 6, 6},
	NewModel("big", "p", 2, 6), NewModel("small", "p", 1, 1).WithSurplus(5), 6,
	15 * time.Minute, 3 * time.Minute,
}

// costWeights are one user's costs of a replica-second of downtime and an accelerator-second of stranding.
type costWeights struct {
	name                string
	downtime, stranding float64
}

var weightings = []costWeights{{"vestiario", 1000, 1}, {"bellandi", 100, 5}}

const (
	measuredLoadTime        = 2 * time.Minute
	measuredRequestTime     = 15 * time.Second
	measuredReplacementTime = 10 * time.Minute
)

// scenario is one part of the measured script.
type scenario struct {
	name string
	run  func(h *harness, f fleet)
}

var scenarios = []scenario{
	{"member dies", func(h *harness, _ fleet) { h.killMember("big") }},
	{"pause of 30 s", func(h *harness, _ fleet) { h.pauseMember(30 * time.Second) }},
	{"pause of 300 s", func(h *harness, _ fleet) { h.pauseMember(300 * time.Second) }},
	{"domain outage of 300 s", func(h *harness, _ fleet) {
		h.play("pause d1")
		h.run(300*time.Second, nil)
		h.play("resume d1")
	}},
	{"rolling, drained first", func(h *harness, f fleet) { h.replaceAll("drain", f.replacementInterval) }},
	{"rolling, leaving at once", func(h *harness, f fleet) { h.replaceAll("leave", f.replacementInterval) }},
	{"store outage, two die", func(h *harness, _ fleet) {
		h.play("store-down")
		h.run(30*time.Second, nil)
		h.killMember("big")
		h.killMember("big")
		h.run(measuredReplacementTime/2, nil)
		h.play("store-up")
	}},
	{"holder frozen in a repair", func(h *harness, _ fleet) {
		h.killMember("big")
		h.run(30*time.Second, nil)
		h.play("freeze holder")
		h.run(time.Minute, nil)
		h.play("unfreeze all")
	}},
}

// middleMember returns the member with the middle rank of the first available replica of model.
func (h *harness) middleMember(model string) string {
	for _, s := range h.daemons[2].state.ServingReplicas(model, h.now) {
		return string(s.members[len(s.members)/2])
	}
	return string(h.engineIDs[0])
}

// killMember kills a member. Its replacement appears later.
func (h *harness) killMember(model string) {
	id := h.middleMember(model)
	h.play("kill " + id)
	h.schedule(measuredReplacementTime, func() { h.play("replace " + id) })
	h.run(10*time.Second, nil)
}

func (h *harness) pauseMember(duration time.Duration) {
	id := h.middleMember("big")
	h.play("pause " + id)
	h.run(duration, nil)
	h.play("resume " + id)
}

// replaceAll replaces each instance: verb announces its departure, and four minutes later its replacement appears.
func (h *harness) replaceAll(verb string, interval time.Duration) {
	for _, id := range append([]ID(nil), h.engineIDs...) {
		h.play(verb + " " + string(id))
		h.schedule(4*time.Minute, func() { h.play("replace " + string(id)) })
		h.run(interval, nil)
	}
}

// measure runs all scenarios and returns the costs of each.
func measure(f fleet, w costWeights, p planner) (costs []Costs, spanning []time.Duration) {
	big := f.big.WithAccelerators(4).WithBytes(120).WithCostWeights(w.downtime, w.stranding)
	small := f.small.WithAccelerators(4).WithBytes(120).WithCostWeights(w.downtime/10, w.stranding)
	s := NewSettings("", 1, []Model{big, small}).WithWeightStore(f.maxLoads, 1).
		WithFailureTimes(125*time.Hour, measuredReplacementTime)
	var listings []Instance
	for d, count := range f.domains {
		for i := range count {
			id := ID(fmt.Sprintf("i%d%03d", d, i))
			listings = append(listings, NewInstance(id, string(id), "d"+strconv.Itoa(d), "c"+strconv.Itoa(d/2), 4))
		}
	}
	h := newHarness(s, 3, listings, true, measuredLoadTime)
	h.skipChecks, h.requestTime = true, measuredRequestTime
	h.eachState(func(s *State) { s.planner = p })
	observer := h.daemons[2]
	s.name = observer.name
	h.feed(observer, NewConfigured(s.WithObserver(true)))
	h.run(3*f.settleTime, nil)
	for _, scenario := range scenarios {
		before, spanned := observer.state.Costs(), h.multiDomainTime
		scenario.run(h, f)
		h.run(f.settleTime, nil)
		after := observer.state.Costs()
		costs = append(costs, Costs{downtime: after.downtime - before.downtime, stranded: after.stranded - before.stranded})
		spanning = append(spanning, h.multiDomainTime-spanned)
	}
	return costs, spanning
}

// BenchmarkPolicy compares the policy with the naive planners over the same failures. Run it with -benchtime 1x.
func BenchmarkPolicy(b *testing.B) {
	for _, f := range append([]fleet{smallestFleet}, fleets...) {
		for _, w := range weightings {
			for _, p := range []planner{policy{}, naivePlanner{}, naivePlanner{greedy: true}} {
				b.Run(fmt.Sprintf("%s/%s/%T%+v", f.name, w.name, p, p), func(b *testing.B) {
					for range b.N {
						costs, spanning := measure(f, w, p)
						report(b, costs, spanning)
					}
				})
			}
		}
	}
}

// TestPolicyAgainstNaive checks the targets of the policy: half of the naive planner's downtime with Vestiario's
// weights, six tenths of its stranding with Bellandi's, and at most a tenth worse on the other measure.
func TestPolicyAgainstNaive(t *testing.T) {
	Convey("Over the same failures the policy meets the targets of both users", t, func() {
		var base, vestiario, bellandi Costs
		var runs sync.WaitGroup
		runs.Go(func() { base = sum(measure(smallestFleet, weightings[0], naivePlanner{})) })
		runs.Go(func() { vestiario = sum(measure(smallestFleet, weightings[0], policy{})) })
		runs.Go(func() { bellandi = sum(measure(smallestFleet, weightings[1], policy{})) })
		runs.Wait()
		So(vestiario.downtime, ShouldBeLessThanOrEqualTo, base.downtime/2)
		So(vestiario.stranded, ShouldBeLessThanOrEqualTo, base.stranded*11/10)
		So(bellandi.stranded, ShouldBeLessThanOrEqualTo, base.stranded*6/10)
		So(bellandi.downtime, ShouldBeLessThanOrEqualTo, base.downtime*11/10)
	})
}

func sum(costs []Costs, _ []time.Duration) Costs {
	var total Costs
	for _, c := range costs {
		total.downtime += c.downtime
		total.stranded += c.stranded
	}
	return total
}

func report(b *testing.B, costs []Costs, spanning []time.Duration) {
	var downtime, stranded, spanned time.Duration
	for i, c := range costs {
		b.Logf("%-26s downtime %8.0f stranded %10.0f spanning %9.0f", scenarios[i].name,
			c.downtime.Seconds(), c.stranded.Seconds(), spanning[i].Seconds())
		downtime += c.downtime
		stranded += c.stranded
		spanned += spanning[i]
	}
	b.ReportMetric(downtime.Seconds(), "replica-s")
	b.ReportMetric(stranded.Seconds(), "accelerator-s")
	b.ReportMetric(spanned.Seconds(), "spanning-s")
}
