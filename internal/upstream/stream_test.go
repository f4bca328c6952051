package upstream

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/internal/standin"
	"github.com/azurepond/azurepond/pkg/engine"
)

func TestStream(t *testing.T) {
	Convey("Given a whole replica", t, func() {
		r := newRig(t)
		ctx := context.Background()
		whole := r.stream(ctx, "q0", 0)

		Convey("A whole answer is passed on with its count and end", func() {
			So(whole.ending.Complete(), ShouldBeTrue)
			So(whole.ending.Tokens(), ShouldEqual, 6)
			So(whole.ending.FinishReason(), ShouldEqual, "stop")
			So(len(whole.chunks), ShouldEqual, 8)
			So(whole.chunks[7].HasUsage(), ShouldBeTrue)
			So(string(whole.chunks[0].EncodeWithID("mine")), ShouldContainSubstring, `"id":"mine"`)
		})

		Convey("Each fault is named, passes on only a prefix, and a resume completes the same text", func() {
			faults := map[string]struct {
				bring   func()
				failure engine.Failure
				tokens  int
			}{
				"short":   {func() { r.lead.NextTruncated(2) }, engine.Broken, 2},
				"cut off": {func() { r.lead.NextAborted(2) }, engine.Crashed, 2},
				"crossed": {func() { r.lead.NextMismatched(2) }, engine.IdentityMismatch, 2},
				"doubled": {func() { r.lead.NextDuplicated(2) }, engine.Broken, 3},
			}
			for _, name := range []string{"short", "cut off", "crossed", "doubled"} {
				fault := faults[name]
				fault.bring()
				got := r.stream(ctx, "q1", 0)
				So(got.ending.Complete(), ShouldBeFalse)
				So(got.ending.Failure(), ShouldEqual, fault.failure)
				So(got.ending.Tokens(), ShouldEqual, fault.tokens)
				rest := r.stream(ctx, "q2", got.ending.Tokens())
				So(rest.ending.Complete(), ShouldBeTrue)
				So(got.text+rest.text, ShouldEqual, whole.text)
			}
		})

		Convey("A crash in the middle, and a replica that lost a member, are told apart", func() {
			r.lead.NextCrash(3)
			got := r.stream(ctx, "q1", 0)
			So(got.ending.Failure(), ShouldEqual, engine.Crashed)
			So(got.ending.Tokens(), ShouldEqual, 3)
			So(r.stream(ctx, "q2", 0).ending.Failure(), ShouldEqual, engine.Crashed)

			r = newRig(t)
			r.second.Crash()
			got = r.stream(ctx, "q3", 0)
			So(got.ending.Failure(), ShouldEqual, engine.RefusedOverload)
			So(got.ending.Status(), ShouldEqual, http.StatusServiceUnavailable)
		})

		Convey("A request that the engine turns away for good keeps its answer", func() {
			completion, err := NewCompletion(r.address, "q1", 0, []byte(`{"model":"other","messages":[]}`))
			So(err, ShouldBeNil)
			ending := r.client.Stream(ctx, completion, func(Chunk) error { return nil })
			So(ending.Failure(), ShouldEqual, engine.RefusedPermanently)
			So(string(ending.ErrorBody()), ShouldContainSubstring, "unknown model")
		})

		Convey("A cancel reaches the engine", func() {
			gate := standin.NewGate()
			r.lead.NextBlocked(2, gate)
			ctx, cancel := context.WithCancel(ctx)
			go func() {
				<-gate.Reached()
				cancel()
			}()
			So(r.stream(ctx, "q1", 0).ending.Failure(), ShouldEqual, engine.Halted)
			<-r.lead.Idle()
		})

		Convey("A caller that takes no more halts the attempt", func() {
			completion, _ := NewCompletion(r.address, "q1", 0, []byte(ask))
			ending := r.client.Stream(ctx, completion, func(Chunk) error { return errors.New("gone") })
			So(ending.Failure(), ShouldEqual, engine.Halted)
		})

		Convey("A silent engine is slow, whatever the read then says", func() {
			ctx, dog := newWatchdog(ctx, time.Hour)
			defer dog.stop()
			dog.end(errSilent)
			So(failure(ctx, context.Canceled), ShouldEqual, engine.TimedOut)
		})

		Convey("An answer lost before its first byte is a crash, one that was never sent is not", func() {
			r.lead.Faults().Next(http.MethodPost, standin.LostResponse{})
			So(r.stream(ctx, "q1", 0).ending.Failure(), ShouldEqual, engine.Crashed)
			r.address = "127.0.0.1:1"
			So(r.stream(ctx, "q1", 0).ending.Failure(), ShouldEqual, engine.NotSent)
		})
	})
}
