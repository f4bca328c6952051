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
	var listings []Instance
	for d := range 3 {
		for i := range perDomain {
			id := ID(fmt.Sprintf("i%d%02d", d, i))
			listings = append(listings, NewInstance(id, string(id)+":1", fmt.Sprintf("d%d", d), fmt.Sprintf("c%d", d), 4))
		}
	}
	return listings
}

func smallSettings() Settings {
	models := []Model{
		NewModel("big", "p", 4, 5).WithAccelerators(4).WithBytes(8).WithCostWeights(100, 1),
		NewModel("small", "p", 2, 1).WithSurplus(3).WithAccelerators(4).WithBytes(8).WithCostWeights(10, 1),
	}
	return NewSettings("", 1, models).WithWeightStore(4, 1).WithDrainTimeout(2*time.Minute).
		WithFailureTimes(24*time.Hour, time.Minute)
}

func smallHarness(seed uint64, checksFencing bool) *harness {
	s := smallSettings()
	s.seed = seed
	for i := range s.models {
		s.models[i] = s.models[i].WithFencing(checksFencing)
	}
	h := newHarness(s, 3, smallFleet(10), checksFencing, 8*time.Second)
	h.requestTime = 6 * time.Second
	return h
}

func TestInvariantsOverSeededScripts(t *testing.T) {
	for _, checksFencing := range []bool{true, false} {
		Convey(fmt.Sprintf("Faults violate no invariant with engines that check fencing tokens: %t", checksFencing), t, func() {
			for seed := range uint64(8) {
				h := smallHarness(seed, checksFencing)
				h.run(90*time.Second, nil)
				h.randomScript(seed, 60)
				So(h.violations, ShouldBeEmpty)
			}
		})
	}
}

func TestHolderReadsBeforeItOrders(t *testing.T) {
	Convey("A new holder that can't read the record sends no orders from the copy that a peer sent", t, func() {
		h := smallHarness(1, false)
		h.run(90*time.Second, nil)
		h.play("freeze holder")
		h.store.unreachableKind = recordKind
		f := h.engines["i000"]
		f.assignment = NewAssignment(f.assignment.replica, 0)
		h.tracing = true
		h.run(time.Minute, nil)
		leading := 0
		for _, d := range h.daemons {
			if !d.frozen && d.state.pools[0].lease.Held(h.now) {
				leading++
			}
		}
		So(leading, ShouldEqual, 1)
		So(strings.Join(h.trace, "\n"), ShouldNotContainSubstring, "order")
		h.store.unreachableKind = ""
		h.run(time.Minute, nil)
		So(strings.Join(h.trace, "\n"), ShouldContainSubstring, "order i000")
	})
}

func TestStatus(t *testing.T) {
	Convey("The status names the missing member", t, func() {
		h := smallHarness(1, true)
		h.run(90*time.Second, nil)
		h.play("kill i100")
		h.run(20*time.Second, nil)
		pool := h.daemons[2].state.Status(h.now)[0]
		So(pool.RecordReadable(), ShouldBeTrue)
		So(pool.Holder(), ShouldNotBeEmpty)
		broken := ReplicaStatus{}
		for _, replica := range pool.Replicas() {
			if !replica.Available() && replica.Model() == "big" {
				broken = replica
			}
		}
		So(broken.Reason().String(), ShouldEqual, "missing i100")
		So(broken.Members()[0].Cause(), ShouldEqual, CauseMissing)
		So(broken.Members()[0].ProbeAge(), ShouldBeGreaterThan, 15*time.Second)
	})
}

func TestConfigurationChanges(t *testing.T) {
	Convey("Given a fleet with available replicas", t, func() {
		h := smallHarness(1, true)
		h.run(2*time.Minute, nil)
		served := func(model string) int { return len(h.daemons[2].state.ServingReplicas(model, h.now)) }
		So(served("big"), ShouldEqual, 5)
		configure := func(models ...Model) {
			for _, d := range h.daemons {
				s := d.state.settings
				s.models = models
				h.feed(d, NewConfigured(s))
			}
		}
		big, small := h.daemons[0].state.settings.models[0], h.daemons[0].state.settings.models[1]
		Convey("a model that is missing from the settings for a short time keeps its replicas", func() {
			configure(small)
			h.run(time.Minute, nil)
			So(served("big"), ShouldEqual, 5)
			configure(big, small)
			h.run(5*time.Minute, nil)
			So(served("big"), ShouldEqual, 5)
		})
		Convey("a model that is removed frees its instances without interrupting requests", func() {
			configure(small)
			h.run(5*time.Minute, nil)
			So(served("big"), ShouldEqual, 0)
			So(served("small"), ShouldEqual, 4)
			So(h.violations, ShouldBeEmpty)
		})
		Convey("a new span is applied to one replica after another", func() {
			big.span = 3
			configure(big, small)
			least := 5
			h.run(10*time.Minute, func() { least = min(least, served("big")) })
			So(served("big"), ShouldEqual, 5)
			So(len(h.daemons[2].state.ServingReplicas("big", h.now)[0].Members()), ShouldEqual, 3)
			So(least, ShouldBeGreaterThanOrEqualTo, 4)
			So(h.violations, ShouldBeEmpty)
		})
	})
}
