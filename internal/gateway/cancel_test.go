package gateway

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/pkg/dispatch"
)

func TestCancelBeforeAttemptBegins(t *testing.T) {
	Convey("An attempt that is cancelled before its goroutine begins does not run on", t, func() {
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		d := &Daemon{
			ctx: ctx, attempts: map[dispatch.AttemptID]attemptWork{},
			exchanges: map[dispatch.ID]*exchange{0: {effects: make(chan dispatch.Effect, maxPendingEffects)}},
		}
		d.executeDispatch(dispatch.Send{})
		d.cancelAttempt(0)
		So(d.attemptContext(0).Err(), ShouldEqual, context.Canceled)

		Convey("and one of a request that has ended is forgotten", func() {
			d.exchanges = nil
			d.executeDispatch(dispatch.Send{})
			So(d.attempts, ShouldBeEmpty)
		})
	})
}
