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

// entry carries out the decisions of one daemon towards a desk over real connections, one effect after another.
type entry struct {
	state     service.State
	platform  *platform.Client
	upstreams *Client
	now       time.Time
	last      caller.ID
	outcome   string
}

func newEntry(name, store, desk string) *entry {
	e := &entry{platform: platform.New(store, 0, ""), upstreams: New(), now: time.Now()}
	e.feed(service.NewConfigured(service.NewSettings(name, "athens", 1, service.NewService("desk", false))))
	e.feed(service.NewUpstreamsChanged("desk", service.NewUpstream(desk, "athens", 0)))
	return e
}

func (e *entry) feed(event service.Event) {
	for _, effect := range e.state.Reduce(e.now, event) {
		switch effect := effect.(type) {
		case service.Store:
			e.feed(service.NewStoreCompleted(e.platform.Do(context.Background(), effect.Request())))
		case service.Send:
			e.feed(e.send(effect))
		case service.Finish:
			e.outcome = describe(effect.Outcome())
		case service.Replay:
			e.outcome = "replay " + string(effect.Answer().Body())
		}
	}
}

func (e *entry) send(effect service.Send) service.Event {
	header := http.Header{"Idempotency-Key": {effect.Call().Key()}}
	request := NewRequest(effect.Address(), "a", http.MethodPost, "/tickets", header, []byte(`{}`))
	reply := e.upstreams.Forward(context.Background(), request)
	switch reply.Delivery() {
	case Answered:
		answer := service.NewAnswer(reply.Status(), reply.Header().Get("Content-Type"), reply.Body())
		return service.NewReplied(effect.Attempt(), answer)
	case NotSent:
		return service.NewFailed(effect.Attempt(), service.NotSent)
	}
	return service.NewFailed(effect.Attempt(), service.AnswerIncomplete)
}

// book sends a call with key and goes on, a tick every 200 ms of the entry's time, until it ended.
func (e *entry) book(key string) string {
	e.last++
	e.outcome = ""
	deadline := e.now.Add(10 * time.Second)
	e.feed(service.NewSubmitted(caller.NewCall(e.last, caller.Service, "desk", "koinonia", deadline).WithKey(key)))
	for e.outcome == "" {
		e.now = e.now.Add(200 * time.Millisecond)
		e.feed(service.NewTicked())
	}
	return e.outcome
}

func describe(outcome caller.Outcome) string {
	switch o := outcome.(type) {
	case caller.NotRun:
		return "not run, " + string(o.Reason())
	case caller.Unknown:
		return "unknown, " + string(o.Reason())
	}
	return "answered"
}

func TestDesk(t *testing.T) {
	Convey("Given two entries before one store and one desk", t, func() {
		var store standin.Platform
		var desk standin.Service
		stores, desks := httptest.NewServer(&store), httptest.NewServer(&desk)
		Reset(stores.Close)
		Reset(desks.Close)
		address := strings.TrimPrefix(desks.URL, "http://")
		first, second := newEntry("e1", stores.URL, address), newEntry("e2", stores.URL, address)
		key := uuid.Must(uuid.NewV7()).String()

		Convey("A ticket is issued once, and the other entry gives the first answer", func() {
			So(first.book(key), ShouldEqual, "answered")
			So(second.book(key), ShouldStartWith, `replay {"id":1`)
			So(desk.RunCount(key), ShouldEqual, 1)
		})

		Convey("A claim whose answer is lost is read back, and the ticket is issued once", func() {
			store.Faults().Next(http.MethodPost, standin.LostResponse{})
			So(first.book(key), ShouldEqual, "answered")
			So(second.book(key), ShouldStartWith, "replay")
			So(desk.RunCount(key), ShouldEqual, 1)
		})

		Convey("A desk that dies after it issued leaves the outcome unknown at both entries", func() {
			desk.Faults().Next(http.MethodPost, standin.LostResponse{})
			So(first.book(key), ShouldEqual, "unknown, broken")
			So(second.book(key), ShouldEqual, "unknown, broken")
			So(desk.RunCount(key), ShouldEqual, 1)
		})

		Convey("A desk that cannot be reached leaves the key free", func() {
			desks.Close()
			So(first.book(key), ShouldEqual, "not run, replica")
			So(store.ObjectCount("claims"), ShouldEqual, 1)
			So(desk.RunCount(key), ShouldEqual, 0)
			So(second.book(key), ShouldEqual, "not run, replica")
		})

		Convey("With the store out nothing runs, and once it is back the ticket is issued", func() {
			store.Faults().Always("", standin.Unavailable{})
			So(first.book(key), ShouldEqual, "not run, store")
			So(desk.TicketCount(), ShouldEqual, 0)
			store.Faults().Clear()
			So(second.book(key), ShouldEqual, "answered")
			So(desk.RunCount(key), ShouldEqual, 1)
		})
	})
}
