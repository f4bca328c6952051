package gateway

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func fleetAddresses(daemons, centres int) []Address {
	var all []Address
	for i := range daemons {
		all = append(all, NewAddress(fmt.Sprintf("10.%d.0.%d:80", i*centres/daemons, i), fmt.Sprint("c", i*centres/daemons)))
	}
	return all
}

func TestSelectAddresses(t *testing.T) {
	const limit = 64
	Convey("Hundreds of daemons are in about the same number of lists, of which each has the daemons of the caller's data centre", t, func() {
		for _, size := range []struct{ daemons, centres int }{{295, 5}, {300, 3}, {73, 3}, {66, 4}} {
			all := fleetAddresses(size.daemons, size.centres)
			lists := map[string]int{}
			const callers = 2000
			for i := range callers {
				centre := fmt.Sprint("c", i%size.centres)
				list := SelectAddresses(all, fmt.Sprint("10.9.0.", i), centre, limit)
				So(len(list), ShouldEqual, limit)
				near := 0
				for _, address := range list {
					lists[address]++
					if slices.Contains(all, NewAddress(address, centre)) {
						near++
					}
				}
				So(near, ShouldBeGreaterThanOrEqualTo, min(limit, size.daemons/size.centres))
			}
			even := callers * limit / size.daemons
			for _, a := range all {
				So(lists[a.address], ShouldBeBetween, even*7/10, even*13/10)
			}
		}
	})

	Convey("A caller gets the same list from every daemon, and another address in place of a daemon that has left", t, func() {
		all := fleetAddresses(295, 5)
		list := SelectAddresses(all, "10.9.0.1", "c2", limit)
		shuffled := slices.Clone(all)
		slices.Reverse(shuffled)
		So(SelectAddresses(shuffled, "10.9.0.1", "c2", limit), ShouldResemble, list)
		rest := slices.DeleteFunc(shuffled, func(a Address) bool { return a.address == list[3] })
		So(SelectAddresses(rest, "10.9.0.1", "c2", limit)[:limit-1], ShouldResemble, slices.Delete(slices.Clone(list), 3, 4))
	})

	Convey("A fleet within the limit is listed whole", t, func() {
		So(len(SelectAddresses(fleetAddresses(8, 3), "10.9.0.1", "c0", limit)), ShouldEqual, 8)
	})
}
