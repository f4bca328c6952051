package instance

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// smallFleet returns instances of three domains in three data centres.
func smallFleet(perDomain int) []Instance {
	var rows []Instance
	for d := range 3 {
		for i := range perDomain {
			id := ID(fmt.Sprintf("i%d%02d", d, i))
			rows = append(rows, NewInstance(id, string(id)+":1", fmt.Sprintf("d%d", d), fmt.Sprintf("c%d", d), 4))
		}
	}
	return rows
}

func smallSettings() Settings {
	models := []Model{
		NewModel("big", "p", 4, 5).WithAccelerators(4).WithBytes(8).WithCostWeights(100, 1),
		NewModel("small", "p", 2, 1).WithSurplus(3).WithAccelerators(4).WithBytes(8).WithCostWeights(10, 1),
	}
	return NewSettings("", 1, models).WithWeightStore(4, 1).WithDrainTimeout(2*time.Minute).
		WithFailureTimes(24*time.Hour, time.Minute)
}

func smallHarness(seed uint64, checks bool) *harness {
	s := smallSettings()
	s.seed = seed
	for i := range s.models {
		s.models[i] = s.models[i].WithFencing(checks)
	}
	r := newHarness(s, 3, smallFleet(10), checks, 8*time.Second)
	r.workTime = 6 * time.Second
	return r
}

func TestInvariantsOverSeededScripts(t *testing.T) {
	for _, checks := range []bool{true, false} {
		Convey(fmt.Sprintf("Nothing is violated by faults with engines that check fencing: %t", checks), t, func() {
			for seed := range uint64(8) {
				r := smallHarness(seed, checks)
				r.run(90*time.Second, nil)
				r.randomScript(seed, 60)
				So(r.violations, ShouldBeEmpty)
			}
		})
	}
}

func TestHolderReadsBeforeItOrders(t *testing.T) {
	Convey("A new holder that can't read the record gives no orders by the one that it heard of", t, func() {
		r := smallHarness(1, false)
		r.run(90*time.Second, nil)
		r.play("freeze holder")
		r.store.unreachableKind = recordKind
		f := r.engines["i000"]
		f.assignment = NewAssignment(f.assignment.replica, 0)
		r.tracing = true
		r.run(time.Minute, nil)
		leading := 0
		for _, d := range r.daemons {
			if !d.frozen && d.state.pools[0].lease.Held(r.now) {
				leading++
			}
		}
		So(leading, ShouldEqual, 1)
		So(strings.Join(r.trace, "\n"), ShouldNotContainSubstring, "order")
		r.store.unreachableKind = ""
		r.run(time.Minute, nil)
		So(strings.Join(r.trace, "\n"), ShouldContainSubstring, "order i000")
	})
}

func TestStatus(t *testing.T) {
	Convey("The status names who is missing and who loads in its place", t, func() {
		r := smallHarness(1, true)
		r.run(90*time.Second, nil)
		r.play("kill i100")
		r.run(20*time.Second, nil)
		pool := r.daemons[2].state.Status(r.now)[0]
		So(pool.RecordReadable(), ShouldBeTrue)
		So(pool.Holder(), ShouldNotBeEmpty)
		broken := ReplicaStatus{}
		for _, replica := range pool.Replicas() {
			if !replica.Available() && replica.Model() == "big" {
				broken = replica
			}
		}
		So(broken.Reason().String(), ShouldEqual, "missing i100")
		So(broken.Members()[0].Cause(), ShouldEqual, Missing)
		So(broken.Members()[0].ProbeAge(), ShouldBeGreaterThan, 15*time.Second)
	})
}

func TestConfigurationChanges(t *testing.T) {
	Convey("Given a fleet that serves", t, func() {
		r := smallHarness(1, true)
		r.run(2*time.Minute, nil)
		served := func(model string) int { return len(r.daemons[2].state.ServingReplicas(model, r.now)) }
		So(served("big"), ShouldEqual, 5)
		configure := func(models ...Model) {
			for _, d := range r.daemons {
				s := d.state.settings
				s.models = models
				r.feed(d, NewConfigured(s))
			}
		}
		big, small := r.daemons[0].state.settings.models[0], r.daemons[0].state.settings.models[1]
		Convey("a model that settings forget for a while keeps its replicas", func() {
			configure(small)
			r.run(time.Minute, nil)
			So(served("big"), ShouldEqual, 5)
			configure(big, small)
			r.run(5*time.Minute, nil)
			So(served("big"), ShouldEqual, 5)
		})
		Convey("a model that is gone for good gives its instances back without cutting work", func() {
			configure(small)
			r.run(5*time.Minute, nil)
			So(served("big"), ShouldEqual, 0)
			So(served("small"), ShouldEqual, 4)
			So(r.violations, ShouldBeEmpty)
		})
		Convey("another span is taken over replica by replica", func() {
			big.span = 3
			configure(big, small)
			least := 5
			r.run(10*time.Minute, func() { least = min(least, served("big")) })
			So(served("big"), ShouldEqual, 5)
			So(len(r.daemons[2].state.ServingReplicas("big", r.now)[0].Members()), ShouldEqual, 3)
			So(least, ShouldBeGreaterThanOrEqualTo, 4)
			So(r.violations, ShouldBeEmpty)
		})
	})
}
