package gateway

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/pkg/object"
	"github.com/azurepond/azurepond/pkg/replica"
)

// entryOf returns the entry of an instance of a service.
func entryOf(id string, incarnation int64, leaving bool, m replica.Membership) Upstream {
	instance := replica.NewInstance(replica.ID(id), id+":1", "c", "d", incarnation).WithLeaving(leaving).WithMembership(m)
	return NewUpstream("engines", 8, instance)
}

// memberOf returns the membership of a head that serves in a replica of this epoch.
func memberOf(epoch uint64) replica.Membership {
	return replica.NewMembership("r", epoch, 0, replica.PhaseOpen)
}

func TestListOfRestoredStore(t *testing.T) {
	start := fleetEpoch
	at := func(d time.Duration) time.Time { return start.Add(d) }
	none := replica.Membership{}
	newListing := func() *listing {
		l := &listing{}
		l.apply(at(0), NewListed([]Upstream{
			entryOf("stays", 1, false, memberOf(7)), entryOf("leaves", 1, true, none), entryOf("removed", 1, false, none),
			entryOf("new", 1, false, none), entryOf("restarted", 2, false, none),
		}), 0)
		l.apply(at(time.Second), NewListChanges(nil, []replica.ID{"removed"}), 0)
		l.restore(at(2 * time.Second))
		return l
	}
	older := NewListed([]Upstream{
		entryOf("stays", 1, false, memberOf(3)), entryOf("leaves", 1, false, none), entryOf("removed", 1, false, none),
		entryOf("restarted", 1, false, memberOf(2)),
	})

	Convey("When the store is restored from an older snapshot, its list changes nothing that is known better", t, func() {
		l := newListing()
		_, gone := l.apply(at(2*time.Second), older, 0)
		So(gone, ShouldBeEmpty)
		So(l.entries["stays"].Instance().Membership().Epoch(), ShouldEqual, 7)
		So(l.entries["leaves"].Instance().Leaving(), ShouldBeTrue)
		So(l.entries["restarted"].Instance().Incarnation(), ShouldEqual, 2)
		So(l.entries, ShouldNotContainKey, replica.ID("removed"))
		So(l.entries, ShouldContainKey, replica.ID("new"))
	})

	Convey("An upstream that has not registered again after two seconds is gone", t, func() {
		l := newListing()
		l.apply(at(2*time.Second), older, 0)
		So(l.expire(at(3900*time.Millisecond)), ShouldBeEmpty)
		So(l.expire(at(4*time.Second)), ShouldResemble, []replica.ID{"new"})
	})

	Convey("An upstream that had been removed is held back until the store has had time to remove it again", t, func() {
		l := newListing()
		l.apply(at(2*time.Second), older, 0)
		So(l.releaseHeldBack(at(6*time.Second)), ShouldBeEmpty)
		So(len(l.releaseHeldBack(at(7*time.Second))), ShouldEqual, 1)

		l = newListing()
		l.apply(at(2*time.Second), older, 0)
		l.apply(at(5*time.Second), NewListChanges(nil, []replica.ID{"removed"}), 0)
		So(l.releaseHeldBack(at(7*time.Second)), ShouldBeEmpty)
	})

	Convey("An upstream that had been removed is listed at once if it registers again, or has started again", t, func() {
		l := newListing()
		l.apply(at(2*time.Second), older, 0)
		l.apply(at(3*time.Second), NewListChanges([]Upstream{entryOf("removed", 1, false, none)}, nil), 0)
		So(l.entries, ShouldContainKey, replica.ID("removed"))

		l = newListing()
		l.apply(at(2*time.Second), NewListed([]Upstream{entryOf("removed", 2, false, none)}), 0)
		So(l.entries, ShouldContainKey, replica.ID("removed"))
	})
}

func TestAnswersOfEarlierEra(t *testing.T) {
	Convey("Answers of an earlier era are dropped, and answers without one are not", t, func() {
		d := newFleet(firstStart(), benchTraffic).daemons[0]
		settings := NewSettings("a", "c", "1", 1).WithAddresses("10.0.0.1:1", "10.0.0.1:2").
			WithConfig(fleetConfigKey, "version").WithRecord(fleetRecordKey)
		d.Reduce(fleetEpoch, NewStarted(settings))
		listed := func(era uint64, ids ...string) []Effect {
			var entries []Upstream
			for _, id := range ids {
				entries = append(entries, entryOf(id, 1, false, replica.Membership{}))
			}
			return d.Reduce(fleetEpoch, NewListed(entries).WithEra(era))
		}
		d.Reduce(fleetEpoch, NewTicked(fleetEpoch)) // starts the watch of the list
		listed(3, "i")
		So(d.listing.entries, ShouldContainKey, replica.ID("i"))
		So(listed(2, "j"), ShouldContain, StoreAnswerOutdated{2, 3})
		So(d.listing.entries, ShouldNotContainKey, replica.ID("j"))
		So(listed(4, "i"), ShouldContain, StoreRestored{3, 4})
		listed(0, "i", "k")
		So(d.listing.entries, ShouldContainKey, replica.ID("k"))
		So(d.storeEra, ShouldEqual, 4)
		stale := object.InEra(object.NewAbsent(1), 3)
		So(d.Reduce(fleetEpoch, NewStoreCompleted(ReplicaComponent, stale)), ShouldContain, StoreAnswerOutdated{3, 4})
	})
}

func TestConfigWatchOfEarlierEra(t *testing.T) {
	Convey("Readers that notice a restored store read the configuration again before their watch ends", t, func() {
		f := newFleet(smallFleet(), time.Minute)
		f.run(8 * time.Second)
		f.restoreStore(time.Second)
		f.run(8*time.Second + fleetListDelay + 4*fleetStoreDelay)
		readers := 0
		for _, d := range f.daemons {
			So(len(d.watches), ShouldEqual, 1)
			if d.watching {
				readers++
				So(d.watches[0].era, ShouldEqual, 2)
			}
		}
		So(readers, ShouldEqual, minReaders)
	})
}

func TestRestoredStoreOfFleet(t *testing.T) {
	Convey("When the store of 120 daemons is restored from an older snapshot, the record has all replicas again within three seconds", t, func() {
		size := firstStart()
		size.daemons, size.engines, size.callsPerSecond = 120, 222, 100
		f := newFleet(size, benchTraffic)
		f.run(benchTraffic + 4*time.Second)
		for i := range 4 {
			f.kill(f.engines[i*37+3])
		}
		f.run(benchTraffic + 8*time.Second)
		leader := f.byName[f.daemons[0].members.leader]
		epoch, _ := leader.replica.Recorded()
		open, _ := f.open()
		for _, d := range f.daemons {
			d.storeCalls = 0
		}
		f.restoreStore(5 * time.Second)
		f.run(benchTraffic + 9*time.Second)
		calls := 0
		for _, d := range f.daemons {
			calls += d.storeCalls
		}
		So(calls, ShouldBeLessThan, 2*len(f.daemons))
		f.run(benchTraffic + 11*time.Second)
		after, recorded := leader.replica.Recorded()
		openAfter, _ := f.open()
		Printf("\n%d replicas open before, %d after; %d recorded; epoch %d, %d; %d calls to the store in a second\n",
			open, openAfter, recorded, epoch, after, calls)
		So(after, ShouldBeGreaterThan, epoch)
		So(openAfter, ShouldBeGreaterThanOrEqualTo, open)
		So(recorded, ShouldBeGreaterThanOrEqualTo, openAfter)
		So(f.falseDeaths(), ShouldEqual, 0)
	})
}
