package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// This guards against memory that grows with each name that a caller makes up.
func TestNamesOfCallersAreNotKept(t *testing.T) {
	Convey("Calls with unknown models, to engines and to plain services, leave no rates behind", t, func() {
		cl := newCluster(1, 2, false)
		cl.processes = []Target{NewTarget("p", "10.0.1.1:1", true, replicaSlotCount)}
		s := cl.daemons[0]
		for i := range 200 {
			for _, path := range []string{"/draft/x", "/read/x"} {
				c := &clusterCall{id: ID(len(cl.calls)), arrived: cl.now, timeout: callTimeout, organisation: "one"}
				cl.calls = append(cl.calls, c)
				cl.feed(0, NewArrived(NewRequest(c.id, fmt.Sprint(c.id), "pond", path, "one").WithModel(fmt.Sprint("model-", i), 500, 100).
					WithTimeout(callTimeout)))
			}
			cl.run(10 * time.Millisecond)
		}
		So(len(s.answerRates), ShouldBeLessThanOrEqualTo, 2) // one for each service
		cl.run(2 * upstreamTTL)
		So(s.answerRates, ShouldBeEmpty)
		So(s.Active(), ShouldEqual, 0)
	})
}
