package gateway

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/pkg/replica"
)

// firstStart is a fleet with the engines of the largest known one and a few daemons.
func firstStart() fleetSize {
	size := largeFleet
	size.daemons, size.callsPerSecond = 20, 100
	return size
}

func TestFirstStart(t *testing.T) {
	Convey("When 925 engines and their daemons start together", t, func() {
		f := newFleet(firstStart(), benchTraffic)
		f.run(benchTraffic)

		Convey("most replicas are open at the first call, and all of those within a domain three seconds later", func() {
			// Two thirds of 79; by the rate of the weight store nine tenths could be.
			open, _ := f.open()
			So(open, ShouldBeGreaterThanOrEqualTo, 53)
			f.run(benchTraffic + 3*time.Second)
			_, withinDomain := f.open()
			So(withinDomain, ShouldEqual, 79)
		})

		Convey("the leader sends no engine more than one join, stages nothing ahead of the joins, and seldom probes", func() {
			leader := f.byName[f.daemons[0].members.leader]
			So(leader.orders[replica.VerbJoin], ShouldBeLessThanOrEqualTo, 800) // members of 79 replicas
			So(leader.orders[replica.VerbStage], ShouldEqual, 0)
			So(leader.probes, ShouldBeLessThanOrEqualTo, f.size.engines)
		})

		Convey("one daemon leads, one in each data centre reads the list, and all of them have most resources", func() {
			var readers, centres []string
			for _, d := range f.daemons {
				So(d.members.leader, ShouldEqual, f.daemons[0].members.leader)
				if d.watching {
					readers, centres = append(readers, d.name), append(centres, d.settings.centre)
				}
			}
			So(len(readers), ShouldEqual, f.size.centres)
			So(len(slices.Compact(slices.Sorted(slices.Values(centres)))), ShouldEqual, f.size.centres)
			for i, d := range f.daemons {
				if d.watching || d.name == d.members.leader || slices.Contains(f.daemons[0].shardOwners, d.name) {
					So(f.cores(i), ShouldEqual, 0.8)
				}
			}
		})
	})
}

func TestStableLeader(t *testing.T) {
	Convey("In a calm fleet no daemon changes its leader once all know each other", t, func() {
		size := firstStart()
		size.daemons, size.engines = 73, 111
		f := newFleet(size, benchTraffic)
		f.run(benchTraffic + 6*time.Second)
		for _, d := range f.daemons {
			for _, at := range d.leaderChanges {
				So(at.Sub(fleetEpoch), ShouldBeLessThan, 5*time.Second)
			}
		}
	})
}

func TestResumedDaemons(t *testing.T) {
	Convey("Daemons that were frozen follow the leader once they resume, and never lead beside it", t, func() {
		size := firstStart()
		size.daemons, size.engines = 73, 111
		f := newFleet(size, benchTraffic)
		f.run(benchTraffic + time.Second)
		leader := f.daemons[0].members.leader
		var frozen []*fleetDaemon
		for _, d := range f.daemons {
			if d.name != leader && len(frozen) < 9 {
				f.freeze(d, 4300*time.Millisecond)
				frozen = append(frozen, d)
			}
		}
		for step := range 40 {
			f.run(benchTraffic + 5*time.Second + time.Duration(step)*250*time.Millisecond)
			for _, d := range frozen {
				So(d.members.leader, ShouldNotEqual, d.name)
			}
		}
		for _, d := range frozen {
			So(d.members.leader, ShouldEqual, leader)
		}
	})
}

func TestSilentLeader(t *testing.T) {
	Convey("A leader that is silent while its connections stay open is replaced within four seconds", t, func() {
		size := firstStart()
		size.daemons, size.engines = 120, 111
		f := newFleet(size, benchTraffic)
		f.run(benchTraffic + time.Second)
		old := f.byName[f.daemons[0].members.leader]
		old.down = true
		f.run(benchTraffic + 5*time.Second)
		for _, d := range f.daemons {
			if d != old {
				So(d.members.leader, ShouldNotEqual, old.name)
			}
		}
	})
}
