package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestUpstreamsClosed(t *testing.T) {
	for path, slots := range map[string]ID{"/draft/x": replicaSlotCount, "/read/x": replicaSlotCount * maxCallsPerProcessSlot} {
		Convey("Calls to "+path+" that wait when their last upstream closes are refused at once, and running ones end", t, func() {
			sim := newSimulation(1, 1)
			for id := range slots + 3 {
				sim.arrive(id+1, "large", path)
			}
			So(sim.refused, ShouldBeEmpty)
			sim.targets, sim.opensAt = nil, sim.now.Add(time.Hour)
			sim.feed(NewUpstreamsClosed())
			So(len(sim.refused), ShouldEqual, 3)
			sim.arrive(100, "large", path)
			So(sim.refused[100], ShouldBeTrue)
			sim.run(3 * time.Second)
			So(sim.sentTo["h0"], ShouldEqual, slots)
			So(sim.failed, ShouldBeEmpty)
			So(sim.state.Active(), ShouldEqual, 0)
		})
	}

	Convey("A call whose upstream closes after it failed is retried at another one", t, func() {
		sim := newSimulation(2, 1)
		first := ""
		sim.failWith = func(send Send) Failure {
			if first == "" {
				first = send.Upstream()
				sim.after(time.Millisecond, func() { // the failure arrives later
					sim.targets = []Target{sim.targets[1-int(first[1]-'0')]}
					sim.feed(NewUpstreamsClosed())
				})
				return NotRun
			}
			return NoFailure
		}
		sim.arrive(1, "large", "/draft/x")
		sim.run(3 * time.Second)
		So(sim.sentTo[first], ShouldEqual, 1)
		So(sim.firstEvent, ShouldContainKey, ID(1))
	})

	Convey("Slots that were granted or are waited for at replicas that close are not used, and their calls are served by the others", t, func() {
		cl := newCluster(8, 4, false)
		for i := range 8 {
			cl.arrive(4+i%4, callTimeout) // the others own the shards
		}
		closed := cl.targets[:2]
		cl.targets = cl.targets[2:] // while the slot requests are on their way
		for daemon := range 8 {
			cl.feed(daemon, NewUpstreamsClosed())
		}
		cl.run(200 * time.Millisecond)
		for _, t := range closed {
			So(cl.running[t.Name()], ShouldBeEmpty)
		}
		cl.run(800 * time.Millisecond)
		good, served := cl.onTime()
		So(good, ShouldEqual, 1)
		So(served, ShouldEqual, 1)
	})
}
