package callers

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/sashabaranov/go-openai"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/internal/standin"
	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/reducer"
)

// stopGrace is the grace period of the stops in these tests.
const stopGrace = 10 * tickInterval

// outcomeRecorder records the outcomes of calls.
type outcomeRecorder struct {
	mutex    sync.Mutex
	outcomes []caller.Outcome
}

func (r *outcomeRecorder) CallEnded(_ caller.Call, outcome caller.Outcome, _, _ time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.outcomes = append(r.outcomes, outcome)
}

func (*outcomeRecorder) CallRetried(string) {}

func TestStopCutsRunningCalls(t *testing.T) {
	Convey("A call that still runs when the grace period of a stop is over is answered as one that may have run", t, func() {
		h := newHarness(t)
		recorded := &outcomeRecorder{}
		h.server.WithRecorder(recorded)
		gate := standin.NewGate()
		defer gate.Open()
		for _, e := range h.engines {
			e.NextBlocked(0, gate)
		}
		answered := make(chan error, 1)
		go func() {
			_, err := h.client(testKey).CreateChatCompletion(context.Background(), h.request(20))
			answered <- err
		}()
		<-gate.Reached()
		h.feed(reducer.NewStopping(stopGrace))
		for range stopGrace/tickInterval + 1 {
			h.tick()
		}
		var apiErr *openai.APIError
		So(errors.As(<-answered, &apiErr), ShouldBeTrue) // hangs, and so fails, if the call is not answered
		So(apiErr.Type, ShouldEqual, "unknown")
		So(apiErr.Code, ShouldEqual, "stopping")
		So(apiErr.HTTPStatusCode, ShouldBeIn, http.StatusBadGateway, http.StatusGatewayTimeout)
		So(recorded.outcomes, ShouldResemble, []caller.Outcome{caller.NewUnknown(caller.DaemonStopping)})
	})
}
