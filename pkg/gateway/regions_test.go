package gateway

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/pkg/replica"
	"github.com/azurepond/azurepond/pkg/route"
)

func TestHomeRegionsOfFleet(t *testing.T) {
	Convey("Given a fleet with the data centres c0 in the region north, and c1 and c2 in south", t, func() {
		f := newFleet(fleetSize{daemons: 9, engines: 36, centres: 3, domain: 18, large: 8, small: 2, loadsPerSecond: 77}, time.Hour)
		f.run(10 * time.Second)
		regions := map[string]string{"c0": "north", "c1": "south", "c2": "south"}
		for _, d := range f.daemons {
			d.State.settings = d.State.settings.WithRegions(regions[d.State.settings.centre], regions)
		}

		Convey("a replica is within a region if all of its members are, also when its head is", func() {
			d := f.daemons[1]
			i := slices.IndexFunc(f.engines, func(e *fleetEngine) bool {
				return e.centre == "c0" && e.membership.Phase() == replica.PhaseOpen && e.membership.Rank() == 0 && len(e.members) > 1
			})
			So(i, ShouldBeGreaterThanOrEqualTo, 0)
			head := f.engines[i]
			So(d.IsWithin(string(head.id), route.NewRegions("north")), ShouldBeTrue)
			member := f.byID[head.members[1]]
			member.centre = "c2"
			f.changed(member)
			f.run(11 * time.Second)
			So(d.IsWithin(string(head.id), route.NewRegions("north")), ShouldBeFalse)
			So(d.IsWithin(string(head.id), route.NewRegions("north", "south")), ShouldBeTrue)
			So(d.IsWithin("unknown", route.NewRegions("north", "south")), ShouldBeFalse)
		})

		Convey("a daemon elsewhere without paths relays calls through daemons at home only", func() {
			d := f.daemons[1]
			d.wasCut = true
			f.cutPaths(d, pathRefuses, 1)
			upstream := string(f.engines[0].id)
			for range 50 {
				for _, peer := range d.Way(f.now, upstream, route.NewRegions("north")).Relays() {
					So(f.byName[peer.Name()].State.settings.centre, ShouldEqual, "c0")
				}
				So(d.Way(f.now, upstream, route.NewRegions("west")).Relays(), ShouldBeEmpty)
				So(d.Way(f.now, upstream, route.Regions{}).Relays(), ShouldNotBeEmpty)
			}
		})

		Convey("a caller gets the addresses of its region, and all if its region is unknown or has one daemon", func() {
			settings, all := f.daemons[0].State.settings, f.daemons[0].State.addresses
			So(len(all), ShouldEqual, 9)
			So(len(settings.InRegion(all, "c0")), ShouldEqual, 3)
			So(len(settings.InRegion(all, "c2")), ShouldEqual, 6)
			So(len(settings.InRegion(all, "c7")), ShouldEqual, 9)
			So(len(settings.InRegion(all[:1], "c0")), ShouldEqual, 1)
			So(len(settings.WithRegions("north", nil).InRegion(all, "c0")), ShouldEqual, 9)
		})
	})
}
