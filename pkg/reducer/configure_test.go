package reducer

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/internal/golden"
	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/operator"
)

// This guards against an organisation that may call everything, since the last of its targets was taken away.
func TestLastTargetTakenAway(t *testing.T) {
	Convey("An organisation with an empty list of targets may call none", t, func() {
		config, err := operator.ParseConfig("test", fmt.Appendf(nil, `team: demo
models:
  - {name: drafts, pool: demo, span: 1, accelerators: 8, bytes: 1000, replicas: 1}
organisations:
  - {name: open, targets: [drafts], key: %s}
  - {name: closed, targets: [], key: %s}
`, operator.NewHash("a"), operator.NewHash("b")))
		So(err, ShouldBeNil)
		var state caller.State
		state.Reduce(golden.Epoch, caller.NewConfigured(callerSettings(Settings{name: "d"}, operator.NewFleet(1, config))))
		for id, name := range []string{"open", "closed"} {
			call := caller.NewCall(caller.ID(id), caller.Model, "drafts", name, golden.Epoch.Add(time.Minute))
			for _, effect := range state.Reduce(golden.Epoch, caller.NewArrived(call)) {
				if reject, isRejected := effect.(caller.Reject); isRejected {
					So(name, ShouldEqual, "closed")
					So(reject.Outcome().Reason(), ShouldEqual, caller.UnknownTarget)
					return
				}
			}
		}
		So("a call for a target that was taken away", ShouldEqual, "rejected")
	})
}
