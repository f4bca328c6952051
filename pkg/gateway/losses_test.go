package gateway

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/pkg/replica"
)

// lossSize is the second deployment of docs/design/uneven.md, with a number of daemons.
func lossSize(daemons int) fleetSize {
	size := fleetSize{
		daemons: daemons, engines: 222, centres: 3, domain: 37, large: 16, small: 4, loadsPerSecond: 77, concurrentLoads: 115,
		callsPerSecond: 250, cores: 0.4,
	}
	if daemons < 10 {
		size.callsPerSecond = 100
	}
	return size
}

// The losses of a run.
const (
	lossStart    = benchTraffic + 4*time.Second
	lossInterval = 3 * time.Second
	lossTimes    = 5 // two or three instances each
	lossEnd      = lossStart + lossTimes*lossInterval
)

// lossRun is a run in which instances are lost.
type lossRun struct {
	*fleet
	detected []time.Duration // from the loss until the leader took the instance for dead
	lost     int
	false    map[replica.ID]bool // live instances that a daemon took for dead
}

func newLossRun(daemons int, refuses bool) *lossRun {
	r := &lossRun{fleet: newFleet(lossSize(daemons), benchTraffic), false: map[replica.ID]bool{}}
	r.run(lossStart)
	for _, d := range r.daemons {
		d.probes = 0
	}
	for i := range lossTimes {
		r.after(time.Duration(i)*lossInterval, func() {
			for range 2 + i%2 {
				r.lose(refuses)
			}
		})
	}
	r.sample()
	return r
}

// sample notes every live instance that a daemon takes for dead.
func (r *lossRun) sample() {
	for _, d := range r.daemons {
		for _, e := range r.engines {
			if !e.down && d.replica.IsDead(e.id) {
				r.false[e.id] = true
			}
		}
	}
	r.after(50*time.Millisecond, r.sample)
}

// member returns a random live member of a replica.
func (r *lossRun) member() *fleetEngine {
	for {
		e := r.engines[r.random.IntN(len(r.engines))]
		if !e.down && (e.membership.Phase() == replica.PhaseOpen || e.membership.Phase() == replica.PhaseReady) {
			return e
		}
	}
}

func (r *lossRun) lose(refuses bool) {
	e, lost := r.member(), r.now
	e.refuses = refuses
	r.lost++
	r.stall(e)
	r.kill(e)
	var check func()
	check = func() {
		switch {
		case r.byName[r.daemons[0].members.leader].replica.IsDead(e.id):
			r.detected = append(r.detected, r.now.Sub(lost))
		case r.now.Sub(lost) < fleetUnlistDelay:
			r.after(10*time.Millisecond, check)
		}
	}
	check()
}

// stall stops the calls at the replica of an instance.
func (r *lossRun) stall(lost *fleetEngine) {
	for _, head := range r.engines {
		m := head.membership
		if m.Rank() != 0 || m.Replica() != lost.membership.Replica() || m.Epoch() != lost.membership.Epoch() {
			continue
		}
		head.stalled = true
		for _, key := range slices.Sorted(maps.Keys(r.attempts)) {
			if a := r.attempts[key]; a.engine == head && !a.hung {
				a.hung = true
				r.reportStall(a.daemon, a, a.stallTimeout, 1)
			}
		}
	}
}

// disturb makes instances silent for a second, and cuts daemons from the store, from instances and from each other.
func (r *lossRun) disturb() {
	for i := range lossTimes {
		r.after(time.Duration(i)*lossInterval+time.Second, func() {
			for range 3 {
				e := r.member()
				e.silentUntil = r.now.Add(time.Second)
				r.stall(e)
				r.after(time.Second, func() {
					for _, head := range r.engines {
						if head.membership.Replica() == e.membership.Replica() {
							head.stalled = false
						}
					}
				})
			}
			d := r.daemons[(2*i+1)%len(r.daemons)]
			r.cutPaths(d, []pathFault{pathHangs, pathRefuses}[i%2], 0.5)
			r.after(2*time.Second, func() { r.healPaths(d) })
			r.cutStore(r.daemons[(3*i+2)%len(r.daemons)])
			r.cut(r.daemons[(2*i+4)%len(r.daemons)], 1500*time.Millisecond)
		})
	}
}

func (r *lossRun) probeCount() int {
	count := 0
	for _, d := range r.daemons {
		count += d.probes
	}
	return count
}

// This guards against probes whose number grows as daemons times losses. Before instances had watchers, 60 daemons sent 21,403 probes for 20
// losses, and the leader noticed 5 of them before the list did.
func TestProbesOfLostInstances(t *testing.T) {
	for _, daemons := range []int{7, 60} {
		for _, refuses := range []bool{false, true} {
			Convey(fmt.Sprintf("%d daemons lose two or three of 222 instances every 3 s, which refuse connections: %v", daemons, refuses), t, func() {
				r := newLossRun(daemons, refuses)
				r.run(lossEnd + 2*time.Second)
				slices.Sort(r.detected)
				Printf("\n%d losses: %d probes, noticed by the leader: %d, median after %v, longest %v; on time %.3f\n",
					r.lost, r.probeCount(), len(r.detected), r.detected[len(r.detected)/2], r.detected[len(r.detected)-1], r.onTime(lossStart, lossEnd))

				Convey("with at most 120 probes for each, and the leader notices most of them within two seconds", func() {
					So(r.probeCount(), ShouldBeLessThanOrEqualTo, 120*r.lost)
					So(len(r.detected), ShouldBeGreaterThanOrEqualTo, r.lost*3/4)
					So(r.detected[len(r.detected)/2], ShouldBeLessThan, 2*time.Second)
					So(r.false, ShouldBeEmpty)
				})
			})
		}
		Convey(fmt.Sprintf("%d daemons, some cut from the store, from instances or from each other, take no instance for dead that is silent for a second", daemons), t, func() {
			r := newLossRun(daemons, false)
			r.disturb()
			r.run(lossEnd + 2*time.Second)
			Printf("\n%d losses: %d probes, noticed by the leader: %d\n", r.lost, r.probeCount(), len(r.detected))
			So(r.false, ShouldBeEmpty)
			So(len(r.detected), ShouldBeGreaterThanOrEqualTo, r.lost/2)
		})
	}
}
