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
	Convey("A probe tells what the engine reports, or a miss", t, func() {
		r := newRig(t)
		ctx, at := context.Background(), time.Unix(100, 0)
		seen := r.client.Probe(ctx, "a", r.address, "w", at)
		So(seen, ShouldResemble, instance.NewProbeResult(
			"a", r.lead.BootID(), r.assignment(), instance.PhaseReady, instance.NewLoad(0, 0, 100), "w", at))
		r.lead.Faults().Next(http.MethodGet, standin.Unavailable{})
		So(r.client.Probe(ctx, "a", r.address, "w", at), ShouldResemble, instance.NewFailedProbe("a", "w", at))
		r.lead.Crash()
		So(r.client.Probe(ctx, "a", r.address, "w", at), ShouldResemble, instance.NewFailedProbe("a", "w", at))
	})
}

func TestCache(t *testing.T) {
	Convey("Cache events are numbered, so that a gap shows", t, func() {
		r := newRig(t)
		ctx := context.Background()
		long := strings.Replace(ask, "hello", strings.Repeat("long prompt ", 60), 1)
		completion, _ := NewCompletion(r.address, "q", 0, []byte(long))
		So(r.client.Stream(ctx, completion, func(Chunk) error { return nil }).Complete(), ShouldBeTrue)
		boot, events, err := r.client.CacheEvents(ctx, r.address, 0)
		So(err, ShouldBeNil)
		So(boot, ShouldEqual, r.lead.BootID())
		So(len(events), ShouldEqual, 2)
		So(events[0].Number(), ShouldEqual, 1)
		r.lead.DropEvents(1)
		_, events, _ = r.client.CacheEvents(ctx, r.address, 0)
		So(events[0].Number(), ShouldEqual, 2)
	})
}

func TestForward(t *testing.T) {
	Convey("Given a ticket desk", t, func() {
		var desk standin.Service
		server := httptest.NewServer(&desk)
		Reset(server.Close)
		address := strings.TrimPrefix(server.URL, "http://")
		client, ctx := New(), context.Background()
		header := http.Header{"Idempotency-Key": {"k1"}, "Content-Type": {"application/json"}, "Cookie": {"c"}}
		issue := NewRequest(address, "t1", http.MethodPost, "/tickets", header, []byte(`{}`))

		Convey("A ticket is issued and its whole answer read", func() {
			reply := client.Forward(ctx, issue)
			So(reply.Delivery(), ShouldEqual, Answered)
			So(reply.Status(), ShouldEqual, http.StatusCreated)
			So(string(reply.Body()), ShouldContainSubstring, `"id":1`)
		})

		Convey("An answer lost after the ticket was issued is unknown, and nothing is sent again", func() {
			client.Forward(ctx, issue)
			desk.Faults().Next(http.MethodPost, standin.LostResponse{}, standin.Outage{})
			So(client.Forward(ctx, issue).Delivery(), ShouldEqual, OutcomeUnknown)
			So(desk.RunCount("k1"), ShouldEqual, 2)
			So(client.Forward(ctx, issue).Delivery(), ShouldEqual, OutcomeUnknown)
			So(desk.RunCount("k1"), ShouldEqual, 2)
		})

		Convey("A call past its limit, or to a dead desk, was not sent", func() {
			So(client.Forward(ctx, issue.WithNotAfter(time.Unix(1, 0))).Delivery(), ShouldEqual, NotSent)
			server.Close()
			So(client.Forward(ctx, issue).Delivery(), ShouldEqual, NotSent)
			So(desk.TicketCount(), ShouldEqual, 0)
		})

		Convey("An answer of another call is not passed on", func() {
			crossed := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(requestHeader, "other")
			}))
			defer crossed.Close()
			issue.address = strings.TrimPrefix(crossed.URL, "http://")
			So(client.Forward(ctx, issue).Delivery(), ShouldEqual, IdentityMismatch)
		})
	})
}
