package dispatch

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/pkg/route"
)

// The figures of the first deployment.
const (
	coldTime      = 3 * time.Second
	coldRate      = 17.0
	coldOvershoot = 1.5
	coldSlack     = 5.0
	coldLimit     = 30 // requests that a cold upstream may get in a second: 30.5
	coldWindow    = time.Second
	maxListLag    = 300 * time.Millisecond // until the last daemon has an entry of the list
)

// coldUpstream is an upstream of the cluster that is cold for a time.
type coldUpstream struct {
	from, until time.Time
	isListed    bool // before it was cold
	arrivals    []time.Time
}

// startCold makes an upstream cold; one that was not listed before is listed from then on.
func (cl *cluster) startCold(name string, isListed bool) {
	u := &coldUpstream{from: cl.now, until: cl.now.Add(coldTime), isListed: isListed}
	if before := cl.cold[name]; before != nil {
		u.arrivals = before.arrivals
	}
	cl.cold[name] = u
}

// withCold returns the upstreams that are listed at a daemon, as it knows them.
func (v daemonView) withCold(targets []Target) []Target {
	if len(v.cold) == 0 {
		return targets
	}
	var listed []Target
	for _, t := range targets {
		u := v.cold[t.name]
		isKnown := u != nil && !v.now.Before(u.from.Add(time.Duration(v.self*37)*time.Millisecond%maxListLag))
		switch {
		case u == nil || !isKnown && u.isListed:
			listed = append(listed, t)
		case isKnown:
			listed = append(listed, t.WithCold(u.until.Add(messageDelay), v.coldRate))
		}
	}
	return listed
}

// countColdArrival counts a request to a cold upstream, which arrives up to 20 ms later.
func (cl *cluster) countColdArrival(name string) {
	if u := cl.cold[name]; u != nil && cl.now.Before(u.until) {
		delay := time.Duration(len(u.arrivals)*7%20) * time.Millisecond
		u.arrivals = append(u.arrivals, cl.now.Add(delay))
	}
}

// worstColdSecond returns the largest number of requests that a cold upstream got in a second, from when the daemons knew that it is cold.
func (cl *cluster) worstColdSecond() int {
	worst := 0
	for _, u := range cl.cold {
		arrivals := slices.SortedFunc(slices.Values(u.arrivals), time.Time.Compare)
		first := 0
		for i, at := range arrivals {
			for at.Sub(arrivals[first]) >= coldWindow || u.isListed && arrivals[first].Before(u.from.Add(maxListLag)) && first < i {
				first++
			}
			worst = max(worst, i-first+1)
		}
	}
	return worst
}

// coldUse returns the requests to the cold upstreams relative to what the cold rate allows, from when the daemons knew them.
func (cl *cluster) coldUse() float64 {
	got, allowed := 0.0, 0.0
	for _, u := range cl.cold {
		from := u.from.Add(maxListLag)
		for _, at := range u.arrivals {
			if at.After(from) && at.Before(u.until) {
				got++
			}
		}
		allowed += coldRate * u.until.Sub(from).Seconds()
	}
	return got / allowed
}

// newColdCluster returns a cluster whose services have cold rates.
func newColdCluster(daemons, replicas, processes int) *cluster {
	cl := newCluster(daemons, replicas, false)
	cl.addProcesses(processes)
	cl.callTime = 200 * time.Millisecond
	cl.setColdRate(coldRate)
	for i := range cl.daemons {
		cl.feed(i, NewColdBoundChanged(NewColdBound(coldOvershoot, coldSlack)))
	}
	return cl
}

// setColdRate configures the cold rate of all services.
func (cl *cluster) setColdRate(perSecond float64) {
	cl.coldRate = perSecond
	var services []route.Service
	for _, service := range cl.config.Services() {
		services = append(services, service.WithCold(coldTime, perSecond))
	}
	cl.config = cl.config.WithServices(services...)
	for i := range cl.daemons {
		cl.feed(i, NewConfigured(cl.config))
	}
}

// coldRun is a run of a cluster in which three data centres return cold under 1.6 times the load that their replicas serve warm.
type coldRun struct {
	daemons, replicas int
	path              string
	faults            bool // daemons restart and freeze, and the owners of shards move
	unlimited         bool // the services have no cold rate
}

func (r coldRun) run(seed uint64) *cluster {
	const centres, seconds = 3, 5
	cl := newColdCluster(r.daemons, r.replicas, r.replicas)
	if r.unlimited {
		cl.setColdRate(0)
	}
	random := rand.New(rand.NewPCG(seed, 23))
	for i, t := range slices.Concat(cl.targets, cl.processes) {
		cl.cold[t.name] = &coldUpstream{from: epoch.Add(time.Hour)} // not listed yet
		cl.after(2200*time.Millisecond+time.Duration(i%centres)*500*time.Millisecond, func() { cl.startCold(t.name, false) })
	}
	cl.run(2 * time.Second)
	perReplica := replicaSlotCount / cl.callTime.Seconds()
	for second := range uint64(seconds) {
		cl.arrivalsTo(r.path, 1.6*float64(r.replicas)*perReplica, time.Second, seed*seconds+second)
		if r.faults {
			cl.disturb(random)
			cl.after(500*time.Millisecond, func() { cl.disturb(random) })
		}
		cl.run(time.Second)
	}
	maps.DeleteFunc(cl.cold, func(name string, _ *coldUpstream) bool { return (name[0] == 'p') != (r.path == "/read/x") })
	return cl
}

var coldSeeds = flag.Uint64("cold.seeds", 2, "number of seeds of the runs with cold upstreams")

func TestColdReturn(t *testing.T) {
	for _, r := range []coldRun{
		{daemons: 62, replicas: 14, path: "/draft/x"},
		{daemons: 300, replicas: 58, path: "/draft/x"},
		{daemons: 62, replicas: 7, path: "/read/x"},
	} {
		Convey(fmt.Sprintf("Three data centres that return cold use the cold rate, and no second exceeds the bound: %+v", r), t, func() {
			for seed := range *coldSeeds {
				cl := r.run(seed)
				t.Logf("seed %d: worst second %d of %d, use %.3f", seed, cl.worstColdSecond(), coldLimit, cl.coldUse())
				So(cl.worstColdSecond(), ShouldBeLessThanOrEqualTo, coldLimit)
				So(cl.coldUse(), ShouldBeGreaterThanOrEqualTo, 0.9)
			}
		})
	}
}

func TestColdReturnWithFaults(t *testing.T) {
	for _, r := range []coldRun{
		{daemons: 7, replicas: 6, path: "/draft/x", faults: true},
		{daemons: 62, replicas: 14, path: "/draft/x", faults: true},
		{daemons: 7, replicas: 3, path: "/read/x", faults: true},
	} {
		Convey(fmt.Sprintf("No second exceeds the bound while daemons restart and freeze: %+v", r), t, func() {
			for seed := range *coldSeeds {
				cl := r.run(seed)
				t.Logf("seed %d: worst second %d of %d, use %.3f", seed, cl.worstColdSecond(), coldLimit, cl.coldUse())
				So(cl.worstColdSecond(), ShouldBeLessThanOrEqualTo, coldLimit)
			}
		})
	}
}

func TestColdRateMissing(t *testing.T) {
	Convey("Without a cold rate upstreams that return get more requests than the bound, as with the previous version", t, func() {
		cl := coldRun{daemons: 7, replicas: 6, path: "/draft/x", unlimited: true}.run(1)
		So(cl.worstColdSecond(), ShouldBeGreaterThan, coldLimit)
	})
}

func TestColdAgain(t *testing.T) {
	for _, path := range []string{"/draft/x", "/read/x"} {
		Convey("Given upstreams that serve many calls at "+path, t, func() {
			cl := newColdCluster(12, 2, 2)
			cl.arrivalsTo(path, 55, 10*time.Second, 1)
			cl.run(3 * time.Second)
			name := map[string]string{"/draft/x": "h0", "/read/x": "p0"}[path]

			Convey("one that is cold again at any moment gets no more than the bound, until its time ends", func() {
				cl.startCold(name, true)
				cl.run(2 * time.Second)
				cl.startCold(name, true) // before the end of the first time
				cl.run(coldTime)
				So(cl.worstColdSecond(), ShouldBeLessThanOrEqualTo, coldLimit)
				So(cl.coldUse(), ShouldBeGreaterThan, 0.5) // the other upstream serves most calls
				cl.run(time.Second)
				before := len(cl.calls)
				cl.run(time.Second)
				for _, c := range cl.calls[before:] {
					So(c.isRefused, ShouldBeFalse)
				}
			})

			Convey("the lower rate holds for one that also names a limit", func() {
				for daemon := range cl.daemons {
					cl.feed(daemon, NewLimitShared(name, 4, "test"))
				}
				cl.limitUpstream(name, 4, time.Hour)
				cl.startCold(name, true)
				cl.run(coldTime)
				So(cl.brokenLimit(), ShouldBeEmpty)
				So(cl.worstColdSecond(), ShouldBeLessThanOrEqualTo, 4+limitBurst+1)
			})
		})
	}
}

// newColdOnlyCluster returns a cluster whose only upstreams have been cold for a moment.
func newColdOnlyCluster(path string) *cluster {
	cl := newColdCluster(12, 1, 1)
	cl.path = path
	cl.run(handoverTime)
	cl.startCold("h0", true)
	cl.startCold("p0", true)
	cl.run(maxListLag)
	return cl
}

func TestColdWithoutOwner(t *testing.T) {
	for _, path := range []string{"/draft/x", "/read/x"} {
		Convey("Without replies to its slot requests a daemon sends nothing to a cold upstream, and serves calls after them: "+path, t, func() {
			cl := newColdOnlyCluster(path)
			cl.dropsMessages = true
			cl.arrive(7, callTimeout)
			cl.run(time.Second)
			So(len(cl.cold["h0"].arrivals)+len(cl.cold["p0"].arrivals), ShouldEqual, 0)
			cl.dropsMessages = false
			cl.arrive(7, callTimeout)
			cl.run(1500 * time.Millisecond)
			So(cl.calls[len(cl.calls)-1].firstEvent, ShouldBeGreaterThan, time.Duration(0))
		})
	}
}

func TestColdLateDaemon(t *testing.T) {
	Convey("A daemon that was frozen does not send at once what was granted meanwhile", t, func() {
		cl := newColdOnlyCluster("/read/x")
		for range 40 {
			cl.arrive(7, callTimeout)
		}
		cl.run(30 * time.Millisecond)
		cl.freeze(7, 900*time.Millisecond)
		cl.run(800 * time.Millisecond)
		cl.arrivalsTo("/read/x", 60, 2*time.Second, 1)
		cl.run(2 * time.Second)
		So(cl.worstColdSecond(), ShouldBeLessThanOrEqualTo, coldLimit)
	})
}

func TestColdSuspendedOwner(t *testing.T) {
	Convey("An owner whose clock stood still grants slowly at first, as another one may have taken over", t, func() {
		for duration, least := range map[time.Duration]int{0: coldRate, 2 * time.Second: 1} {
			cl := newColdOnlyCluster("/read/x")
			cl.feed(0, NewSuspended(duration))
			cl.arrivalsTo("/read/x", 100, time.Second, 1)
			cl.run(time.Second)
			So(cl.worstColdSecond(), ShouldBeBetweenOrEqual, least, least+7)
		}
	})
}

func TestColdTwoOwners(t *testing.T) {
	for _, c := range []struct {
		name                  string
		others, self, freezes time.Duration // for which half of the daemons take daemon 0 for the owner, it does itself, and it is frozen
	}{
		{"at once", 0, 0, 0},
		{"for as long as daemons may disagree", 1900 * time.Millisecond, 1900 * time.Millisecond, 0},
		{"after the previous owner knows", 2900 * time.Millisecond, 200 * time.Millisecond, 0},
		{"while the previous owner is frozen", 0, 3900 * time.Millisecond, 2200 * time.Millisecond},
	} {
		Convey("A shard that gets another owner stays within the bound: "+c.name, t, func() {
			cl := newColdOnlyCluster("/read/x")
			cl.cold["p0"].until = cl.now.Add(time.Hour)
			cl.run(time.Second)
			start := cl.now
			cl.shardOwner = func(self int) int {
				since := cl.now.Sub(start)
				if self == 0 && since < c.self || self > 0 && self%2 == 0 && since < c.others {
					return 0
				}
				return 1
			}
			if c.freezes > 0 {
				cl.freeze(0, c.freezes)
			}
			cl.arrivalsTo("/read/x", 200, 4*time.Second, 1)
			cl.run(4 * time.Second)
			So(cl.worstColdSecond(), ShouldBeLessThanOrEqualTo, coldLimit)
			So(cl.worstColdSecond(), ShouldBeGreaterThan, coldRate)
		})
	}
}
