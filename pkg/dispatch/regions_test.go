package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/pkg/route"
)

// newRegionCluster returns a cluster with a number of replicas in the home region of the organisation two, and others elsewhere.
func newRegionCluster(home, elsewhere int) *cluster {
	cl := newCluster(8, home+elsewhere, false)
	cl.regions = map[string]string{}
	for i := range home + elsewhere {
		cl.regions[fmt.Sprintf("h%d", i)] = "south"
		if i < home {
			cl.regions[fmt.Sprintf("h%d", i)] = "north"
		}
	}
	cl.config = cl.config.WithOrganisation(route.NewOrganisation("two", 0, false).WithHomeRegions(route.NewRegions("north")), "two")
	for daemon := range cl.daemons {
		cl.feed(daemon, NewConfigured(cl.config))
	}
	return cl
}

// This guards against calls that reach upstreams outside their home regions, as by a slot of another daemon or a retry, and against slots
// elsewhere that stay free behind waiting calls which must not use them.
func TestHomeRegions(t *testing.T) {
	Convey("Given eight replicas, two of them in the home region of an organisation that sends them 1.5 times what they can serve", t, func() {
		cl := newRegionCluster(2, 6)
		perReplica := replicaSlotCount / callTime.Seconds()
		cl.organisation = "two"
		cl.arrivals(1.5*2*perReplica, 10*time.Second, 1)
		cl.organisation = "one"
		cl.arrivals(0.6*6*perReplica, 10*time.Second, 2)
		cl.after(5*time.Second, func() { cl.crash("h0") })
		cl.run(12 * time.Second)

		Convey("its calls reach these two only, and those of others use the other replicas as before", func() {
			served, onTime, others := 0, 0, 0
			for _, c := range cl.calls {
				switch {
				case c.organisation == "one":
					others++
					if c.firstEvent > 0 && c.firstEvent <= callGoal {
						onTime++
					}
				case c.sends > 0:
					served++
					So(cl.regions[c.upstream], ShouldEqual, "north")
				}
			}
			Printf("\nserved at home: %d; on time elsewhere: %d of %d\n", served, onTime, others)
			So(served, ShouldBeGreaterThan, int(0.8*2*perReplica*10))
			So(float64(onTime), ShouldBeGreaterThan, 0.95*float64(others))
		})
	})

	Convey("A call without an upstream in its home regions is refused at once, although its model is configured", t, func() {
		cl := newRegionCluster(0, 6)
		cl.organisation = "two"
		cl.arrive(3, callTimeout)
		So(cl.calls[0].isRefused, ShouldBeTrue)
		So(cl.calls[0].reason, ShouldEqual, NoUpstream)
		So(cl.calls[0].refusedAfter, ShouldEqual, 0)
	})

	Convey("Restrictions of the route and of the organisation both hold", t, func() {
		both := route.NewRegions("north", "south").And(route.NewRegions("south", "west"))
		So(both.Names(), ShouldResemble, []string{"south"})
		none := route.NewRegions("north").And(route.NewRegions("south"))
		So(none.IsRestricted(), ShouldBeTrue)
		So(none.Allows("north") || none.Allows("south") || none.Allows(""), ShouldBeFalse)
		So(route.Regions{}.And(route.NewRegions()).Allows(""), ShouldBeTrue)
	})
}
