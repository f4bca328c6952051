package dispatch

import (
	"cmp"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/pkg/route"
)

// scarceLoad is a load on two kinds of calls of one model, and two organisations, as multiples of what the slots allow.
type scarceLoad struct {
	urgent, other float64       // of the kinds
	share         float64       // of the organisation "two"
	flood         float64       // of the organisation "one" besides
	isUneven      bool          // a tenth of the calls are eleven times as long as the others
	isImpatient   bool          // callers return at once, up to five times
	firstEvent    time.Duration // from the start of a call, 0 for firstEventDelay
}

// The replay of scarce slots.
const (
	scarceDaemons  = 16
	scarceReplicas = 8
	scarceCapacity = scarceReplicas * replicaSlotCount / 0.8
	scarceTime     = 12 * time.Second
	otherGoal      = 2 * callGoal
	lateWorth      = 0.35 // of a late answer, beside one on time
	impatientTries = 5
	maxOutput      = 800 // tokens, that callers name
	hintError      = 0.8 // standard deviation of the logarithm of a caller's estimate divided by the output
	urgentPath     = "/draft/x"
	otherPath      = "/bulk/x"
)

// outcome is what the callers of a group got, counted over all their tries.
type outcome struct{ calls, onTime, served, worth float64 }

// scarceResult is the result of a replay of scarce slots.
type scarceResult struct {
	groups  map[string]*outcome // by kind, organisation and size class
	refused []time.Duration     // how long after its arrival each refused call was refused
	kept    float64             // share of the callers that returned at their time and got a first event soon
}

// runScarce replays a load with a policy.
func runScarce(load scarceLoad, p policy, seed uint64) scarceResult {
	cl := newCluster(scarceDaemons, scarceReplicas, false)
	kind := func(name string, goal time.Duration, priority int) route.Route {
		return route.NewRoute(name, "pond", "/"+name+"/", route.Stream).WithTimes(callTimeout, goal, callGoal).WithPriority(priority).
			WithMaxAttempts(2).WithResumable(true).WithSplit(route.NewWeightedService("engines", 1))
	}
	cl.config = cl.config.WithRoutes(kind("draft", callGoal, 0), kind("bulk", otherGoal, 2))
	cl.firstEventTime = load.firstEvent
	for i, daemon := range cl.daemons {
		daemon.policy = p
		cl.feed(i, NewConfigured(cl.config))
	}
	var arrivals []*clusterCall
	random, hints := rand.New(rand.NewPCG(seed, 5)), rand.New(rand.NewPCG(seed, 6))
	cl.onRefused = func(c *clusterCall) { cl.returnLater(c, load.isImpatient, random.IntN(scarceDaemons)) }
	for _, kind := range []struct {
		path, organisation string
		load               float64
	}{
		{urgentPath, "one", load.urgent * (1 - load.share)},
		{urgentPath, "two", load.urgent * load.share},
		{urgentPath, "one", load.flood},
		{otherPath, "one", load.other * (1 - load.share)},
		{otherPath, "two", load.other * load.share},
	} {
		for range int(kind.load * scarceCapacity * scarceTime.Seconds()) {
			at, daemon := time.Duration(random.Float64()*float64(scarceTime)), random.IntN(scarceDaemons)
			c := &clusterCall{path: kind.path, organisation: kind.organisation, daemon: daemon, timeout: callTimeout}
			c.output = 20 + int(80*random.ExpFloat64())
			c.isLarge = c.output > 204 // a tenth
			if load.isUneven {
				c.isLarge = random.IntN(10) == 0
				c.output = 50
				if c.isLarge {
					c.output = 550
				}
			}
			c.hint = max(int(float64(c.output)*math.Exp(hintError*hints.NormFloat64())), 1)
			c.arrived = epoch.Add(at)
			arrivals = append(arrivals, c)
		}
	}
	slices.SortFunc(arrivals, func(a, b *clusterCall) int { return a.arrived.Compare(b.arrived) })
	cl.startNext(arrivals)
	cl.run(scarceTime + 8*time.Second)
	return cl.scarceResult()
}

// startNext lets callers begin in their order.
func (cl *cluster) startNext(arrivals []*clusterCall) {
	if len(arrivals) > 0 {
		cl.after(arrivals[0].arrived.Sub(cl.now), func() {
			cl.begins(arrivals[0])
			cl.startNext(arrivals[1:])
		})
	}
}

// begins lets a caller send a try.
func (cl *cluster) begins(c *clusterCall) {
	c.id, c.arrived = ID(len(cl.calls)), cl.now
	if c.first == nil {
		c.contentHash = 1000 + uint64(c.id)
	}
	cl.calls = append(cl.calls, c)
	cl.feed(c.daemon, NewArrived(NewRequest(c.id, fmt.Sprint(c.id), "pond", c.path, c.organisation).WithModel("m", 500, maxOutput).
		WithLengthHint(c.hint).WithTimeout(c.timeout).WithContentHash(c.contentHash)))
}

// returnLater lets the caller of a refused call return at its Retry-After time, or at a third of the time left if that is earlier.
func (cl *cluster) returnLater(c *clusterCall, isImpatient bool, daemon int) {
	first := cmp.Or(c.first, c)
	left := c.timeout - cl.now.Sub(c.arrived)
	wait, tries := min(c.retryAfter, left/3), 1
	if isImpatient {
		wait, tries = 20*time.Millisecond, impatientTries
	}
	if first.sends > 0 || first.tries >= tries || left-wait <= 0 {
		return
	}
	first.tries++
	retry := &clusterCall{
		path: c.path, organisation: c.organisation, daemon: daemon, timeout: left - wait, output: c.output, hint: c.hint, isLarge: c.isLarge,
		contentHash: c.contentHash, first: first, isPunctual: wait == c.retryAfter,
	}
	cl.after(wait, func() { cl.begins(retry) })
}

func (cl *cluster) scarceResult() scarceResult {
	result := scarceResult{groups: map[string]*outcome{}}
	best := map[*clusterCall]time.Duration{} // time to the first event from the first try
	punctual := 0.0
	for _, c := range cl.calls {
		if c.isRefused {
			result.refused = append(result.refused, c.refusedAfter)
		}
		if c.firstEvent > 0 {
			best[cmp.Or(c.first, c)] = c.arrived.Add(c.firstEvent).Sub(cmp.Or(c.first, c).arrived)
		}
		if c.isPunctual {
			punctual++
			if c.firstEvent > 0 && c.firstEvent < callGoal {
				result.kept++
			}
		}
	}
	result.kept /= max(punctual, 1)
	slices.Sort(result.refused)
	for _, c := range cl.calls {
		if c.first != nil {
			continue
		}
		goal, kind := callGoal, "urgent"
		if c.path == otherPath {
			goal, kind = otherGoal, "other"
		}
		size := " small"
		if c.isLarge {
			size = " large"
		}
		for _, name := range []string{"all", kind, "organisation " + c.organisation, kind + size} {
			group := result.groups[name]
			if group == nil {
				group = &outcome{}
				result.groups[name] = group
			}
			group.calls++
			switch after, isServed := best[c]; {
			case isServed && after <= goal:
				group.onTime++
				group.served++
				group.worth++
			case isServed:
				group.served++
				group.worth += lateWorth
			}
		}
	}
	return result
}

func (r scarceResult) medianRefusal() time.Duration {
	if len(r.refused) == 0 {
		return 0
	}
	return r.refused[len(r.refused)/2]
}

// worth returns the mean worth of the calls of a group, 1 if there is none.
func (r scarceResult) worth(group string) float64 {
	if g := r.groups[group]; g != nil {
		return g.worth / g.calls
	}
	return 1
}

func (r scarceResult) served(group string) float64 {
	if g := r.groups[group]; g != nil {
		return g.served / g.calls
	}
	return 1
}

func (r scarceResult) String() string {
	text := fmt.Sprintf("worth %.3f", r.worth("all"))
	for _, name := range []string{"urgent", "other", "organisation one", "organisation two", "urgent large", "other large"} {
		if r.groups[name] != nil {
			text += fmt.Sprintf(", %s %.3f (served %.3f)", name, r.worth(name), r.served(name))
		}
	}
	return text + fmt.Sprintf("; %d refused after %v, kept %.3f", len(r.refused), r.medianRefusal(), r.kept)
}

// scarceLoads are the loads that each change of the order or the refusals is replayed with.
var scarceLoads = []struct {
	name string
	scarceLoad
}{
	{"0.9 times the capacity", scarceLoad{urgent: 0.6, other: 0.3, share: 0.3}},
	{"1.2 times the capacity", scarceLoad{urgent: 0.8, other: 0.4, share: 0.3}},
	{"2 times the capacity", scarceLoad{urgent: 1.4, other: 0.6, share: 0.3}},
	{"flood of the least urgent kind", scarceLoad{urgent: 0.6, other: 1.8, share: 0.3}},
	{"flood of an organisation", scarceLoad{urgent: 0.4, other: 0.2, share: 0.5, flood: 1.2}},
	{"callers that return at once", scarceLoad{urgent: 0.9, other: 0.4, share: 0.3, isImpatient: true}},
	{"large calls beside small ones", scarceLoad{urgent: 0.8, other: 0.4, share: 0.3, isUneven: true}},
}

// scarceSeeds are the seeds of the arrivals.
var scarceSeeds = flag.Int("scarce.seeds", 2, "number of seeds with which scarce slots are replayed")

// replayScarce replays a load with a policy and all seeds.
func replayScarce(load scarceLoad, p policy) scarceResult {
	sum, kept := scarceResult{groups: map[string]*outcome{}}, 0.0
	for seed := range *scarceSeeds {
		r := runScarce(load, p, uint64(7+seed))
		kept += r.kept / float64(*scarceSeeds)
		sum.refused = append(sum.refused, r.refused...)
		for name, o := range r.groups {
			total := outcome{}
			if sum.groups[name] != nil {
				total = *sum.groups[name]
			}
			sum.groups[name] = &outcome{total.calls + o.calls, total.onTime + o.onTime, total.served + o.served, total.worth + o.worth}
		}
	}
	sum.kept = kept
	slices.Sort(sum.refused)
	return sum
}

// shouldServeAll checks that no kind, size or organisation is left out.
func (r scarceResult) shouldServeAll() {
	So(r.served("urgent"), ShouldBeGreaterThan, r.served("other")-0.05)
	So(r.served("urgent large"), ShouldBeGreaterThan, r.served("urgent")/2)
	So(r.served("other large"), ShouldBeGreaterThan, r.served("other")/2)
	So(r.served("organisation one"), ShouldBeGreaterThan, r.served("all")/2)
	So(r.served("organisation two"), ShouldBeGreaterThan, r.served("all")/2)
}

func TestScarceSlots(t *testing.T) {
	for _, load := range scarceLoads {
		Convey("Calls are refused at once, return when they are told, and earn as much: "+load.name, t, func() {
			before, now := replayScarce(load.scarceLoad, lateRefusal{}), replayScarce(load.scarceLoad, nil)
			unordered := replayScarce(load.scarceLoad, underservedFirst{})
			Printf("\n before: %v\n underserved organisations first: %v\n now: %v\n", before, unordered, now)
			So(now.worth("all"), ShouldBeGreaterThan, before.worth("all")-0.01)
			So(now.worth("all"), ShouldBeGreaterThan, unordered.worth("all")-0.005)
			So(now.medianRefusal(), ShouldBeLessThan, 50*time.Millisecond)
			now.shouldServeAll()
			if load.urgent+load.other+load.flood < 1 {
				So(now.worth("all"), ShouldBeGreaterThan, before.worth("all")-0.005)
				So(now.served("all"), ShouldEqual, 1)
			} else if !load.isImpatient {
				So(now.kept, ShouldBeGreaterThan, before.kept+0.3)
			}
		})
	}
}

func TestLateFirstEvents(t *testing.T) {
	for _, load := range scarceLoads {
		load.firstEvent = 200 * time.Millisecond
		Convey("The observed times of first events count if they are later than estimated: "+load.name, t, func() {
			before, now := replayScarce(load.scarceLoad, estimatedFirstEvents{}), replayScarce(load.scarceLoad, nil)
			Printf("\n before: %v\n now: %v\n", before, now)
			So(now.worth("all"), ShouldBeGreaterThan, before.worth("all")-0.005)
			now.shouldServeAll()
		})
	}
}
