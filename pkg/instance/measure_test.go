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
	domains             []int // instances by domain, two domains to a data centre
	big                 Model
	small               Model
	slots               int64
	settleTime          time.Duration // after each section
	replacementInterval time.Duration // between two steps of a rolling replacement
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

// smallest is a size that a test can afford.
var smallestFleet = fleet{
	"18",
	[]int{6, 6, 6},
	NewModel("big", "p", 2, 6), NewModel("small", "p", 1, 1).WithSurplus(5), 6,
	15 * time.Minute, 3 * time.Minute,
}

// weights are what one user pays for a replica-second of downtime and an accelerator-second of stranding.
type costWeights struct {
	name                string
	downtime, stranding float64
}

var weightings = []costWeights{{"vestiario", 1000, 1}, {"bellandi", 100, 5}}

const (
	measuredLoad    = 2 * time.Minute
	measuredWork    = 15 * time.Second
	measuredArrival = 10 * time.Minute
)

// section is one part of the measured script.
type scenario struct {
	name string
	play func(r *harness, f fleet)
}

var scenarios = []scenario{
	{"member dies", func(r *harness, _ fleet) { r.killMember("big") }},
	{"pause of 30 s", func(r *harness, _ fleet) { r.pauseMember(30 * time.Second) }},
	{"pause of 300 s", func(r *harness, _ fleet) { r.pauseMember(300 * time.Second) }},
	{"domain dark for 300 s", func(r *harness, _ fleet) {
		r.play("pause d1")
		r.run(300*time.Second, nil)
		r.play("wake d1")
	}},
	{"rolling, drained first", func(r *harness, f fleet) { r.replaceAll("drain", f.replacementInterval) }},
	{"rolling, leaving at once", func(r *harness, f fleet) { r.replaceAll("leave", f.replacementInterval) }},
	{"store out, two die", func(r *harness, _ fleet) {
		r.play("down")
		r.run(30*time.Second, nil)
		r.killMember("big")
		r.killMember("big")
		r.run(measuredArrival/2, nil)
		r.play("up")
	}},
	{"holder pauses in a repair", func(r *harness, _ fleet) {
		r.killMember("big")
		r.run(30*time.Second, nil)
		r.play("freeze holder")
		r.run(time.Minute, nil)
		r.play("thaw all")
	}},
}

// victim returns a member of the first whole replica of model, in the middle of its ranks.
func (r *harness) middleMember(model string) string {
	for _, s := range r.daemons[2].state.ServingReplicas(model, r.now) {
		return string(s.members[len(s.members)/2])
	}
	return string(r.order[0])
}

// dies kills a member; its successor appears later.
func (r *harness) killMember(model string) {
	id := r.middleMember(model)
	r.play("kill " + id)
	r.schedule(measuredArrival, func() { r.play("succeed " + id) })
	r.run(10*time.Second, nil)
}

func (r *harness) pauseMember(span time.Duration) {
	id := r.middleMember("big")
	r.play("pause " + id)
	r.run(span, nil)
	r.play("wake " + id)
}

// rolls replaces every instance: it is announced, and four minutes later its successor stands in its place.
func (r *harness) replaceAll(verb string, pace time.Duration) {
	for _, id := range append([]ID(nil), r.order...) {
		r.play(verb + " " + string(id))
		r.schedule(4*time.Minute, func() { r.play("succeed " + string(id)) })
		r.run(pace, nil)
	}
}

// measure plays all sections and returns the costs of each.
func measure(f fleet, w costWeights, p planner) (costs []Costs, spanning []time.Duration) {
	big := f.big.WithAccelerators(4).WithBytes(120).WithCostWeights(w.downtime, w.stranding)
	small := f.small.WithAccelerators(4).WithBytes(120).WithCostWeights(w.downtime/10, w.stranding)
	s := NewSettings("", 1, []Model{big, small}).WithWeightStore(f.slots, 1).WithFailureTimes(125*time.Hour, measuredArrival)
	var rows []Instance
	for d, count := range f.domains {
		for i := range count {
			id := ID(fmt.Sprintf("i%d%03d", d, i))
			rows = append(rows, NewInstance(id, string(id), "d"+strconv.Itoa(d), "c"+strconv.Itoa(d/2), 4))
		}
	}
	r := newHarness(s, 3, rows, true, measuredLoad)
	r.skipChecks, r.workTime = true, measuredWork
	r.eachState(func(s *State) { s.planner = p })
	observer := r.daemons[2]
	s.name = observer.name
	r.feed(observer, NewConfigured(s.WithObserver(true)))
	r.run(3*f.settleTime, nil)
	for _, section := range scenarios {
		before, spanned := observer.state.Costs(), r.multiDomainTime
		section.play(r, f)
		r.run(f.settleTime, nil)
		after := observer.state.Costs()
		costs = append(costs, Costs{downtime: after.downtime - before.downtime, stranded: after.stranded - before.stranded})
		spanning = append(spanning, r.multiDomainTime-spanned)
	}
	return costs, spanning
}

// BenchmarkPolicy measures the policy beside the naive planners over the same failures; run it with -benchtime 1x.
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

// TestPolicyAgainstNaive holds the policy to the targets: half of the naive planner's downtime by Vestiario's weights, six
// tenths of its stranding by Bellandi's, and no more than a tenth worse on the other measure.
func TestPolicyAgainstNaive(t *testing.T) {
	Convey("Over the same failures the policy meets both users' targets", t, func() {
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
