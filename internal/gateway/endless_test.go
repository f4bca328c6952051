package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/internal/transport"
)

// endless repeats a text, and counts the bytes that were read of at most endlessBytes.
type endless struct {
	text string
	read int
}

// endlessBytes is how much an upstream sends at most that would send without end.
const endlessBytes = 64 << 20

func (e *endless) Read(b []byte) (int, error) {
	if e.read >= endlessBytes {
		return 0, io.ErrUnexpectedEOF
	}
	n := 0
	for n < len(b) {
		n += copy(b[n:], e.text[(e.read+n)%len(e.text):])
	}
	e.read += n
	return n, nil
}

func TestEndlessStream(t *testing.T) {
	for name, text := range map[string]string{
		"empty lines": "\n", "comments": ": keep-alive\n\n", "fields of one event": "data: x\n", "bytes of one line": "x",
		"events without an id": "data: x\n\n",
	} {
		Convey("A stream that goes on with endless "+name+" is broken off", t, func() {
			body := &endless{text: text}
			e := &exchange{daemon: &Daemon{}, writer: httptest.NewRecorder(), headSent: true, lastEventID: "2"}
			first := strings.NewReader("id: 3\ndata: a\n\n")
			response := &http.Response{Body: io.NopCloser(io.MultiReader(first, body)), ContentLength: -1}
			So(e.relay(&transport.Exchange{Response: response}, func(bool) {}, func(bool) {}), ShouldNotBeNil)
			So(body.read, ShouldBeLessThan, endlessBytes/8)
		})
	}

	Convey("A stream that begins with endless empty lines is broken off", t, func() {
		body := &endless{text: "\n"}
		e := &exchange{writer: httptest.NewRecorder()}
		response := &http.Response{StatusCode: 200, Header: http.Header{}, Body: io.NopCloser(body), ContentLength: -1}
		e.daemon = &Daemon{adapter: Adapter{Headers: plainHeaders{}}}
		So(e.relay(&transport.Exchange{Response: response}, func(bool) {}, func(bool) {}), ShouldNotBeNil)
		So(body.read, ShouldBeLessThan, endlessBytes/8)
	})
}

// plainHeaders is a codec that removes nothing from the headers of an answer.
type plainHeaders struct{ HeaderCodec }

func (plainHeaders) RemoveHopHeaders(http.Header) {}

func TestEndlessBodies(t *testing.T) {
	const instanceBytes = 184 << 20
	Convey("Endless bodies of several answers at once take a bounded amount of memory", t, func() {
		d := &Daemon{}
		d.memory.setLimits(instanceBytes)
		total := 0
		for range 32 {
			e := &exchange{daemon: d}
			held, isWhole, err := e.readAnswer(&endless{text: "x"})
			So(err, ShouldBeNil)
			So(isWhole, ShouldBeFalse)
			total += held.Len()
		}
		So(total, ShouldBeLessThanOrEqualTo, instanceBytes*12/100+32*answerChunkBytes)
	})

	Convey("Short answers are held while endless ones take their part of the memory", t, func() {
		d := &Daemon{}
		d.memory.setLimits(instanceBytes)
		for range 32 {
			_, _, _ = (&exchange{daemon: d}).readAnswer(&endless{text: "x"})
		}
		_, isWhole, err := (&exchange{daemon: d}).readAnswer(strings.NewReader(strings.Repeat("x", 48<<10)))
		So(err, ShouldBeNil)
		So(isWhole, ShouldBeTrue)
	})

	Convey("The memory is available again when the exchange ends", t, func() {
		d := &Daemon{}
		d.memory.setLimits(instanceBytes)
		size := d.memory.maxAnswerBytes()
		for range 32 {
			e := &exchange{daemon: d}
			held, isWhole, err := e.readAnswer(strings.NewReader(strings.Repeat("x", size)))
			So(err, ShouldBeNil)
			So(isWhole, ShouldBeTrue)
			So(held.Len(), ShouldEqual, size)
			e.buffered = &bufferedAnswer{body: held}
			d.unregister(e)
		}
		So(d.memory.answers.Usage().Used(), ShouldEqual, 0)
	})

	Convey("The memory for events is available again when the stream ends", t, func() {
		d := &Daemon{}
		d.memory.setLimits(instanceBytes)
		for range 32 {
			reader := newEventReader(&endless{text: "data: x\n"}, &d.memory.events)
			_, _, err := reader.next()
			So(err, ShouldEqual, errEventTooLong)
			reader.free()
		}
		So(d.memory.events.Usage().Used(), ShouldEqual, 0)
		So(d.memory.events.Usage().Peak(), ShouldBeGreaterThan, 0)
	})
}

// answerChunkBytes is more than an answer takes before it draws on the memory for all of them.
const answerChunkBytes = 32 << 10
