package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"

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

// addressBound is how long an address list may name a daemon that was killed: the stability window of the settings and 3 s.
const addressBound = 7 * time.Second

// listedDead returns how long after the kill an address list of a live daemon last named a killed one.
func (f *fleet) listedDead(killed []*fleetDaemon, until time.Duration) time.Duration {
	last, killedAt := time.Duration(0), f.now
	for f.now.Sub(fleetEpoch) < until {
		f.run(f.now.Sub(fleetEpoch) + 100*time.Millisecond)
		for _, d := range f.daemons {
			for _, a := range d.State.addresses {
				if dead := f.byAddr[a.address]; !d.down && dead.down && slices.Contains(killed, dead) {
					last = f.now.Sub(killedAt)
				}
			}
		}
	}
	return last
}

// This guards against address lists that name killed or ended daemons for longer than the bound, as when heartbeats of the dead still
// circulate or are so rare that their absence is noticed late.
func TestAddressesOfEndedDaemons(t *testing.T) {
	const killAt, grace = 10 * time.Second, 3 * time.Second
	for _, size := range []struct{ daemons, killed int }{{7, 3}, {62, 31}} {
		for _, way := range []string{"killed, which closes their connections", "cut off and killed silently", "shut down and ended"} {
			Convey(fmt.Sprintf("Of %d daemons %d are %s at once", size.daemons, size.killed, way), t, func() {
				f := newFleet(fleetSize{daemons: size.daemons, engines: 36, centres: 3, domain: 18, large: 8, small: 2, loadsPerSecond: 77}, time.Hour)
				f.run(killAt - grace)
				f.isLimited = true
				var killed []*fleetDaemon
				for i, d := range f.daemons {
					switch {
					case i%2 == 1 && len(killed) < size.killed:
						killed = append(killed, d)
						if way == "shut down and ended" {
							f.feed(d, NewStopping(f.now))
						}
					case i == 0, i == 4:
						f.cutStore(d)
					case i == 2: // joins again, and learns of the dead from its peers
						f.after(grace+time.Second, func() { f.restart(d) })
					}
				}
				f.run(killAt)
				for _, d := range killed {
					d.life++
					d.down, d.watching = true, false
					if way != "cut off and killed silently" {
						f.closeLinks(d)
					}
				}
				last := f.listedDead(killed, killAt+12*time.Second)
				Printf("\nan ended daemon was last listed after %v\n", last)

				Convey("and no address list names them after the bound, but most others", func() {
					So(last, ShouldBeLessThan, addressBound)
					for _, d := range f.daemons {
						if !d.down {
							So(len(d.State.addresses), ShouldBeGreaterThan, (size.daemons-size.killed)*3/4)
						}
					}
				})
			})
		}
	}
}
