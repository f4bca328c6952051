package gateway

import (
	"bufio"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/internal/transport"
)

// relayed returns what a caller gets of an upstream's stream, and whether it counts as whole.
func relayed(body string, framed bool, last string) (string, error) {
	recorder := httptest.NewRecorder()
	e := &exchange{writer: recorder, begun: true, last: last}
	response := &http.Response{Body: io.NopCloser(strings.NewReader(body)), ContentLength: -1}
	if framed {
		response.TransferEncoding = []string{"chunked"}
	}
	err := e.relay(&transport.Exchange{Response: response}, func(bool) {})
	return recorder.Body.String(), err
}

func TestRelay(t *testing.T) {
	Convey("Events are passed on whole and in order", t, func() {
		stream := "id: 3\ndata: a\n\nid: 4\ndata: b\n\n"
		got, err := relayed(stream, true, "2")
		So(err, ShouldBeNil)
		So(got, ShouldEqual, stream)
	})

	Convey("A stream that ends within an event is not whole, and the part is not passed on", t, func() {
		got, err := relayed("id: 3\ndata: a\n\nid: 4\nda", true, "2")
		So(err, ShouldEqual, errMidEvent)
		So(got, ShouldEqual, "id: 3\ndata: a\n\n")
	})

	Convey("An event that was passed on before, or skips one, ends the stream", t, func() {
		for _, id := range []string{"2", "4"} {
			_, err := relayed("id: "+id+"\ndata: a\n\n", true, "2")
			So(err, ShouldEqual, errOrder)
		}
	})

	Convey("A resumed stream without an event is whole only if it is framed: a connection that ends says nothing", t, func() {
		_, err := relayed("", true, "27")
		So(err, ShouldBeNil)
		_, err = relayed("", false, "27")
		So(err, ShouldEqual, errEmpty)
	})
}

func TestReadEvent(t *testing.T) {
	Convey("An event longer than the buffer is read whole", t, func() {
		long := "id: 1\ndata: " + strings.Repeat("x", 100_000) + "\n\n"
		event, id, err := readEvent(bufio.NewReader(strings.NewReader(long)))
		So(err, ShouldBeNil)
		So(id, ShouldEqual, "1")
		So(string(event), ShouldEqual, long)
	})
}

func TestOutput(t *testing.T) {
	Convey("Lines that nobody reads are dropped and counted, and nothing waits", t, func() {
		reader, writer := io.Pipe()
		o := NewLogWriter(writer)
		for range linesKept + 100 {
			_, err := o.Write([]byte("line\n"))
			So(err, ShouldBeNil)
		}
		So(o.Dropped(), ShouldBeGreaterThanOrEqualTo, 98)
		So(reader.Close(), ShouldBeNil)
	})
}
