package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/internal/transport"
)

// copyingUpstream returns the address of an upstream that sends a refusal without an id before each answer but the first on a connection.
func copyingUpstream(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader, copies := bufio.NewReader(conn), ""
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			id := r.Header.Get(requestID)
			_, _ = io.WriteString(conn, copies+"HTTP/1.1 202 Accepted\r\nX-Request-Id: "+id+"\r\nContent-Length: 0\r\n\r\n")
			copies = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

func TestControlUsesNewConnection(t *testing.T) {
	Convey("An order that is passed on gets its own answer, although its upstream sends a refusal without an id on a connection that was used before", t, func() {
		h := newHopTo(t, copyingUpstream(t))
		call, _, err := h.do(t.Context(), "x")
		So(err, ShouldBeNil)
		So(call.Response.StatusCode, ShouldEqual, http.StatusAccepted)
		_, err = io.Copy(io.Discard, call.Response.Body)
		So(err, ShouldBeNil)
		call.Close()
		<-h.done

		header := http.Header{}
		Prepare(header, "up", Control)
		request := transport.RawRequest{Method: http.MethodPost, Target: "/api/order", Host: "pond", Header: header}
		order, _, err := h.pool.Do(t.Context(), strings.TrimPrefix(h.relay.URL, "http://"), true, request,
			func(http.Header) transport.Match { return transport.Own })
		So(err, ShouldBeNil)
		So(order.Response.StatusCode, ShouldEqual, http.StatusAccepted)
		order.Abort()
	})
}
