package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/azurepond/azurepond/pkg/object"
	"github.com/azurepond/azurepond/pkg/route"

	. "github.com/smartystreets/goconvey/convey"
)

// testLeader is a leader whose writes of the record are stored at once.
type testLeader struct {
	State
	now     time.Time
	version int
	formed  []string // models of the recorded replicas in the order in which they were formed
	orders  map[Verb]int
	stages  []Order
	probes  int
	plans   int // how often the record was compared with the state
	onOrder func(Order)
}

func newLeader() *testLeader {
	l := &testLeader{now: simStart, orders: map[Verb]int{}}
	l.State = New(NewSettings(object.NewKey("replicas", "main"), "a/1", 1).WithBootstrap(true))
	l.feed(NewConfigured(route.NewEngine(26, large, small).WithLoadLimits(4, 6, 1, simFormationTime)))
	l.feed(NewLeadershipChanged(true))
	return l
}

func (l *testLeader) feed(e Event) {
	planned := l.lastPlan
	for _, effect := range l.Reduce(l.now, e) {
		switch effect := effect.(type) {
		case Store:
			l.store(effect.Request())
		case Order:
			l.orders[effect.Verb()]++
			if l.onOrder != nil {
				l.onOrder(effect)
			}
			if effect.Verb() == VerbStage {
				l.stages = append(l.stages, effect)
			}
		case Probe:
			l.probes++
			l.feed(NewProbed(l.nodes[effect.ID()].Instance))
		case LogEntry:
			if effect.Message() == "replica formed" {
				l.formed = append(l.formed, effect.Model())
			}
		}
	}
	if l.lastPlan != planned {
		l.plans++
	}
}

func (l *testLeader) store(request object.Request) {
	if _, isPut := request.(object.Put); !isPut {
		l.feed(NewStoreCompleted(object.NewAbsent(request.Ref())))
		return
	}
	l.version++
	l.feed(NewStoreCompleted(object.NewStored(request.Ref(), object.Version(fmt.Sprint(l.version)))))
}

// engineNumber returns an engine in a fabric domain of eight.
func engineNumber(i int) Instance {
	id := ID(fmt.Sprintf("i%04d", i))
	return NewInstance(id, string(id), "c", fmt.Sprintf("d%03d", i/8), 1)
}

func TestEventIntervals(t *testing.T) {
	// plansFor returns how often the leader of this many idle engines plans while 500 events arrive within half a second.
	plansFor := func(engines int) int {
		l := newLeader()
		l.noTransfers = true
		var all []Instance
		for i := range engines {
			all = append(all, engineNumber(i))
		}
		l.feed(NewListed(all))
		l.plans = 0
		for i := range 500 {
			l.now = l.now.Add(time.Millisecond)
			l.feed(NewProbed(all[i%engines]))
		}
		return l.plans
	}
	Convey("The leader of a small fleet plans after each event, and that of a large one combines the events of an interval", t, func() {
		So(plansFor(48), ShouldEqual, 500)
		So(plansFor(925), ShouldBeLessThanOrEqualTo, 3) // 231 ms each
	})

	Convey("The leader of a large fleet plans at once if an instance is lost", t, func() {
		l := newLeader()
		for i := range 925 {
			l.feed(NewListChanges([]Instance{engineNumber(i)}, nil))
		}
		for _, wait := range []time.Duration{10 * time.Second, 60 * time.Millisecond} {
			l.now = l.now.Add(wait)
			l.feed(NewTicked())
		}
		l.plans = 0
		l.now = l.now.Add(50 * time.Millisecond)
		l.feed(NewDeclaredDead(engineNumber(3).ID()))
		So(l.plans, ShouldEqual, 1)
	})
}

func TestProbesForEffects(t *testing.T) {
	Convey("The leader does not probe engines for a load that is not due yet, and backs off once it is overdue", t, func() {
		const engines = 8 // one in each domain, so that they form no replica
		l := newLeader()
		for i := range engines {
			l.feed(NewListChanges([]Instance{engineNumber(8 * i)}, nil))
		}
		run := func(d time.Duration) {
			for end := l.now.Add(d); l.now.Before(end); {
				l.now = l.now.Add(50 * time.Millisecond)
				l.feed(NewTicked())
			}
		}
		run(time.Second)
		So(len(l.stages), ShouldEqual, engines)
		begun := l.now
		for _, stage := range l.stages {
			l.feed(NewOrderAnswered(stage, ReplyBegun))
		}
		run(large.LoadTime() - 500*time.Millisecond)
		So(l.probes, ShouldEqual, 0)
		run(begun.Add(large.LoadTime() + orderEffectSlack - 500*time.Millisecond).Sub(l.now))
		So(l.probes, ShouldBeBetweenOrEqual, engines, 4*engines) // in 1.5 s; without backoff 6
	})
}

func TestFormWhileListing(t *testing.T) {
	// listSlowly lists engines of interleaved domains, ten milliseconds apart, so that the list never settles.
	listSlowly := func(engines int) *testLeader {
		l := newLeader()
		for i := range engines {
			l.now = l.now.Add(10 * time.Millisecond)
			l.feed(NewListChanges([]Instance{engineNumber(i%(engines/8)*8 + i/(engines/8))}, nil))
			l.feed(NewTicked())
		}
		return l
	}
	Convey("In a large fleet, only the model under the highest pressure gets replicas while instances are still being listed", t, func() {
		l := listSlowly(480)
		So(len(l.formed), ShouldBeGreaterThanOrEqualTo, 40)
		counts := map[string]float64{large.Name(): 0, small.Name(): 0}
		pressure := func(m route.Model) float64 {
			return m.InitialShare() / float64(m.ReplicaSize()) / max(counts[m.Name()], 0.5)
		}
		for _, model := range l.formed {
			highest := large.Name()
			if pressure(small) > pressure(large) {
				highest = small.Name()
			}
			So(model, ShouldEqual, highest)
			counts[model]++
		}
	})

	Convey("In a smaller fleet none is formed before the list has settled", t, func() {
		l := listSlowly(392)
		So(l.formed, ShouldBeEmpty)
		So(l.orders, ShouldBeEmpty)
	})
}

func TestPlansOfLateLeader(t *testing.T) {
	Convey("A leader that observes that it is late does not plan for that", t, func() {
		l := newLeader()
		var all []Instance
		for i := range 48 {
			all = append(all, engineNumber(i))
		}
		l.feed(NewListed(all))
		l.plans = 0
		for range 20 {
			l.now = l.now.Add(10 * time.Millisecond) // below planInterval altogether
			l.feed(NewDelayed(10 * time.Millisecond))
		}
		So(l.plans, ShouldEqual, 0)
	})
}

func TestOrdersToThrottlingInstance(t *testing.T) {
	Convey("An instance that throttles the leader gets one order until then, whatever becomes of it", t, func() {
		l := newLeader()
		var all []Instance
		for i := range 4 {
			all = append(all, NewInstance(ID(fmt.Sprint("i", i)), "10.0.0.1:1", "c", "d", 1))
		}
		l.feed(NewListed(all))
		until := l.now.Add(10 * time.Second)
		for _, i := range all {
			l.feed(NewProbesPaused(i.ID(), until))
		}
		counts := map[ID]int{}
		l.onOrder = func(o Order) {
			counts[o.ID()]++
			l.feed(NewOrderAnswered(o, ReplyUnanswered))
		}
		for l.now.Before(until.Add(-25 * time.Millisecond)) {
			l.now = l.now.Add(25 * time.Millisecond)
			l.feed(NewTicked())
		}
		So(len(counts), ShouldEqual, 4)
		for _, count := range counts {
			So(count, ShouldEqual, 1)
		}
	})
}
