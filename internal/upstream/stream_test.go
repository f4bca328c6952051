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
	Convey("Given a replica that is ready", t, func() {
		h := newHarness(t)
		ctx := context.Background()
		complete := h.stream(ctx, "q0", 0)

		Convey("A complete answer is delivered with its token count and finish reason", func() {
			So(complete.result.Complete(), ShouldBeTrue)
			So(complete.result.Tokens(), ShouldEqual, 6)
			So(complete.result.FinishReason(), ShouldEqual, "stop")
			So(len(complete.chunks), ShouldEqual, 8)
			So(complete.chunks[7].HasUsage(), ShouldBeTrue)
			So(string(complete.chunks[0].EncodeWithID("mine")), ShouldContainSubstring, `"id":"mine"`)
		})

		Convey("Each fault maps to its failure after a correct prefix, and a resumed stream completes the text", func() {
			faults := map[string]struct {
				inject  func()
				failure engine.Failure
				tokens  int
			}{
				"truncated":  {func() { h.lead.NextTruncated(2) }, engine.Broken, 2},
				"aborted":    {func() { h.lead.NextAborted(2) }, engine.Crashed, 2},
				"mismatched": {func() { h.lead.NextMismatched(2) }, engine.IdentityMismatch, 2},
				"duplicated": {func() { h.lead.NextDuplicated(2) }, engine.Broken, 3},
			}
			for _, name := range []string{"truncated", "aborted", "mismatched", "duplicated"} {
				fault := faults[name]
				fault.inject()
				got := h.stream(ctx, "q1", 0)
				So(got.result.Complete(), ShouldBeFalse)
				So(got.result.Failure(), ShouldEqual, fault.failure)
				So(got.result.Tokens(), ShouldEqual, fault.tokens)
				rest := h.stream(ctx, "q2", got.result.Tokens())
				So(rest.result.Complete(), ShouldBeTrue)
				So(got.text+rest.text, ShouldEqual, complete.text)
			}
		})

		Convey("A stream cut after a held back chunk counts delivered tokens only, and the resumed stream has no gap", func() {
			h.lead.NextAbortedAtFinish()
			got := h.stream(ctx, "q1", 0)
			So(got.result.Failure(), ShouldEqual, engine.Crashed)
			So(len(got.chunks), ShouldEqual, 5)
			So(got.result.Tokens(), ShouldEqual, 5)
			rest := h.stream(ctx, "q2", got.result.Tokens())
			So(rest.result.Complete(), ShouldBeTrue)
			So(got.text+rest.text, ShouldEqual, complete.text)
		})

		Convey("A crash during the stream and a replica with a crashed member are different failures", func() {
			h.lead.NextCrash(3)
			got := h.stream(ctx, "q1", 0)
			So(got.result.Failure(), ShouldEqual, engine.Crashed)
			So(got.result.Tokens(), ShouldEqual, 3)
			So(h.stream(ctx, "q2", 0).result.Failure(), ShouldEqual, engine.Crashed)

			h = newHarness(t)
			h.second.Crash()
			got = h.stream(ctx, "q3", 0)
			So(got.result.Failure(), ShouldEqual, engine.RefusedOverload)
			So(got.result.Status(), ShouldEqual, http.StatusServiceUnavailable)
		})

		const refusalHead = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\n"
		for name, refusal := range map[string]string{
			"that names its call": refusalHead + "X-Request-Id: q1\r\n\r\n", "that names no call": refusalHead + "\r\n",
		} {
			Convey("A call that runs is not refused by a second copy of an earlier refusal "+name+" on its connection", func() {
				address, opened := repeatingEngine(t, refusal)
				h := &harness{client: New(), address: address}
				So(h.stream(ctx, "q1", 0).result.Failure(), ShouldEqual, engine.RefusedOverload)
				var got streamOutput
				for before := int64(0); before != opened.Load(); { // until a connection is used again
					before = opened.Load()
					got = h.stream(ctx, "q2", 0)
				}
				So(got.result.Failure(), ShouldEqual, engine.IdentityMismatch)
				So(got.result.RetryAfter(), ShouldEqual, 0)
			})
		}

		Convey("A permanent rejection by the engine returns the error body", func() {
			completion, err := NewCompletion(h.address, "q1", 0, []byte(`{"model":"other","messages":[]}`))
			So(err, ShouldBeNil)
			result := h.client.Stream(ctx, completion, func(Chunk) error { return nil })
			So(result.Failure(), ShouldEqual, engine.RefusedPermanently)
			So(string(result.ErrorBody()), ShouldContainSubstring, "unknown model")
		})

		Convey("A cancelled stream is cancelled at the engine", func() {
			gate := standin.NewGate()
			h.lead.NextBlocked(2, gate)
			ctx, cancel := context.WithCancel(ctx)
			go func() {
				<-gate.Reached()
				cancel()
			}()
			So(h.stream(ctx, "q1", 0).result.Failure(), ShouldEqual, engine.Halted)
			<-h.lead.Idle()
		})

		Convey("An error of deliver halts the attempt", func() {
			completion, _ := NewCompletion(h.address, "q1", 0, []byte(requestBody))
			result := h.client.Stream(ctx, completion, func(Chunk) error { return errors.New("gone") })
			So(result.Failure(), ShouldEqual, engine.Halted)
		})

		Convey("A stall is a timeout, whichever error the read returns", func() {
			ctx, watchdog := newWatchdog(ctx, time.Hour)
			defer watchdog.stop()
			watchdog.cancel(errStalled)
			So(failureOf(ctx, context.Canceled), ShouldEqual, engine.TimedOut)
		})

		Convey("An answer lost before its first byte is a crash, and a failed connection means not sent", func() {
			h.lead.Faults().Next(http.MethodPost, standin.LostResponse{})
			So(h.stream(ctx, "q1", 0).result.Failure(), ShouldEqual, engine.Crashed)
			h.address = "127.0.0.1:1"
			So(h.stream(ctx, "q1", 0).result.Failure(), ShouldEqual, engine.NotSent)
		})
	})
}
