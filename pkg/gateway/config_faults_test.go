package gateway

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/pkg/replica"
	"github.com/azurepond/azurepond/pkg/route"
)

// rejectStore makes the store reject the calls of a daemon, which its peers still reach.
func (f *fleet) rejectStore(d *fleetDaemon, duration time.Duration) {
	d.rejected = true
	for _, w := range d.watches {
		w.silent = true
	}
	if d.watching {
		d.listSilent = true
		d.listWatch++
		f.readList(d, fleetStoreDelay)
	}
	f.after(duration, func() { d.rejected, d.listSilent = false, false })
}

// cut separates a daemon from its peers and from the store.
func (f *fleet) cut(d *fleetDaemon, duration time.Duration) {
	d.cut, d.disturbedAt = true, f.now
	f.rejectStore(d, duration)
	f.closeLinks(d)
	f.after(duration, func() { d.cut, d.disturbedAt = false, f.now })
}

// isExcused reports whether a daemon is disturbed, or was so recently that its versions may be late.
func (d *fleetDaemon) isExcused(now time.Time) bool {
	return d.cut || d.isSlow || now.Sub(d.disturbedAt) < disturbanceTime
}

// slowDown divides the processor time of a daemon by a factor.
func (f *fleet) slowDown(d *fleetDaemon, factor float64, duration time.Duration) {
	if d.isSlow {
		return
	}
	d.isSlow, d.disturbedAt, d.cores = true, f.now, d.cores/factor
	life := d.life
	f.after(duration, func() {
		d.isSlow, d.disturbedAt = false, f.now
		if d.life == life {
			d.cores *= factor
		}
	})
}

// dropHistory makes the store forget its history: the watches are cut after a second without changes, and read the object again.
func (f *fleet) dropHistory() {
	for _, d := range f.daemons {
		d.disturbedAt = f.now.Add(time.Second)
		for _, w := range d.watches {
			w.since = math.MaxInt // changes are not delivered
			f.after(time.Second, func() {
				if f.isWatching(w) && !w.silent {
					f.listWatched(w)
				}
			})
		}
	}
}

// addService writes a version whose new route leads to a new service, and lists a process of it.
func (o *configOperator) addService() string {
	o.writeNext()
	name := fmt.Sprint("service-", o.version)
	o.fleet.processes = append(o.fleet.processes, NewUpstream(name, 6,
		replica.NewInstance(replica.ID("p-"+name), "p-"+name, "c0", "", 1)))
	for _, d := range o.fleet.daemons {
		if d.watching && !d.listSilent {
			o.fleet.readList(d, fleetListDelay)
		}
	}
	return name
}

// services returns the services of a version: the engines, and a plain service for each of the versions so far.
func (f *fleet) services(revision uint64, engine route.Engine) []route.Service {
	services := []route.Service{route.NewService("engines", "/h", 1988).WithEngine(engine)}
	for version := uint64(2); version <= revision; version++ {
		services = append(services, route.NewService(fmt.Sprint("service-", version), "/h", 100))
	}
	return services
}

// checkServices returns which daemon does not know the processes of a service although it was added long enough ago.
func (f *fleet) checkServices(added map[string]time.Time) string {
	for name, at := range added {
		if f.now.Sub(at) <= configDeadline {
			continue
		}
		for _, d := range f.daemons {
			if d.down || d.config.Revision() == 0 || d.isExcused(f.now) {
				continue
			}
			if _, isKnown := d.State.config.Service(name); !isKnown {
				return fmt.Sprintf("%v: %s has no service %s", f.now.Sub(fleetEpoch), d.name, name)
			}
			if len(d.Processes(name)) == 0 {
				return fmt.Sprintf("%v: %s has no process of %s", f.now.Sub(fleetEpoch), d.name, name)
			}
		}
	}
	return ""
}

// runFaults runs a fleet with random faults that overlap, and returns what is wrong, empty if nothing is.
func runFaults(size fleetSize, seed uint64) string {
	f := newFleet(size, time.Minute)
	f.isLimited = true
	o, random, highest := newConfigOperator(f), rand.New(rand.NewPCG(seed, 8)), map[string]uint64{}
	upTo := func(limit time.Duration) time.Duration { return time.Duration(random.Int64N(int64(limit))) }
	added := map[string]time.Time{}
	f.run(12 * time.Second)
	for range 30 {
		event, d := "", f.daemons[random.IntN(len(f.daemons))]
		switch random.IntN(12) {
		case 0:
			event = "connections silent"
			f.silenceConnections()
		case 1:
			event = "store rejects " + d.name
			f.rejectStore(d, upTo(6*time.Second))
		case 2:
			event = "cut of " + d.name
			f.cut(d, upTo(5*time.Second))
		case 3:
			event = d.name + " slow"
			f.slowDown(d, 2+6*random.Float64(), upTo(6*time.Second))
		case 4:
			event = "history dropped"
			f.dropHistory()
		case 5:
			event = "burst of versions"
			for i := range 8 {
				f.after(time.Duration(i)*60*time.Millisecond, o.writeNext)
			}
		case 6:
			event = "service added"
			added[o.addService()] = f.now
		case 7:
			event = "restart of " + d.name
			f.restart(d)
		case 8:
			event = "freeze of " + d.name
			f.freeze(d, upTo(6*time.Second))
		case 9:
			event = "restart of all readers"
			for _, other := range f.daemons {
				if other.members.isReader && !other.down {
					f.restart(other)
				}
			}
		default:
			o.writeNext()
		}
		if wrong := o.runChecked(upTo(2*time.Second), highest); wrong != "" {
			return fmt.Sprintf("seed %d, after %q: %s", seed, event, wrong)
		}
		if wrong := f.checkServices(added); wrong != "" {
			return fmt.Sprintf("seed %d, after %q: %s", seed, event, wrong)
		}
	}
	return o.runChecked(6*time.Second, highest) + f.checkServices(added)
}

func TestVersionsUnderFaults(t *testing.T) {
	Convey("Versions and new services are in force in time while daemons are cut, rejected by the store, slow, frozen and restarted", t, func() {
		for seed := range *configSeeds {
			size := smallFleet()
			if seed%4 == 3 {
				size = mediumFleet()
			}
			So(runFaults(size, seed), ShouldBeEmpty)
		}
	})
}

func TestVersionHeldBackAfterFreeze(t *testing.T) {
	for name, size := range map[string]fleetSize{"small": smallFleet(), "medium": mediumFleet()} {
		Convey("A daemon that resumes while the store rejects it applies the next version of its peers in time in a "+name+" fleet", t, func() {
			f := newFleet(size, time.Minute)
			o, d := newConfigOperator(f), f.daemons[4]
			f.run(12 * time.Second)
			f.rejectStore(d, 20*time.Second)
			f.freeze(d, 4*time.Second)
			f.run(16200 * time.Millisecond)
			o.writeNext()
			f.run(16200*time.Millisecond + configDeadline)
			So(d.config.Revision(), ShouldEqual, uint64(o.version))
		})
	}
}
