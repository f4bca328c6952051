package upstream

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/internal/platform"
	"github.com/azurepond/azurepond/internal/standin"
	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/service"
)

// daemon executes the effects of service.State against a store and a ticket service over real connections, one after
// another.
type daemon struct {
	state      service.State
	platform   *platform.Client
	upstreams  *Client
	now        time.Time
	lastCallID caller.ID
	outcome    string
}

func newDaemon(name, storeURL, address string) *daemon {
	d := &daemon{platform: platform.New(storeURL, 0, ""), upstreams: New(), now: time.Now()}
	d.feed(service.NewConfigured(service.NewSettings(name, "athens", 1, service.NewService("desk", false))))
	d.feed(service.NewUpstreamsChanged("desk", service.NewUpstream(address, "athens", 0)))
	return d
}

func (d *daemon) feed(event service.Event) {
	for _, effect := range d.state.Reduce(d.now, event) {
		switch effect := effect.(type) {
		case service.Store:
			d.feed(service.NewStoreCompleted(d.platform.Do(context.Background(), effect.Request())))
		case service.Send:
			d.feed(d.send(effect))
		case service.Finish:
			d.outcome = describeOutcome(effect.Outcome())
		case service.Replay:
			d.outcome = "replay " + string(effect.Answer().Body())
		}
	}
}

func (d *daemon) send(effect service.Send) service.Event {
	header := http.Header{"Idempotency-Key": {effect.Call().Key()}}
	request := NewRequest(effect.Address(), "a", http.MethodPost, "/tickets", header, []byte(`{}`))
	reply := d.upstreams.Forward(context.Background(), request)
	switch reply.Delivery() {
	case Answered:
		answer := service.NewAnswer(reply.Status(), reply.Header().Get("Content-Type"), reply.Body())
		return service.NewReplied(effect.Attempt(), answer)
	case NotSent:
		return service.NewFailed(effect.Attempt(), service.NotSent)
	}
	return service.NewFailed(effect.Attempt(), service.AnswerIncomplete)
}

// call submits a call with key and ticks every 200 ms of fake time until the call has ended.
func (d *daemon) call(key string) string {
	d.lastCallID++
	d.outcome = ""
	deadline := d.now.Add(10 * time.Second)
	d.feed(service.NewSubmitted(caller.NewCall(d.lastCallID, caller.Service, "desk", "koinonia", deadline).WithKey(key)))
	for d.outcome == "" {
		d.now = d.now.Add(200 * time.Millisecond)
		d.feed(service.NewTicked())
	}
	return d.outcome
}

func describeOutcome(outcome caller.Outcome) string {
	switch o := outcome.(type) {
	case caller.NotRun:
		return "not run, " + string(o.Reason())
	case caller.Unknown:
		return "unknown, " + string(o.Reason())
	}
	return "answered"
}

func TestIdempotencyKeys(t *testing.T) {
	Convey("Given two daemons with one store and one ticket service", t, func() {
		var store standin.Platform
		var tickets standin.Service
		storeServer, ticketServer := httptest.NewServer(&store), httptest.NewServer(&tickets)
		Reset(storeServer.Close)
		Reset(ticketServer.Close)
		address := strings.TrimPrefix(ticketServer.URL, "http://")
		first, second := newDaemon("e1", storeServer.URL, address), newDaemon("e2", storeServer.URL, address)
		key := uuid.Must(uuid.NewV7()).String()

		Convey("A ticket is issued once, and the other daemon replays the first answer", func() {
			So(first.call(key), ShouldEqual, "answered")
			So(second.call(key), ShouldStartWith, `replay {"id":1`)
			So(tickets.RunCount(key), ShouldEqual, 1)
		})

		Convey("A claim whose answer is lost is read again, and the ticket is issued once", func() {
			store.Faults().Next(http.MethodPost, standin.LostResponse{})
			So(first.call(key), ShouldEqual, "answered")
			So(second.call(key), ShouldStartWith, "replay")
			So(tickets.RunCount(key), ShouldEqual, 1)
		})

		Convey("If the answer is lost after the ticket was issued, both daemons report an unknown outcome", func() {
			tickets.Faults().Next(http.MethodPost, standin.LostResponse{})
			So(first.call(key), ShouldEqual, "unknown, broken")
			So(second.call(key), ShouldEqual, "unknown, broken")
			So(tickets.RunCount(key), ShouldEqual, 1)
		})

		Convey("A call to an unreachable service is not run, and its key can be used again", func() {
			ticketServer.Close()
			So(first.call(key), ShouldEqual, "not run, replica")
			So(store.ObjectCount("claims"), ShouldEqual, 1)
			So(tickets.RunCount(key), ShouldEqual, 0)
			So(second.call(key), ShouldEqual, "not run, replica")
		})

		Convey("No call runs while the store is unavailable, and the ticket is issued once it recovers", func() {
			store.Faults().Always("", standin.Unavailable{})
			So(first.call(key), ShouldEqual, "not run, store")
			So(tickets.TicketCount(), ShouldEqual, 0)
			store.Faults().Clear()
			So(second.call(key), ShouldEqual, "answered")
			So(tickets.RunCount(key), ShouldEqual, 1)
		})
	})
}
