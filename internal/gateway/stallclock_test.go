package gateway

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/internal/transport"
)

func TestStallClock(t *testing.T) {
	const timeout = time.Second
	start := time.Unix(1_700_000_000, 0)
	at := func(timeouts float64) time.Time { return start.Add(time.Duration(timeouts * float64(timeout))) }
	write := func(c *stallClock, from, to float64, isProgress bool) {
		c.beginWrite(at(from))
		c.endWrite(at(to), isProgress)
	}

	Convey("A stream that sends a comment every 0.9 of its timeout is as stalled as one that sends nothing", t, func() {
		var c stallClock
		c.begin(start, timeout)
		for n := 1; n <= 5; n++ {
			write(&c, 0.9*float64(n), 0.9*float64(n), false)
		}
		So(c.timeouts(at(0.99)), ShouldEqual, 0)
		So(c.timeouts(at(1)), ShouldEqual, 1)
		So(c.timeouts(at(4.5)), ShouldEqual, 4)
	})

	Convey("A stream that sends an event every 0.9 of its timeout is not stalled", t, func() {
		var c stallClock
		c.begin(start, timeout)
		for n := range 5 {
			So(c.timeouts(at(0.9*float64(n+1))), ShouldEqual, 0)
			write(&c, 0.9*float64(n+1), 0.9*float64(n+1), true)
		}
	})

	Convey("The time in which the caller takes an event does not count", t, func() {
		for _, isProgress := range []bool{false, true} {
			var c stallClock
			c.begin(start, timeout)
			c.beginWrite(at(0.5))
			So(c.timeouts(at(9)), ShouldEqual, 0)
			c.endWrite(at(9.5), isProgress)
			So(c.timeouts(at(9.9)), ShouldEqual, 0)
			So(c.timeouts(at(10.6)), ShouldEqual, 1)
		}
	})
}

func TestCommentsAreNoProgress(t *testing.T) {
	Convey("Only events with an id or data are progress of a stream", t, func() {
		for body, events := range map[string]int{
			"id: 3\ndata: a\n\nid: 4\ndata: b\n\n": 2, "id: 3\n\n": 1, "data: a\n\n": 1, ": ping\n\n\n:\n\n": 0, "event: ping\n\n": 0,
		} {
			e := &exchange{daemon: &Daemon{}, writer: httptest.NewRecorder(), headSent: true}
			response := &http.Response{Body: io.NopCloser(strings.NewReader(body)), TransferEncoding: []string{"chunked"}}
			count := 0
			So(e.relay(&transport.Exchange{Response: response}, func(bool) { count++ }, func(bool) {}), ShouldBeNil)
			So(count, ShouldEqual, events)
		}
	})
}

// stuckCaller takes a number of bytes and then nothing more.
type stuckCaller struct {
	*httptest.ResponseRecorder
	takes    int
	deadline time.Time
	largest  int // write
}

func (c *stuckCaller) SetWriteDeadline(t time.Time) error {
	c.deadline = t
	return nil
}

func (c *stuckCaller) Write(b []byte) (int, error) {
	c.largest = max(c.largest, len(b))
	if c.deadline.IsZero() {
		return 0, errors.New("write without a deadline")
	}
	c.deadline = time.Time{}
	if len(b) > c.takes {
		return c.takes, os.ErrDeadlineExceeded
	}
	c.takes -= len(b)
	return c.ResponseRecorder.Write(b)
}

func TestCallerThatReadsNothing(t *testing.T) {
	Convey("Each part of an answer has its own deadline, so that a slow caller gets all of it and one that reads nothing is left", t, func() {
		body := make([]byte, 10*callerWriteBytes+1)
		slow := &stuckCaller{ResponseRecorder: httptest.NewRecorder(), takes: len(body)}
		n, err := newCallerWriter(slow).Write(body)
		So(err, ShouldBeNil)
		So(n, ShouldEqual, len(body))
		So(slow.Body.Len(), ShouldEqual, len(body))
		So(slow.largest, ShouldEqual, callerWriteBytes)

		stuck := &stuckCaller{ResponseRecorder: httptest.NewRecorder(), takes: 2*callerWriteBytes + 7}
		n, err = newCallerWriter(stuck).Write(body)
		So(errors.As(err, &callerError{}), ShouldBeTrue)
		So(n, ShouldEqual, 2*callerWriteBytes+7)
		So(newCallerWriter(stuck).writeEvent([]byte("data: a\n\n")), ShouldNotBeNil)
	})

	Convey("An empty answer is written without an error", t, func() {
		n, err := newCallerWriter(httptest.NewRecorder()).Write(nil)
		So(err, ShouldBeNil)
		So(n, ShouldEqual, 0)
		var w http.ResponseWriter = httptest.NewRecorder()
		So(newCallerWriter(w).writeEvent([]byte("data: a\n\n")), ShouldBeNil)
	})
}
