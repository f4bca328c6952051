package dispatch

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// What the platform allows an upstream that names a limit to get.
const (
	limitSettleTime = 3 * time.Second        // from the first naming until the limit holds
	limitWindow     = 4 * time.Second        // over which requests are counted
	limitKnownDelay = 500 * time.Millisecond // from the first answer with a limit to a daemon until its requests count
	limitRatio      = 1.5                    // of what the limit allows in the window
	limitExtra      = 5                      // requests in the window besides
)

// limitedUpstream is an upstream of the cluster that names a limit.
type limitedUpstream struct {
	perSecond float64
	since     time.Time
	until     time.Time         // when it ends
	told      map[int]time.Time // when each daemon first got an answer with the limit
	arrivals  []limitedArrival
}

// limitedArrival is a request to an upstream that names a limit.
type limitedArrival struct {
	at     time.Time
	counts bool // it is of a daemon that knows the limit and is not excused
}

// limitUpstream makes an upstream name a limit for some time.
func (cl *cluster) limitUpstream(name string, perSecond float64, duration time.Duration) {
	cl.limited[name] = &limitedUpstream{perSecond: perSecond, since: cl.now, until: cl.now.Add(duration), told: map[int]time.Time{}}
}

// answerLimit returns what an answer of an upstream to a daemon says about its limit.
func (cl *cluster) answerLimit(name string, daemon int) Limit {
	u := cl.limited[name]
	if u == nil || !cl.now.Before(u.until) {
		return NoLimit()
	}
	if _, isTold := u.told[daemon]; !isTold {
		u.told[daemon] = cl.now
	}
	return NewLimit(u.perSecond)
}

// countArrival counts a request to an upstream that names a limit.
func (cl *cluster) countArrival(name string, daemon int) {
	u := cl.limited[name]
	if u == nil || !cl.now.Before(u.until) {
		return
	}
	told, isTold := u.told[daemon]
	isExcused := cl.now.Sub(cl.disturbedAt[daemon]) < limitSettleTime
	u.arrivals = append(u.arrivals, limitedArrival{cl.now, isTold && cl.now.Sub(told) >= limitKnownDelay && !isExcused})
}

// brokenLimit returns which limit was exceeded, empty for none.
func (cl *cluster) brokenLimit() string {
	for _, name := range slices.Sorted(maps.Keys(cl.limited)) {
		u := cl.limited[name]
		allowed := limitRatio*u.perSecond*limitWindow.Seconds() + limitExtra
		var window []time.Time
		for _, a := range u.arrivals {
			if !a.counts || a.at.Sub(u.since) < limitSettleTime {
				continue
			}
			window = append(window, a.at)
			for a.at.Sub(window[0]) > limitWindow {
				window = window[1:]
			}
			if float64(len(window)) > allowed {
				return fmt.Sprintf("%v: %s got %d requests in %v, its limit of %v a second allows %v",
					a.at.Sub(epoch), name, len(window), limitWindow, u.perSecond, allowed)
			}
		}
	}
	return ""
}

// limitUse returns the requests to the limited upstreams from the time when the limits hold, relative to what the limits allow.
func (cl *cluster) limitUse() float64 {
	use, allowed := 0.0, 0.0
	for name, u := range cl.limited {
		use += cl.useOf(name) * u.perSecond
		allowed += u.perSecond
	}
	return use / allowed
}

// useOf returns the requests to a limited upstream, relative to what its limit allows.
func (cl *cluster) useOf(name string) float64 {
	u := cl.limited[name]
	from := u.since.Add(limitSettleTime)
	got := 0.0
	for _, a := range u.arrivals {
		if !a.at.Before(from) {
			got++
		}
	}
	return got / (u.perSecond * cl.now.Sub(from).Seconds())
}

// limitRun is a run of a cluster whose upstreams name limits.
type limitRun struct {
	daemons, replicas, processes int
	perSecond                    float64 // limit of each upstream
	share                        float64 // of the upstreams that name one
	load                         float64 // of what the limits of the replicas allow, or of their slots if not all name one
	faults                       bool    // daemons restart and freeze, and the owners of shards move
}

// run runs the cluster and returns it.
func (r limitRun) run(seed uint64) *cluster {
	cl := newCluster(r.daemons, r.replicas, false)
	cl.addProcesses(r.processes)
	random := rand.New(rand.NewPCG(seed, 21))
	cl.arrivalsTo("/draft/x", 0.3*float64(r.replicas)*replicaSlotCount/callTime.Seconds(), 3*time.Second, seed)
	cl.arrivalsTo("/read/x", 4*float64(r.processes), 3*time.Second, seed+1)
	cl.run(2 * time.Second)
	limited := 0
	for _, t := range slices.Concat(cl.targets, cl.processes) {
		if random.Float64() < r.share {
			cl.limitUpstream(t.name, r.perSecond, time.Hour)
			limited++
		}
	}
	const duration = 18 * time.Second
	open := float64(r.replicas+r.processes-limited) * replicaSlotCount / callTime.Seconds()
	demand := r.load * (float64(limited)*r.perSecond + open)
	replicas := float64(r.replicas) / float64(r.replicas+r.processes)
	cl.arrivalsTo("/draft/x", demand*replicas, duration, seed+2)
	cl.arrivalsTo("/read/x", demand*(1-replicas), duration, seed+3)
	if r.faults {
		for at := 3 * time.Second; at < duration; at += 1500 * time.Millisecond {
			cl.after(at, func() { cl.disturb(random) })
		}
	}
	cl.run(duration)
	return cl
}

var limitSeeds = flag.Uint64("limits.seeds", 2, "number of seeds of the runs with limits")

func TestLimitExceeded(t *testing.T) {
	for _, r := range []limitRun{
		{daemons: 7, replicas: 8, processes: 3, perSecond: 0.5, share: 1, load: 2},
		{daemons: 7, replicas: 8, processes: 3, perSecond: 4, share: 0.7, load: 1.2, faults: true},
		{daemons: 66, replicas: 20, processes: 4, perSecond: 2, share: 1, load: 1.5, faults: true},
	} {
		Convey(fmt.Sprintf("Upstreams get no more requests than the limits that they name allow: %+v", r), t, func() {
			for seed := range *limitSeeds {
				So(r.run(seed).brokenLimit(), ShouldBeEmpty)
			}
		})
	}
}

// addProcesses adds processes of the plain service.
func (cl *cluster) addProcesses(count int) {
	for i := range count {
		cl.processes = append(cl.processes, NewTarget("p"+strconv.Itoa(i), "10.0.1."+strconv.Itoa(i)+":1", true, replicaSlotCount))
	}
}

// arrivalsTo schedules requests to a path.
func (cl *cluster) arrivalsTo(path string, rate float64, d time.Duration, seed uint64) {
	cl.path = path
	cl.arrivals(rate, d, seed)
	cl.path = ""
}

// The times of the membership of the cluster.
const (
	deadAfter = time.Second     // without a sign of life
	ownAfter  = 3 * time.Second // of life
)

// mayOwn reports whether a daemon may own shards, as another one sees it, which is up to half a second late.
func (cl *cluster) mayOwn(self, other int) bool {
	lag := time.Duration(self*37%500) * time.Millisecond
	if down := cl.downSince[other]; !down.IsZero() && self != other {
		return cl.now.Sub(down) < deadAfter+lag
	}
	return cl.now.Sub(cl.disturbedAt[other]) >= ownAfter+lag
}

// holdBack keeps an event for when a frozen daemon resumes; it misses its ticks.
func (cl *cluster) holdBack(daemon int, e Event) {
	if _, isTick := e.(Ticked); !isTick {
		cl.heldBack[daemon] = append(cl.heldBack[daemon], e)
	}
}

// freeze suspends a daemon.
func (cl *cluster) freeze(daemon int, duration time.Duration) {
	if !cl.downSince[daemon].IsZero() {
		return
	}
	cl.downSince[daemon] = cl.now
	cl.after(deadAfter, cl.announceLive)
	cl.after(duration, func() {
		delete(cl.downSince, daemon)
		cl.disturbedAt[daemon] = cl.now
		held := cl.heldBack[daemon]
		delete(cl.heldBack, daemon)
		for _, e := range held {
			cl.feed(daemon, e)
		}
		cl.announceLive()
	})
}

// announceLive tells all daemons which of them are live.
func (cl *cluster) announceLive() {
	var live []string
	for i := range cl.daemons {
		if down := cl.downSince[i]; down.IsZero() || cl.now.Sub(down) < deadAfter {
			live = append(live, strconv.Itoa(i))
		}
	}
	for i := range cl.daemons {
		cl.feed(i, NewPeersChanged(live))
	}
}

// restart ends a daemon, whose connections to upstreams close, and starts it again.
func (cl *cluster) restart(daemon int) {
	if !cl.downSince[daemon].IsZero() {
		return
	}
	for name, running := range cl.running {
		cl.running[name] = slices.DeleteFunc(running, func(c *clusterCall) bool { return c.daemon == daemon })
		cl.waiting[name] = slices.DeleteFunc(cl.waiting[name], func(c *clusterCall) bool { return c.daemon == daemon })
	}
	cl.lives[daemon]++
	next := New(NewSettings(uint64(daemon+1), NewRetryLimits(0.2, 100, 10*time.Second)))
	next.lastAttempt = AttemptID(cl.lives[daemon]) << 32
	next.lastSlotRequest = uint64(cl.lives[daemon]) << 32
	*cl.daemons[daemon] = next
	cl.disturbedAt[daemon] = cl.now
	cl.feed(daemon, NewConfigured(cl.config))
	cl.feed(daemon, NewFleetSizeChanged(len(cl.daemons)))
	cl.feed(daemon, NewRetrySharersChanged(len(cl.daemons)))
}

// disturb restarts or freezes a daemon.
func (cl *cluster) disturb(random *rand.Rand) {
	daemon := random.IntN(len(cl.daemons))
	if random.IntN(2) == 0 {
		cl.restart(daemon)
		return
	}
	cl.freeze(daemon, time.Duration(random.Int64N(int64(4*time.Second))))
}

// shareLimit tells the limit of an upstream to all daemons, as gossip does.
func (cl *cluster) shareLimit(from int, share ShareLimit) {
	for other := range cl.daemons {
		if other != from {
			cl.after(time.Duration(other*61%1500)*time.Millisecond, func() {
				cl.feed(other, NewLimitShared(share.Upstream(), share.PerSecond(), strconv.Itoa(from)))
			})
		}
	}
}

func TestSlotRequestRecursion(t *testing.T) {
	Convey("Calls that are queued while one of two shard owners is unresponsive request slots once in a tick", t, func() {
		r := limitRun{daemons: 7, replicas: 8, processes: 3, perSecond: 4, share: 0.7, load: 1.2, faults: true}
		So(r.run(10).brokenLimit(), ShouldBeEmpty) // overflowed the stack
	})
}

func TestLimitedProcessesBesideOthers(t *testing.T) {
	Convey("Calls of a plain service are served by the processes that name no limit as before", t, func() {
		cl := newCluster(8, 1, false)
		cl.addProcesses(3)
		cl.limitUpstream("p0", 1, time.Hour)
		cl.limitUpstream("p1", 1, time.Hour)
		cl.arrivalsTo("/read/x", 8, 20*time.Second, 1)
		cl.run(22 * time.Second)
		for _, c := range cl.calls {
			So(c.isRefused, ShouldBeFalse)
		}
		So(cl.brokenLimit(), ShouldBeEmpty)
	})
}
