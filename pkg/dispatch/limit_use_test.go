package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// minLimitUse is the share of what limits allow that upstreams get under enough load.
const minLimitUse = 0.9

func TestLimitUse(t *testing.T) {
	for _, r := range []limitRun{
		{daemons: 7, replicas: 9, processes: 3, perSecond: 0.5, share: 1, load: 2},
		{daemons: 66, replicas: 20, processes: 4, perSecond: 0.5, share: 1, load: 4},
		{daemons: 66, replicas: 20, processes: 4, perSecond: 2, share: 1, load: 1.3, faults: true},
		{daemons: 300, replicas: 58, processes: 10, perSecond: 0.5, share: 1, load: 2},
	} {
		Convey(fmt.Sprintf("Upstreams get what their limits allow, and no more: %+v", r), t, func() {
			for seed := range *limitSeeds {
				cl := r.run(seed)
				So(cl.brokenLimit(), ShouldBeEmpty)
				So(cl.limitUse(), ShouldBeGreaterThanOrEqualTo, minLimitUse)
			}
		})
	}
}

// newLimitedCluster returns a cluster whose only replica and process name a limit that all daemons know.
func newLimitedCluster(perSecond float64) *cluster {
	cl := newCluster(8, 1, false)
	cl.addProcesses(1)
	cl.limitUpstream("h0", perSecond, time.Hour)
	cl.limitUpstream("p0", perSecond, time.Hour)
	for daemon := range cl.daemons {
		cl.feed(daemon, NewLimitShared("h0", perSecond, "test"))
		cl.feed(daemon, NewLimitShared("p0", perSecond, "test"))
	}
	cl.run(time.Second)
	return cl
}

func TestLimitRefusals(t *testing.T) {
	for _, path := range []string{"/draft/x", "/read/x"} {
		Convey("Given calls to "+path+" whose only upstream names a limit of two a second", t, func() {
			cl := newLimitedCluster(2)
			cl.path = path

			Convey("a call that the limit does not allow in time is refused at once, and one that returns when it is told is served", func() {
				for i := range 12 {
					cl.arrive(i%8, callTimeout)
				}
				cl.run(100 * time.Millisecond)
				var returns []time.Duration
				for _, c := range slices.Clone(cl.calls) {
					if !c.isRefused {
						continue
					}
					So(c.reason, ShouldEqual, UpstreamLimit)
					So(c.refusedAfter, ShouldBeLessThan, 50*time.Millisecond)
					returns = append(returns, c.retryAfter)
					cl.after(c.retryAfter, func() { cl.path = path; cl.arrive(c.daemon, callTimeout/2) })
				}
				So(len(returns), ShouldBeGreaterThan, 3)
				slices.Sort(returns)
				for i := 1; i < len(returns); i++ {
					So(returns[i]-returns[i-1], ShouldBeGreaterThan, 400*time.Millisecond)
				}
				first := len(cl.calls)
				cl.run(8 * time.Second)
				So(len(cl.calls), ShouldEqual, first+len(returns))
				for _, c := range cl.calls[first:] {
					So(c.isRefused, ShouldBeFalse)
					So(c.firstEvent, ShouldBeGreaterThan, time.Duration(0))
				}
			})

			Convey("while calls arrive at many times the limit, a refused caller is told that no slot is expected in its time", func() {
				cl.arrivals(60, 8*time.Second, 1)
				cl.run(8 * time.Second)
				late := 0
				for _, c := range cl.calls {
					if c.isRefused && c.reason == UpstreamLimit && c.arrived.Sub(epoch) > 4*time.Second {
						late++
						So(c.retryAfter, ShouldBeGreaterThan, callTimeout-time.Second)
					}
				}
				So(late, ShouldBeGreaterThan, 50)
				So(cl.useOf("h0")+cl.useOf("p0"), ShouldBeGreaterThan, minLimitUse)
			})

			Convey("an organisation that floods the limit does not take the slots of another", func() {
				cl.arrivals(40, 12*time.Second, 1)
				cl.organisation = "two"
				cl.path = path
				cl.arrivals(1, 12*time.Second, 2)
				cl.run(14 * time.Second)
				served := map[string]int{}
				for _, c := range cl.calls {
					if c.firstEvent > 0 {
						served[c.organisation]++
					}
				}
				So(served["two"], ShouldBeGreaterThanOrEqualTo, 6)
				So(served["one"], ShouldBeGreaterThan, 10)
			})
		})
	}
}

func TestLimitLowered(t *testing.T) {
	Convey("A lower limit is reported to the owner of the shard at once, a higher one only from time to time", t, func() {
		cl := newLimitedCluster(8)
		cl.arrive(2, callTimeout) // the owner is daemon 1
		cl.run(100 * time.Millisecond)
		So(cl.calls[0].firstEvent, ShouldBeGreaterThan, time.Duration(0))
		countReports := func(perSecond float64) int {
			reports := 0
			started := NewStarted(cl.calls[0].attempt, Load{}.WithLimit(NewLimit(perSecond)))
			for _, effect := range cl.daemons[2].Reduce(cl.now, daemonView{cl, 2}, started) {
				if _, isReport := effect.(ReportLimit); isReport {
					reports++
				}
			}
			return reports
		}
		So(countReports(9), ShouldEqual, 0)
		So(countReports(2), ShouldEqual, 1)
		So(countReports(2), ShouldEqual, 0)
	})
}

func TestLimitEnds(t *testing.T) {
	Convey("Given an upstream that names a limit until a moment", t, func() {
		cl := newLimitedCluster(1)
		cl.limited["h0"].until = cl.now.Add(3 * time.Second)
		cl.arrivals(4, 20*time.Second, 1)
		cl.run(3 * time.Second)
		during := len(cl.limited["h0"].arrivals)
		So(during, ShouldBeBetween, 1, 6)

		Convey("its calls are served without a limit within seconds of that", func() {
			cl.run(3 * time.Second)
			for _, s := range cl.daemons {
				So(s.IsLimited("h0"), ShouldBeFalse)
			}
			before := len(cl.calls)
			cl.run(10 * time.Second)
			for _, c := range cl.calls[before:] {
				So(c.isRefused, ShouldBeFalse)
			}
		})
	})

	Convey("An answer without a limit to a request that was sent before the limit was named does not end it", t, func() {
		sim := newSimulation(1, 1)
		sim.arrive(1, "large", "/draft/x")
		sim.arrive(2, "large", "/draft/x")
		sim.feed(NewStarted(1, Load{}.WithLimit(NewLimit(2))))
		sim.feed(NewStarted(2, Load{}.WithLimit(NoLimit())))
		So(sim.state.IsLimited("h0"), ShouldBeTrue)
	})
}

func TestLimitWithoutOwner(t *testing.T) {
	Convey("Without replies to its slot requests a daemon sends nothing to an upstream that names a limit, and serves calls after them", t, func() {
		cl := newLimitedCluster(2)
		cl.dropsMessages = true
		before := len(cl.limited["h0"].arrivals)
		cl.arrive(7, callTimeout)
		cl.run(time.Second)
		So(len(cl.limited["h0"].arrivals), ShouldEqual, before)
		cl.dropsMessages = false
		cl.arrive(7, callTimeout)
		cl.run(1500 * time.Millisecond)
		So(cl.calls[len(cl.calls)-1].firstEvent, ShouldBeGreaterThan, time.Duration(0))
	})
}
