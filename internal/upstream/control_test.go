package upstream

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/internal/standin"
	"github.com/azurepond/azurepond/pkg/instance"
)

func TestProbe(t *testing.T) {
	Convey("A probe returns the status that the engine reports, or a failed probe", t, func() {
		h := newHarness(t)
		ctx, at := context.Background(), time.Unix(100, 0)
		result := h.client.Probe(ctx, "a", h.address, "w", at)
		So(result, ShouldResemble, instance.NewProbeResult(
			"a", h.lead.BootID(), h.assignment(), instance.PhaseReady, instance.NewLoad(0, 0, 100), "w", at))
		h.lead.Faults().Next(http.MethodGet, standin.Unavailable{})
		So(h.client.Probe(ctx, "a", h.address, "w", at), ShouldResemble, instance.NewFailedProbe("a", "w", at))
		h.lead.Crash()
		So(h.client.Probe(ctx, "a", h.address, "w", at), ShouldResemble, instance.NewFailedProbe("a", "w", at))
	})
}

func TestCacheEvents(t *testing.T) {
	Convey("Cache events are numbered, so that a lost event is detected", t, func() {
		h := newHarness(t)
		ctx := context.Background()
		longBody := strings.Replace(requestBody, "hello", strings.Repeat("long prompt ", 60), 1)
		completion, _ := NewCompletion(h.address, "q", 0, []byte(longBody))
		So(h.client.Stream(ctx, completion, func(Chunk) error { return nil }).Complete(), ShouldBeTrue)
		boot, events, err := h.client.CacheEvents(ctx, h.address, 0)
		So(err, ShouldBeNil)
		So(boot, ShouldEqual, h.lead.BootID())
		So(len(events), ShouldEqual, 2)
		So(events[0].Number(), ShouldEqual, 1)
		h.lead.DropEvents(1)
		_, events, _ = h.client.CacheEvents(ctx, h.address, 0)
		So(events[0].Number(), ShouldEqual, 2)
	})
}

func TestForward(t *testing.T) {
	Convey("Given a ticket service", t, func() {
		var service standin.Service
		server := httptest.NewServer(&service)
		Reset(server.Close)
		address := strings.TrimPrefix(server.URL, "http://")
		client, ctx := New(), context.Background()
		header := http.Header{"Idempotency-Key": {"k1"}, "Content-Type": {"application/json"}, "Cookie": {"c"}}
		issue := NewRequest(address, "t1", http.MethodPost, "/tickets", header, []byte(`{}`))

		Convey("A ticket is issued and the complete answer is returned", func() {
			reply := client.Forward(ctx, issue)
			So(reply.Delivery(), ShouldEqual, Answered)
			So(reply.Status(), ShouldEqual, http.StatusCreated)
			So(string(reply.Body()), ShouldContainSubstring, `"id":1`)
		})

		Convey("An answer lost after the ticket was issued is an unknown outcome, and the call is not retried", func() {
			client.Forward(ctx, issue)
			service.Faults().Next(http.MethodPost, standin.LostResponse{}, standin.Outage{})
			So(client.Forward(ctx, issue).Delivery(), ShouldEqual, OutcomeUnknown)
			So(service.RunCount("k1"), ShouldEqual, 2)
			So(client.Forward(ctx, issue).Delivery(), ShouldEqual, OutcomeUnknown)
			So(service.RunCount("k1"), ShouldEqual, 2)
		})

		Convey("A call after its send deadline, or to a stopped service, was not sent", func() {
			So(client.Forward(ctx, issue.WithNotAfter(time.Unix(1, 0))).Delivery(), ShouldEqual, NotSent)
			server.Close()
			So(client.Forward(ctx, issue).Delivery(), ShouldEqual, NotSent)
			So(service.TicketCount(), ShouldEqual, 0)
		})

		Convey("An answer with the ID of another call is an identity mismatch", func() {
			other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(requestIDHeader, "other")
			}))
			defer other.Close()
			issue.address = strings.TrimPrefix(other.URL, "http://")
			So(client.Forward(ctx, issue).Delivery(), ShouldEqual, IdentityMismatch)
		})
	})
}
