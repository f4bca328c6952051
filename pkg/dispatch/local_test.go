package dispatch

import (
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// centreOf returns the data centre of a daemon or replica by its index.
func (cl *cluster) centreOf(index int) string { return "dc" + strconv.Itoa(index%cl.centres) }

// Centre returns the data centre of the daemon, empty without data centres.
func (v daemonView) Centre() string {
	if v.centres == 0 {
		return ""
	}
	return v.centreOf(v.self)
}

// targetsByCentre returns the replicas with their data centres, as a daemon sees them.
func (v daemonView) targetsByCentre() []Target {
	targets := slices.Clone(v.targets)
	for i := range targets {
		targets[i] = targets[i].WithCentre(v.centreOf(i))
		targets[i].isLocal = targets[i].centre == v.centreOf(v.self)
	}
	return targets
}

// countRemote counts a request to a replica in another data centre than the daemon.
func (cl *cluster) countRemote(upstream string, daemon int) {
	i := slices.IndexFunc(cl.targets, func(t Target) bool { return t.name == upstream })
	if cl.centres > 0 && i >= 0 && cl.centreOf(i) != cl.centreOf(daemon) {
		cl.remoteSends++
	}
}

// atCentres simulates calls at a load relative to the capacity of 12 replicas, at daemons of three data centres.
func atCentres(load float64, policy policy) (remote, onTime float64) {
	cl := newCluster(15, 12, false)
	cl.centres = 3
	for _, daemon := range cl.daemons {
		daemon.policy = policy
	}
	cl.arrivals(3*capacity*load, 8*time.Second, 1)
	cl.run(14 * time.Second)
	onTime, _ = cl.onTime()
	return float64(cl.remoteSends) / float64(len(cl.calls)), onTime
}

func TestLocalSlots(t *testing.T) {
	Convey("Calls stay in their data centre while it has room, and no fewer of them are on time", t, func() {
		for _, load := range []float64{0.4, 0.6, 1.2} {
			remoteBefore, onTimeBefore := atCentres(load, anyCentre{})
			remote, onTime := atCentres(load, nil)
			Printf("\nload %.1f: in other data centres %.3f before, %.3f now; on time %.3f, %.3f\n",
				load, remoteBefore, remote, onTimeBefore, onTime)
			So(onTime, ShouldBeGreaterThan, onTimeBefore-0.01)
			So(remote, ShouldBeLessThan, remoteBefore)
			if load < 0.5 {
				So(remote, ShouldBeLessThan, remoteBefore/2)
			}
		}
	})
}
