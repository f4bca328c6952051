package transport

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// closingServer answers the first request on each connection and closes the connection at the second one.
func closingServer(t *testing.T) (url string, requests *atomic.Int64) {
	requests = &atomic.Int64{}
	requestsByConn := map[net.Conn]int{}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		requests.Add(1)
		conn := r.Context().Value(connKey{}).(net.Conn)
		requestsByConn[conn]++
		if requestsByConn[conn] > 1 {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(http.StatusNoContent)
	}))
	server.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	server.Start()
	t.Cleanup(server.Close)
	return server.URL, requests
}

type connKey struct{}

// post sends a request, discards the response and returns whether the request may have been sent.
func post(roundTripper http.RoundTripper, request *http.Request) (bool, error) {
	response, sent, err := Send(roundTripper, request)
	if err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	return sent, err
}

func newKeyedRequest(url string, body []byte) *http.Request {
	request, err := NewRequest(context.Background(), http.MethodPost, url, body)
	if err != nil {
		panic(err)
	}
	request.Header.Set("Idempotency-Key", "k")
	return request
}

func TestRequestsAreSentOnce(t *testing.T) {
	for name, body := range map[string][]byte{"with a body": []byte("{}"), "without a body": nil} {
		Convey("A POST with an idempotency key "+name+" is sent once, even if the server closes the connection", t, func() {
			url, requests := closingServer(t)
			roundTripper := New()
			_, err := post(roundTripper, newKeyedRequest(url, body))
			So(err, ShouldBeNil)
			sent, err := post(roundTripper, newKeyedRequest(url, body))
			So(err, ShouldNotBeNil)
			So(sent, ShouldBeTrue)
			So(requests.Load(), ShouldEqual, 2)
		})
	}

	for _, method := range []string{http.MethodGet, http.MethodHead} {
		Convey("A "+method+" without a body is sent once, even if the server closes the connection", t, func() {
			url, requests := closingServer(t)
			roundTripper := New()
			for range 2 {
				request, err := NewRequest(context.Background(), method, url, nil)
				So(err, ShouldBeNil)
				_, _ = post(roundTripper, request)
			}
			So(requests.Load(), ShouldEqual, 2)
		})

		Convey("A repeatable "+method+" is sent again over a new connection", t, func() {
			url, requests := closingServer(t)
			roundTripper := New()
			for range 2 {
				request, err := NewRepeatableRequest(context.Background(), method, url, nil)
				So(err, ShouldBeNil)
				_, err = post(roundTripper, request)
				So(err, ShouldBeNil)
			}
			So(requests.Load(), ShouldEqual, 3)
		})
	}

	Convey("The same request made by net/http alone is sent twice, so the other tests can fail", t, func() {
		url, requests := closingServer(t)
		roundTripper := New()
		_, err := post(roundTripper, newKeyedRequest(url, nil))
		So(err, ShouldBeNil)
		plain, _ := http.NewRequest(http.MethodPost, url, nil)
		plain.Header.Set("Idempotency-Key", "k")
		_, err = post(roundTripper, plain)
		So(err, ShouldBeNil)
		So(requests.Load(), ShouldEqual, 3)
	})

	Convey("A transport without keep-alives never reuses a connection", t, func() {
		url, requests := closingServer(t)
		roundTripper := NewWithoutKeepAlives()
		for range 3 {
			_, err := post(roundTripper, newKeyedRequest(url, nil))
			So(err, ShouldBeNil)
		}
		So(requests.Load(), ShouldEqual, 3)
	})
}

func TestSent(t *testing.T) {
	Convey("A request to a closed server was not sent", t, func() {
		server := httptest.NewServer(http.NotFoundHandler())
		server.Close()
		sent, err := post(New(), newKeyedRequest(server.URL, nil))
		So(err, ShouldNotBeNil)
		So(sent, ShouldBeFalse)
	})

	Convey("A request whose connection was closed before the first byte was not sent", t, func() {
		ours, theirs := net.Pipe()
		_ = theirs.Close()
		roundTripper := New()
		roundTripper.DialContext = func(context.Context, string, string) (net.Conn, error) {
			return &countedConn{Conn: ours}, nil
		}
		sent, err := post(roundTripper, newKeyedRequest("http://pipe/", []byte("{}")))
		So(err, ShouldNotBeNil)
		So(sent, ShouldBeFalse)
	})

	Convey("A closed connection writes no more bytes", t, func() {
		ours, theirs := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, theirs) }()
		conn := &countedConn{Conn: ours}
		_, _ = conn.Write([]byte("abc"))
		So(conn.closeAndCount(), ShouldEqual, 3)
		_, err := conn.Write([]byte("d"))
		So(err, ShouldNotBeNil)
		So(conn.writtenBytes(), ShouldEqual, 3)
	})
}
