package gateway

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/pkg/dispatch"
	"github.com/azurepond/azurepond/pkg/replica"
)

func TestLeavingUpstream(t *testing.T) {
	Convey("An upstream that announces in an answer that it shuts down", t, func() {
		l := &listing{}
		none := replica.Membership{}
		l.apply(fleetEpoch, NewListed([]Upstream{entryOf("i", 1, false, none)}), 0)

		Convey("is leaving, whatever its entry says later, until it starts again", func() {
			So(l.leave("i", 1), ShouldBeTrue)
			So(l.leave("i", 1), ShouldBeFalse)
			l.apply(fleetEpoch, NewListChanges([]Upstream{entryOf("i", 1, false, none)}, nil), 0)
			So(l.entries["i"].Instance().Leaving(), ShouldBeTrue)
			l.apply(fleetEpoch, NewListChanges(nil, []replica.ID{"i"}), 0)
			l.apply(fleetEpoch, NewListed([]Upstream{entryOf("i", 1, false, none)}), 0)
			So(l.entries["i"].Instance().Leaving(), ShouldBeTrue)
			l.apply(fleetEpoch, NewListChanges([]Upstream{entryOf("i", 2, false, none)}, nil), 0)
			So(l.entries["i"].Instance().Leaving(), ShouldBeFalse)
		})

		Convey("is not confused with another start of it", func() {
			So(l.leave("i", 2), ShouldBeFalse)
			So(l.leave("other", 1), ShouldBeFalse)
			So(l.entries["i"].Instance().Leaving(), ShouldBeFalse)
		})
	})

	Convey("A head that announces to one daemon that it shuts down gets no new call from any daemon two seconds later, and is replaced", t, func() {
		size := firstStart()
		size.engines = 111
		f := newFleet(size, benchTraffic)
		f.run(benchTraffic + 3*time.Second)
		d := f.daemons[4]
		head := d.Replicas("large")[0].Name()
		isTarget := func(d *fleetDaemon) bool {
			return slices.ContainsFunc(d.Replicas("large"), func(t dispatch.Target) bool { return t.Name() == head })
		}
		before := len(d.Replicas("large"))
		f.feed(d, NewLeavingReported(replica.ID(head)))
		So(isTarget(d), ShouldBeFalse)
		f.run(benchTraffic + 5*time.Second)
		for _, other := range f.daemons {
			So(isTarget(other), ShouldBeFalse)
		}
		f.run(benchTraffic + 8*time.Second)
		So(len(d.Replicas("large")), ShouldEqual, before)
	})
}
