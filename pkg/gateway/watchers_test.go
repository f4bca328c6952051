package gateway

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/pkg/dispatch"
	"github.com/azurepond/azurepond/pkg/replica"
)

func TestWatchers(t *testing.T) {
	Convey("Given nine daemons in three data centres, and a replica", t, func() {
		f := newFleet(fleetSize{daemons: 9, engines: 36, centres: 3, domain: 18, large: 8, small: 2, loadsPerSecond: 77}, time.Hour)
		f.run(10 * time.Second)
		i := slices.IndexFunc(f.engines, func(e *fleetEngine) bool {
			return e.membership.Phase() == replica.PhaseOpen && e.membership.Rank() == 0
		})
		head, leader := f.engines[i], f.byName[f.daemons[0].members.leader]
		watchers := f.daemons[0].watchersOf(f.now, head.id)
		j := slices.IndexFunc(f.daemons, func(d *fleetDaemon) bool { return d != leader && !slices.Contains(watchers, d.name) })
		informer := f.daemons[j]
		suspect := func(d *fleetDaemon) {
			d.probes = 0
			d.effects = nil
			d.suspect(f.now, head.id)
			for _, effect := range d.effects {
				f.apply(d, effect)
			}
		}
		probes := func(name string) int { return f.byName[name].probes }
		for _, d := range f.daemons {
			d.probes = 0
		}

		Convey("all daemons agree on its watchers, which are in different data centres", func() {
			centres := map[string]bool{}
			for _, name := range watchers {
				centres[f.byName[name].settings.centre] = true
			}
			So(len(centres), ShouldEqual, maxWatchers)
			for _, d := range f.daemons {
				So(d.watchersOf(f.now, head.id), ShouldResemble, watchers)
			}
		})

		Convey("a daemon that suspects it has its first watcher probe each member once, and resumes its calls when all answered", func() {
			suspect(informer)
			So(len(informer.watcher.asked), ShouldEqual, 1)
			f.run(f.now.Sub(fleetEpoch) + 100*time.Millisecond)
			So(probes(watchers[0]), ShouldEqual, len(head.members))
			So(informer.probes, ShouldEqual, 0)
			So(informer.watcher.asked, ShouldBeEmpty)
			So(f.byName[watchers[0]].watcher.rounds, ShouldBeEmpty)
		})

		Convey("it probes the members itself if the watcher does not reply", func() {
			f.byName[watchers[0]].down = true
			suspect(informer)
			f.run(f.now.Sub(fleetEpoch) + watchAckTimeout - 50*time.Millisecond)
			So(informer.probes, ShouldEqual, 0)
			f.run(f.now.Sub(fleetEpoch) + 200*time.Millisecond)
			So(informer.probes, ShouldEqual, len(head.members))
			So(informer.watchersOf(f.now, head.id), ShouldNotContain, watchers[0])
		})

		Convey("two watchers find a lost member dead, the others accept that, and no third one probes it", func() {
			lost := f.byID[head.members[len(head.members)-1]]
			f.kill(lost)
			suspect(informer)
			f.run(f.now.Sub(fleetEpoch) + 3*time.Second)
			for _, d := range f.daemons {
				So(d.replica.IsDead(lost.id), ShouldBeTrue)
				if !slices.Contains(watchers[:2], d.name) && d != leader {
					So(d.probes, ShouldEqual, 0)
				}
			}
		})

		Convey("a daemon that is not the leader accepts a death if daemons of two data centres find it, and not if one or two of one do", func() {
			learn := func(origin *fleetDaemon) {
				informer.receiveVerdict(f.now, origin.name, head.id)
			}
			others := slices.DeleteFunc(slices.Clone(f.daemons), func(d *fleetDaemon) bool { return d == leader || d == informer })
			learn(others[0])
			learn(others[0])
			So(informer.replica.IsDead(head.id), ShouldBeFalse)
			for _, d := range others[1:] {
				if d.settings.centre == others[0].settings.centre {
					learn(d)
				}
			}
			So(informer.replica.IsDead(head.id), ShouldBeFalse)
			learn(others[slices.IndexFunc(others, func(d *fleetDaemon) bool { return d.settings.centre != others[0].settings.centre })])
			So(informer.replica.IsDead(head.id), ShouldBeTrue)
		})

		Convey("a suspicion of a process of a plain service suspends and probes nothing", func() {
			informer.effects = nil
			informer.handleDispatchEffect(f.now, dispatch.Suspect{})
			So(informer.watcher.asked, ShouldBeEmpty)
		})

		Convey("truncated messages are refused", func() {
			data, err := encodeValues([]any{uint8(findingDead), string(head.id), string(head.id)})
			So(err, ShouldBeNil)
			for n := range data {
				informer.receiveWatchMessage(f.now, findingTopic, leader.name, data[:n])
			}
			So(informer.replica.IsDead(head.id), ShouldBeFalse)
		})
	})
}
