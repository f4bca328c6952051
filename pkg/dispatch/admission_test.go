package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// This guards against a request that counts for more work than can be done before its deadline, so that replicas of other models are closed.
func TestDemandOfLongAnswer(t *testing.T) {
	Convey("A request counts for at most the part of a replica that its deadline allows", t, func() {
		demandOf := func(prompt, output int) time.Duration {
			cl := newCluster(1, 4, false)
			cl.arriveWithTokens(0, prompt, output)
			return time.Duration(cl.daemons[0].TakeDemand()[Demander{"one", "m"}] * float64(time.Second))
		}
		usual := demandOf(500, 100)
		So(usual, ShouldBeGreaterThan, 0)
		So(demandOf(500, 200), ShouldBeGreaterThan, usual)
		running := time.Duration(typicalUtilisation * replicaSlotCount)
		So(demandOf(1460, 131072), ShouldBeBetween, callTimeout/running, callTimeout/running+100*time.Millisecond)
		So(demandOf(1_000_000, 100), ShouldEqual, callTimeout)
	})
}
