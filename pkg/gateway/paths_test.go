package gateway

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/pkg/replica"
)

// The times of a cut between daemons and engines, after the start.
const (
	cutAt       = benchTraffic + 4*time.Second
	cutDetected = cutAt + 3*time.Second // the platform's stability window; calls are as good as elsewhere from then on
	cutUntil    = cutAt + 12*time.Second
)

// cutSize is a fleet of daemons for the engines of a small or of a large deployment.
func cutSize(daemons int) fleetSize {
	if daemons <= 8 {
		return fleetSize{
			daemons: daemons, engines: 48, centres: 3, domain: 8, large: 4, small: 2, loadsPerSecond: 77, concurrentLoads: 115,
			callsPerSecond: 60, cores: 0.4,
		}
	}
	return fleetSize{
		daemons: daemons, engines: 228, centres: 4, domain: 19, large: 8, small: 4, loadsPerSecond: 77, concurrentLoads: 115,
		callsPerSecond: 250, cores: 0.4,
	}
}

// cutDaemons cuts the leader and other daemons, 0.3 of them together, from a share of the engines.
func (f *fleet) cutDaemons(fault pathFault, share float64) {
	leader := f.byName[f.daemons[0].members.leader]
	count := max(len(f.daemons)*3/10, 1)
	for i := 0; count > 0; i++ {
		d := f.daemons[(i*3)%len(f.daemons)]
		if i == 0 {
			d = leader
		}
		if !d.wasCut {
			d.wasCut = true
			f.cutPaths(d, fault, share)
			count--
		}
	}
}

// openUncut returns the number of engines in open replicas of a fleet in which no path is lost.
func openUncut(daemons int) int {
	f := newFleet(cutSize(daemons), benchTraffic)
	f.run(cutUntil)
	return f.openEngines()
}

// openEngines returns the number of engines in complete, open replicas. Demand may turn two small ones into a large one.
func (f *fleet) openEngines() int {
	count := 0
	for _, head := range f.engines {
		if head.membership.Phase() != replica.PhaseOpen || head.membership.Rank() != 0 {
			continue
		}
		for _, id := range head.members {
			if !f.byID[id].down {
				count++
			}
		}
	}
	return count
}

func TestCallsOfDaemonsWithoutPaths(t *testing.T) {
	for _, daemons := range []int{7, 66} {
		uncut := openUncut(daemons)
		for name, fault := range map[string]pathFault{"refuse connections": pathRefuses, "hang": pathHangs} {
			for _, share := range []float64{1, 0.4} {
				Convey(fmt.Sprintf("%d daemons, whose paths to %.1f of the engines %s at 0.3 of them,", daemons, share, name), t, func() {
					f := newFleet(cutSize(daemons), benchTraffic)
					f.run(cutAt)
					f.cutDaemons(fault, share)
					f.run(cutUntil)
					atCut, atOthers := f.firstTries(cutDetected, cutUntil-2*time.Second)
					open := f.openEngines()
					Printf("\nfirst tries served: %.3f at cut daemons, %.3f at others; engines in open replicas: %d of %d; live engines declared dead: %d\n",
						atCut, atOthers, open, uncut, f.falseDeaths())

					Convey("serve as many first tries as the others, and lose no replica", func() {
						So(atOthers, ShouldBeGreaterThan, 0.9)
						So(atCut, ShouldBeGreaterThanOrEqualTo, atOthers-0.02)
						So(f.falseDeaths(), ShouldEqual, 0)
						So(open, ShouldBeGreaterThanOrEqualTo, uncut)
					})
				})
			}
		}
	}
}
