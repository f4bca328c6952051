package replica

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// erosion kills one member of a large replica every three seconds, as on a day on which instances are lost for good, and
// returns how many replica-seconds of the large model were served; rigid replicas give no members to others.
func loseMembers(rigid bool) (served float64, w *simulation) {
	w = newSimulation(6, 8, 1)
	w.daemons[0].state.noTransfers = rigid
	w.run(60 * time.Second)
	for range 9 {
		for range 3 {
			w.feed(w.daemons[0], NewDemandReported(map[string]float64{"large": 5, "small": 3}))
		}
		if w.open(0, large) > 0 { // all may be lost when replicas are rigid
			w.kill(memberOf(w, large, 1))
		}
		for range 30 {
			w.run(100 * time.Millisecond)
			served += 0.1 * float64(w.open(0, large))
		}
	}
	return served, w
}

func TestPermanentLoss(t *testing.T) {
	Convey("While instances are lost for good, small replicas fill the large ones that need them more", t, func() {
		rigid, _ := loseMembers(true)
		filled, w := loseMembers(false)
		Printf("\nreplica-seconds of the large model in 27 s: %.0f with rigid replicas, %.0f without\n", rigid, filled)
		So(filled, ShouldBeGreaterThan, 1.25*rigid)
		So(w.violations, ShouldBeEmpty)
	})
}

func TestEqualDemand(t *testing.T) {
	Convey("A model that needs its replicas as much as the other does keeps them", t, func() {
		w := newSimulation(6, 8, 1)
		w.run(60 * time.Second)
		orders := w.orders
		for range 20 {
			w.feed(w.daemons[0], NewDemandReported(map[string]float64{"large": 5, "small": 5}))
			w.run(time.Second)
		}
		So(w.orders, ShouldEqual, orders)
	})
}
