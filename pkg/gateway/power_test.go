package gateway

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/pkg/replica"
)

// smallInstances is a fleet whose daemons all have a tenth of a core.
func smallInstances() fleetSize {
	return fleetSize{
		daemons: 66, engines: 228, centres: 4, domain: 19, large: 8, small: 4, loadsPerSecond: 19, concurrentLoads: 28,
		callsPerSecond: 400, cores: 0.1,
	}
}

func TestLiveEnginesDeclaredDead(t *testing.T) {
	Convey("Daemons without enough processor time declare no live engine dead", t, func() {
		Convey("at the first start, when the leader sends orders to all engines", func() {
			f := newFleet(smallInstances(), benchTraffic)
			f.isLimited = true
			f.run(benchTraffic + 2*time.Second)
			So(f.falseDeaths(), ShouldEqual, 0)
		})

		Convey("after a loss of power of all daemons, and calls are on time again 15 s later", func() {
			const lost, back = benchTraffic + 6*time.Second, benchTraffic + 7200*time.Millisecond
			f := newFleet(smallInstances(), benchTraffic)
			f.run(benchTraffic)
			f.isLimited = true
			f.run(lost)
			openBefore, _ := f.open()
			before := f.onTime(benchTraffic+2*time.Second, lost-time.Second)
			f.losePower(back - lost)
			f.run(back + 18*time.Second)
			open, _ := f.open()
			after := f.onTime(back+15*time.Second, back+17*time.Second)
			Printf("\non time: %.3f before, %.3f after; open: %d, %d; live engines declared dead: %d\n",
				before, after, openBefore, open, f.falseDeaths())
			So(f.falseDeaths(), ShouldEqual, 0)
			So(open, ShouldBeGreaterThanOrEqualTo, openBefore)
			So(after, ShouldBeGreaterThanOrEqualTo, 0.9*before)
		})
	})
}

func TestExpiredOrders(t *testing.T) {
	Convey("A leader with a tenth of a core opens all replicas before the first call, and repeats few orders", t, func() {
		size := smallInstances()
		size.loadsPerSecond, size.concurrentLoads = 77, 115
		f := newFleet(size, benchTraffic)
		f.isLimited = true
		f.run(benchTraffic)
		open, withinDomain := f.open()
		leader := f.byName[f.daemons[0].members.leader]
		So(open, ShouldEqual, 38)
		So(withinDomain, ShouldEqual, 38)
		So(leader.orders[replica.VerbJoin], ShouldBeLessThanOrEqualTo, f.size.engines)
		So(leader.probes, ShouldBeLessThanOrEqualTo, 2*f.size.engines)
	})
}

func TestRetryBudgetAfterPowerLoss(t *testing.T) {
	Convey("Daemons that have just started and do not know each other yet do not exceed the retry budget together", t, func() {
		const lost, back = benchTraffic + 4*time.Second, benchTraffic + 4800*time.Millisecond
		size := smallInstances()
		size.loadsPerSecond, size.concurrentLoads, size.callsPerSecond = 77, 115, 700
		f := newFleet(size, benchTraffic)
		f.run(lost)
		f.losePower(back - lost)
		f.run(back)
		f.repeats = 0
		first := len(f.arrivals)
		f.run(back + 10*time.Second)
		budget := 0.2*float64(len(f.arrivals)-first) + 696
		Printf("\n%d repeats, %.0f allowed\n", f.repeats, budget)
		So(f.repeats, ShouldBeLessThan, int(budget))
	})
}
