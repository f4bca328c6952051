package replica

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// evacuated is the data centre that the tests evacuate: the first two fabric domains of the simulation.
const evacuated = "volos"

// newEvacuation returns a loaded simulation with an evacuated data centre, and the number of orders that its instances got since.
func newEvacuation(announced, closed []string) (sim *simulation, orders *int) {
	sim, orders = newLoadedSimulation(2), new(int)
	sim.onOrder = func(o Order) {
		if sim.engine(o.ID()).centre == evacuated {
			*orders++
		}
	}
	for _, e := range sim.engines {
		if e.domain == "d0" || e.domain == "d1" {
			e.centre = evacuated
		}
	}
	for _, d := range sim.daemons { // the entries show the data centre from now on
		for _, e := range sim.engines {
			sim.feed(d, NewListChanges([]Instance{sim.instance(e)}, nil))
		}
	}
	sim.evacuate(announced, closed)
	return sim, orders
}

func (sim *simulation) evacuate(announced, closed []string) {
	for _, d := range sim.daemons {
		sim.feed(d, NewCentresEvacuated(announced, closed))
	}
}

// evacuatedHeads returns the heads that daemon d sends calls to whose replica has a member in the evacuated data centre.
func (sim *simulation) evacuatedHeads(d int) []ID {
	var heads []ID
	for _, model := range []string{large.Name(), small.Name()} {
		for _, head := range sim.daemons[d].state.Heads(model) {
			if slices.ContainsFunc(sim.engine(head.ID()).members, func(id ID) bool { return sim.engine(id).centre == evacuated }) {
				heads = append(heads, head.ID())
			}
		}
	}
	return heads
}

func TestEvacuatedDataCentre(t *testing.T) {
	centres := []string{evacuated}

	Convey("The replicas of an announced data centre are used, those of a closed one are not, and all serve at once when the evacuation ends, "+
		"without an order", t, func() {
		sim, orders := newEvacuation(centres, nil)
		before := sim.evacuatedHeads(1)
		So(before, ShouldNotBeEmpty)
		sim.run(time.Second)
		So(sim.evacuatedHeads(1), ShouldResemble, before)
		sim.evacuate(nil, centres)
		So(sim.evacuatedHeads(0), ShouldBeEmpty)
		So(sim.evacuatedHeads(1), ShouldBeEmpty)
		sim.run(20 * time.Second)
		So(sim.evacuatedHeads(1), ShouldBeEmpty)
		sim.evacuate(nil, nil)
		So(sim.evacuatedHeads(1), ShouldResemble, before)
		sim.run(10 * time.Second)
		So(sim.evacuatedHeads(1), ShouldResemble, before)
		So(*orders, ShouldEqual, 0)
		So(sim.violations, ShouldBeEmpty)
	})

	Convey("New instances elsewhere replace the replicas of an announced data centre, and no instance there joins one", t, func() {
		sim, orders := newEvacuation(centres, nil)
		idle := &simEngine{id: "new", centre: evacuated, domain: "d9", incarnation: 1, readyIn: map[string]bool{}}
		spares := []*simEngine{idle}
		for _, id := range []ID{"n0", "n1", "n2", "n3"} {
			spares = append(spares, &simEngine{id: id, domain: "d8", incarnation: 1, stagedModel: large.Name(), readyIn: map[string]bool{}})
		}
		sim.engines = append(sim.engines, spares...)
		sim.run(4 * time.Second)
		So(spares[1].membership.phase, ShouldEqual, PhaseOpen)
		So(spares[1].loadedModel, ShouldEqual, large.Name())
		So(*orders, ShouldEqual, 0)

		Convey("and the plan keeps them when the evacuation is cancelled", func() {
			dissolved := 0
			sim.onOrder = func(o Order) {
				if o.Verb() == VerbCloseWait || o.Verb() == VerbCloseCut || o.Verb() == VerbLeave {
					dissolved++
				}
			}
			sim.evacuate(nil, nil)
			sim.run(3 * time.Second)
			So(spares[1].membership.phase, ShouldEqual, PhaseOpen)
			So(sim.evacuatedHeads(0), ShouldNotBeEmpty)
			So(dissolved, ShouldEqual, 0)
		})
	})

	Convey("A new leader keeps the replicas of a closed data centre in the record, and they serve at once when the evacuation ends", t, func() {
		sim, orders := newEvacuation(nil, centres)
		sim.daemons[0].down = true
		sim.feed(sim.daemons[1], NewLeadershipChanged(true))
		sim.run(10 * time.Second)
		So(sim.evacuatedHeads(1), ShouldBeEmpty)
		sim.evacuate(nil, nil)
		So(sim.evacuatedHeads(1), ShouldNotBeEmpty)
		sim.run(3 * time.Second)
		So(*orders, ShouldEqual, 0)
		So(sim.violations, ShouldBeEmpty)
	})

	Convey("A replica with members in two data centres serves until one is closed, and is then formed again without the members there", t, func() {
		sim := newLoadedSimulationOf(2, 0)
		id := memberInMixedDomain(sim, 1)
		e := sim.engine(id)
		head := e.members[0]
		e.centre = evacuated
		for _, d := range sim.daemons {
			sim.feed(d, NewListChanges([]Instance{sim.instance(e)}, nil))
		}
		before := sim.open(1, large)
		sim.evacuate(centres, nil)
		sim.run(time.Second)
		So(sim.open(1, large), ShouldEqual, before)
		sim.evacuate(nil, centres)
		So(sim.open(1, large), ShouldEqual, before-1)
		So(sim.evacuatedHeads(1), ShouldBeEmpty)
		sim.run(3500 * time.Millisecond)
		So(sim.open(1, large), ShouldEqual, before)
		So(sim.engine(head).members, ShouldNotContain, id)
		So(sim.violations, ShouldBeEmpty)
	})

	Convey("No replica is expected to open while all data centres are evacuated", t, func() {
		sim := newLoadedSimulation(1)
		sim.evacuate(nil, []string{"athens"})
		state := &sim.daemons[0].state
		So(state.NextOpening(sim.now, large.Name()), ShouldEqual, sim.now.Add(noOpening))
		sim.evacuate(nil, nil)
		So(state.NextOpening(sim.now, large.Name()), ShouldHappenOnOrBefore, sim.now.Add(large.WarmLoadTime()+simFormationTime))
	})
}
