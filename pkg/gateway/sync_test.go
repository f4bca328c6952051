package gateway

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/pkg/replica"
)

// newReader returns a reader that has sent five updates: the first with a and b, the third with x, the fourth with c, and the
// fifth without x.
func newReader(now time.Time) *State {
	var s State
	s.start(now, NewSettings("reader", "c0", "1", 1))
	s.watchUpstreams(readerWatchInterval)
	updates := []Listed{
		NewListed([]Upstream{entry("a"), entry("b")}), NewListChanges([]Upstream{entry("a")}, nil),
		NewListChanges([]Upstream{entry("x")}, nil), NewListChanges([]Upstream{entry("c")}, nil),
		NewListChanges(nil, []replica.ID{"x"}),
	}
	for i, update := range updates {
		at := now.Add(time.Duration(i) * time.Second)
		s.applyList(at, update)
		s.sendListUpdates(at)
	}
	return &s
}

func changedIDs(message listMessage) []string {
	var ids []string
	for _, u := range message.changed {
		ids = append(ids, string(u.instance.ID()))
	}
	return ids
}

func TestListReply(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	Convey("Given a reader of the list that has sent five updates", t, func() {
		reader := newReader(now)
		start := reader.listSync.start
		request := func(start, revision uint64) listMessage {
			return reader.listReply(listMessage{isRequest: true, readerStart: start, toRevision: revision})
		}

		Convey("a subscriber that missed updates gets only what changed since", func() {
			reply := request(start, 2)
			So(reply.complete, ShouldBeFalse)
			So(changedIDs(reply), ShouldResemble, []string{"c"})
			So(reply.gone, ShouldResemble, []replica.ID{"x"})
			So([]uint64{reply.fromRevision, reply.toRevision}, ShouldResemble, []uint64{2, 5})
		})

		Convey("a subscriber that has all of them gets no entries", func() {
			reply := request(start, 5)
			So(reply.complete, ShouldBeFalse)
			So(len(reply.changed)+len(reply.gone), ShouldEqual, 0)
		})

		Convey("a subscriber of another start of the reader, or of a time that is forgotten, gets the complete list", func() {
			So(request(start-1, 5).complete, ShouldBeTrue)
			for range maxRememberedGone + 1 {
				reader.listSync.goneIn[replica.ID(time.Duration(len(reader.listSync.goneIn)).String())] = 5
			}
			reader.listSync.forgetGone()
			reply := request(start, 4)
			So(reply.complete, ShouldBeTrue)
			So(changedIDs(reply), ShouldResemble, []string{"a", "b", "c"})
			So(request(start, 5).complete, ShouldBeFalse)
		})

		Convey("a subscriber whose request crosses an update applies both, and asks again only after a gap", func() {
			var s State
			s.start(now, NewSettings("subscriber", "c0", "1", 2))
			s.listSync.source = "reader"
			s.applyListUpdate(now, request(0, 0))
			So(s.listSync.sourceRevision, ShouldEqual, 5)
			update := listMessage{readerStart: start, fromRevision: 5, toRevision: 6, changed: []Upstream{entry("d")}}
			s.applyListUpdate(now, update)
			crossing := listMessage{readerStart: start, fromRevision: 5, toRevision: 7, changed: []Upstream{entry("d"), entry("e")}}
			s.applyListUpdate(now, crossing)
			So(s.listSync.sourceRevision, ShouldEqual, 7)
			So(len(s.listing.entries), ShouldEqual, 5)
			s.applyListUpdate(now, listMessage{readerStart: start, fromRevision: 8, toRevision: 9, gone: []replica.ID{"d"}})
			So(s.listSync.sourceRevision, ShouldEqual, 7)
			s.applyListUpdate(now, listMessage{readerStart: start, fromRevision: 4, toRevision: 5, gone: []replica.ID{"d"}})
			So(s.listing.entries, ShouldContainKey, replica.ID("d"))
		})
	})
}

func TestUpdateLostBesideUnansweredWatch(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	Convey("A subscriber that gets an update while its own watch of the list is not answered has the changes once the watch has stopped", t, func() {
		reader := newReader(now)
		reply := func(s *State) listMessage {
			return reader.listReply(listMessage{isRequest: true, readerStart: s.listSync.sourceStart, toRevision: s.listSync.sourceRevision})
		}
		var s State
		s.start(now, NewSettings("subscriber", "c0", "1", 2))
		s.listSync.source = "reader"
		s.applyListUpdate(now, reply(&s))
		s.watchUpstreams(ownWatchInterval)
		later := now.Add(5 * time.Second)
		reader.applyList(later, NewListChanges([]Upstream{entry("new")}, nil))
		reader.sendListUpdates(later)
		s.applyListUpdate(later, reply(&s))
		So(s.hasSource(later), ShouldBeTrue)
		s.watchUpstreams(0)
		s.applyListUpdate(later, reply(&s))
		So(s.listing.entries, ShouldContainKey, replica.ID("new"))
	})
}

func TestReaderLosesEntriesToOlderList(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	Convey("A reader keeps the entries that it has read, though the complete list of its former source arrives later and lacks them", t, func() {
		var s State
		s.start(now, NewSettings("reader", "c0", "1", 1))
		s.listSync.source = "former"
		s.members.isReader = true
		s.watchUpstreams(readerWatchInterval)
		s.applyList(now, NewListed([]Upstream{entry("a"), entry("b")}))
		s.applyList(now, NewListChanges([]Upstream{entry("c")}, nil))
		s.applyListUpdate(now, listMessage{readerStart: 7, toRevision: 1, complete: true, changed: []Upstream{entry("a")}})
		for step := range 5 {
			s.tick(now.Add(time.Duration(step) * time.Second))
		}
		So(len(s.listing.entries), ShouldEqual, 3)
	})
}

// drainTime is the time after which a leaving upstream must get no new work, in the deployments whose watches wait for fleetWatchWait.
const drainTime = 2 * time.Second

func TestLeavingUpstreamAtSubscribersOfCutReader(t *testing.T) {
	Convey("The daemons whose reader is cut from the store know of an upstream that leaves before it must get no new work", t, func() {
		for step := range 10 {
			f := newFleet(mediumFleet(), time.Minute)
			f.run(8*time.Second + time.Duration(step)*110*time.Millisecond)
			var cut *fleetDaemon
			for _, d := range f.daemons {
				if d.members.isReader && len(d.listSync.subscribers) > 0 {
					cut = d
				}
			}
			f.cutStore(cut)
			f.run(f.now.Sub(fleetEpoch) + 100*time.Millisecond)
			leaving := f.engines[0]
			leaving.leaving = true
			f.changed(leaving)
			f.run(f.now.Sub(fleetEpoch) + drainTime)
			late := 0
			for _, d := range f.daemons {
				if d != cut && !d.listing.entries[leaving.id].instance.Leaving() {
					late++
				}
			}
			So(late, ShouldEqual, 0)
		}
	})

	Convey("While the store is down for all, daemons change their reader at most twice a second", t, func() {
		f := newFleet(mediumFleet(), time.Minute)
		f.run(8 * time.Second)
		for _, d := range f.daemons {
			f.cutStore(d)
		}
		sent := func() int {
			sum := 0
			for _, d := range f.daemons {
				sum += d.sentBytes
			}
			return sum
		}
		f.run(12 * time.Second)
		before := sent()
		f.run(16 * time.Second)
		So(float64(sent()-before)/4/float64(len(f.daemons)), ShouldBeLessThan, 5000) // bytes a second
	})
}
