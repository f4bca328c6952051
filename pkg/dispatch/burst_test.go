package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// capacity is what four replicas bear: 32 slots, 0.8 s a call.
const capacity = 4 * worldSlots / 0.8

// burst replays a burst of twice the capacity for three seconds between calm ones.
func burst(plain bool) *replay {
	r := newReplay(4, 1)
	r.state.plain, r.state.open = plain, plain
	r.arrivals(1, "large", capacity*0.6, 4*time.Second, 1)
	r.after(4*time.Second, func() { r.arrivals(10_000, "large", capacity*2, 3*time.Second, 2) })
	r.after(7*time.Second, func() { r.arrivals(20_000, "large", capacity*0.6, 6*time.Second, 3) })
	r.run(20 * time.Second)
	return r
}

func TestBurst(t *testing.T) {
	Convey("In a burst, requests that can be on time go before those that can't", t, func() {
		before, after := burst(true), burst(false)
		Printf("\non time: %.3f in the order of arrival, %.3f now\n", before.onTime(""), after.onTime(""))
		So(after.onTime(""), ShouldBeGreaterThan, before.onTime("")+0.05)
		So(after.state.Active(), ShouldEqual, 0)
		So(after.state.Queued(), ShouldEqual, 0)
	})

	Convey("A refused request has never been sent, and is told when to come back within its time", t, func() {
		r := burst(false)
		So(len(r.refused), ShouldBeGreaterThan, 0)
		for id := range r.refused {
			So(r.sends[id], ShouldEqual, 0)
		}
	})
}

func TestQuiet(t *testing.T) {
	Convey("When little came before, a few requests more than there are slots wait instead of being refused", t, func() {
		r := newReplay(1, 1)
		for id := range ID(worldSlots + 2) {
			r.arrive(id+1, "large", "/draft/x")
		}
		r.run(5 * time.Second)
		So(r.refused, ShouldBeEmpty)
		So(len(r.first), ShouldEqual, worldSlots+2)
	})
}

func TestFlood(t *testing.T) {
	flood := func(plain bool) *replay {
		r := newReplay(4, 1)
		r.state.plain, r.state.open = plain, plain
		r.arrivals(1, "large", capacity*2, 8*time.Second, 1)
		r.arrivals(50_000, "small", capacity*0.1, 8*time.Second, 2)
		r.run(20 * time.Second)
		return r
	}
	Convey("An organisation that floods does not push out a small one", t, func() {
		before, after := flood(true), flood(false)
		Printf("\non time of the small organisation: %.3f in the order of arrival, %.3f now\n", before.onTime("small"), after.onTime("small"))
		So(after.onTime("small"), ShouldBeGreaterThan, before.onTime("small")+0.4)
		for id, owner := range after.owner {
			So(owner == "small" && after.refused[id], ShouldBeFalse)
		}
	})
}
