package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/internal/transport"
	"github.com/azurepond/azurepond/pkg/dispatch"
	"github.com/azurepond/azurepond/pkg/gateway"
)

// relayBody returns what a caller receives of an upstream's stream, and nil if the stream counts as complete.
func relayBody(body string, framed bool, last string) (string, error) {
	recorder := httptest.NewRecorder()
	e := &exchange{daemon: &Daemon{}, writer: recorder, headSent: true, lastEventID: last}
	response := &http.Response{Body: io.NopCloser(strings.NewReader(body)), ContentLength: -1}
	if framed {
		response.TransferEncoding = []string{"chunked"}
	}
	err := e.relay(&transport.Exchange{Response: response}, func(bool) {}, func(bool) {})
	return recorder.Body.String(), err
}

func TestRelay(t *testing.T) {
	Convey("Complete events are forwarded in order", t, func() {
		stream := "id: 3\ndata: a\n\nid: 4\ndata: b\n\n"
		got, err := relayBody(stream, true, "2")
		So(err, ShouldBeNil)
		So(got, ShouldEqual, stream)
	})

	Convey("A stream that ends within an event is an error, and the partial event is not forwarded", t, func() {
		got, err := relayBody("id: 3\ndata: a\n\nid: 4\nda", true, "2")
		So(err, ShouldEqual, errTruncatedEvent)
		So(got, ShouldEqual, "id: 3\ndata: a\n\n")
	})

	Convey("A stream without a length or chunks is complete if its connection ends between two events, and broken off if within one", t, func() {
		stream := "id: 3\ndata: a\n\nid: 4\ndata: b\n\n"
		got, err := relayBody(stream, false, "2")
		So(err, ShouldBeNil)
		So(got, ShouldEqual, stream)
		for _, cut := range []string{"id: 5", "id: 5\n", "id: 5\ndata: c", "id: 5\ndata: c\n"} {
			got, err := relayBody(stream+cut, false, "2")
			So(err, ShouldEqual, errTruncatedEvent)
			So(got, ShouldEqual, stream)
		}
	})

	Convey("An event id that repeats or skips ends the stream with an error", t, func() {
		for _, id := range []string{"2", "4"} {
			_, err := relayBody("id: "+id+"\ndata: a\n\n", true, "2")
			So(err, ShouldEqual, errEventOrder)
		}
	})

	Convey("A resumed stream goes on with the event after the last one; anything else before it reaches no caller", t, func() {
		for stream, want := range map[string]error{
			"data: failed\n\n":                    errNotContinuation,
			"event: error\ndata: failed\n\n":      errNotContinuation,
			"error: failed\n\n":                   errNotContinuation,
			"{\"error\":\"failed\"}\n\n":          errMalformedEvent,
			"id: x\ndata: failed\n\n":             errEventOrder,
			":\n\nretry: 9\n\nid: 3\ndata: a\n\n": nil,
		} {
			got, err := relayBody(stream, true, "2")
			So(err, ShouldEqual, want)
			So(got, ShouldNotContainSubstring, "failed")
		}
	})

	Convey("A resumed stream without events is complete only if its headers define its end: otherwise the connection may be lost", t, func() {
		_, err := relayBody("", true, "27")
		So(err, ShouldBeNil)
		_, err = relayBody("", false, "27")
		So(err, ShouldEqual, errEmptyStream)
	})
}

// goneCaller is a caller whose connection is closed.
type goneCaller struct{ http.ResponseWriter }

func (goneCaller) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

func (goneCaller) Flush() {}

func TestUpstreamBlamedForCaller(t *testing.T) {
	Convey("An answer that cannot be written, since its caller is gone, is not a failure of the upstream", t, func() {
		newExchange := func() *exchange {
			d := &Daemon{events: make(chan gateway.Event, 4), log: &logger{}, ctx: context.Background()}
			return &exchange{daemon: d, id: 7, writer: goneCaller{httptest.NewRecorder()}, headSent: true}
		}
		events := func(e *exchange) []gateway.Event {
			close(e.daemon.events)
			return slices.Collect(func(yield func(gateway.Event) bool) {
				for event := range e.daemon.events {
					yield(event)
				}
			})
		}
		var send dispatch.Send
		gone := []gateway.Event{
			gateway.NewDispatchEvent(dispatch.NewCallerLeft(7)),
			gateway.NewDispatchEvent(dispatch.NewFailed(send.Attempt(), dispatch.Halted).WithProgress("")),
		}

		e := newExchange()
		body := io.NopCloser(strings.NewReader("id: 1\ndata: a\n\n"))
		err := e.relay(&transport.Exchange{Response: &http.Response{Body: body, ContentLength: -1}}, func(bool) {}, func(bool) {})
		So(err, ShouldNotBeNil)
		e.reportBroken(context.Background(), send, err)
		So(events(e), ShouldResemble, gone)

		e = newExchange()
		_, err = io.Copy(newCallerWriter(e.writer), strings.NewReader("large"))
		e.reportBroken(context.Background(), send, err)
		So(events(e), ShouldResemble, gone)

		e = newExchange()
		e.reportBroken(context.Background(), send, io.ErrUnexpectedEOF)
		So(events(e), ShouldResemble, []gateway.Event{
			gateway.NewDispatchEvent(dispatch.NewFailed(send.Attempt(), dispatch.Interrupted).WithProgress("")),
		})
	})
}

func TestCancelledAttempt(t *testing.T) {
	Convey("A cancelled attempt is halted, unless it is known not to have run", t, func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		var send dispatch.Send
		for failure, reported := range map[dispatch.Failure]dispatch.Failure{
			dispatch.NotSent: dispatch.NotSent, dispatch.NotRun: dispatch.NotRun,
			dispatch.Interrupted: dispatch.Halted, dispatch.RelayLost: dispatch.Halted,
		} {
			d := &Daemon{events: make(chan gateway.Event, 1), log: &logger{}, ctx: context.Background()}
			e := &exchange{daemon: d}
			e.reportFailure(ctx, dispatch.NewFailed(send.Attempt(), failure))
			So(<-d.events, ShouldResemble, gateway.NewDispatchEvent(dispatch.NewFailed(send.Attempt(), reported)))
		}
	})
}

func TestReadEvent(t *testing.T) {
	Convey("The head of another answer within a stream reaches no caller, also if it begins within an event", t, func() {
		head := "HTTP/1.1 500 Internal Server Error\r\nX-Server-Stamp: s\r\nContent-Length: 8\r\n\r\nfailed\n\n"
		for _, begin := range []string{"", "id: 4\n", "id: 4\ndata: b", "id: 4\ndata: b\n"} {
			got, err := relayBody("id: 3\ndata: a\n\n"+begin+head, false, "2")
			So(err, ShouldEqual, errMalformedEvent)
			So(got, ShouldEqual, "id: 3\ndata: a\n\n")
		}
	})

	Convey("A line longer than the buffer is one line, whatever its parts look like", t, func() {
		for _, rest := range []string{"", "id: 7", "Failed"} {
			longEvent := "id: 1\n:" + strings.Repeat("x", 4095) + rest + "\n\n"
			event, id, err := newEventReader(strings.NewReader(longEvent), nil).next()
			So(err, ShouldBeNil)
			So(id, ShouldEqual, "1")
			So(len(event), ShouldEqual, len(longEvent))
		}
	})

	Convey("Fields in lower case, comments and fields without a value are lines of an event", t, func() {
		stream := "x-weight-versions: 5\r\n: note\r\nid: 1\r\ndata\r\nretry:9\r\nevent:\r\n\r\n"
		event, id, err := newEventReader(strings.NewReader(stream), nil).next()
		So(err, ShouldBeNil)
		So(id, ShouldEqual, "1")
		So(string(event), ShouldEqual, stream)
	})

	Convey("An event longer than the buffer is read completely", t, func() {
		longEvent := "id: 1\ndata: " + strings.Repeat("x", 100_000) + "\n\n"
		event, id, err := newEventReader(strings.NewReader(longEvent), nil).next()
		So(err, ShouldBeNil)
		So(id, ShouldEqual, "1")
		So(string(event), ShouldEqual, longEvent)
	})
}

func TestLogWriter(t *testing.T) {
	Convey("Lines beyond the buffer are dropped and counted, and Write does not block", t, func() {
		reader, writer := io.Pipe()
		w := NewLogWriter(writer)
		for range maxBufferedLines + 100 {
			_, err := w.Write([]byte("line\n"))
			So(err, ShouldBeNil)
		}
		So(w.DroppedLines(), ShouldBeGreaterThanOrEqualTo, 98)
		So(reader.Close(), ShouldBeNil)
	})
}

func TestEventIDsAtTheEndOfTheirRange(t *testing.T) {
	Convey("No event follows one with the highest number", t, func() {
		So(isNextEventID("9223372036854775806", "9223372036854775807"), ShouldBeTrue)
		So(isNextEventID("9223372036854775807", "-9223372036854775808"), ShouldBeFalse)
		So(isNextEventID("9223372036854775807", "1"), ShouldBeFalse)
	})
}
