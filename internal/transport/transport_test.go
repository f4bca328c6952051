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

// closingServer answers the first request of each connection and, at the second, closes it without an answer.
func closingServer(t *testing.T) (url string, requests *atomic.Int64) {
	requests = &atomic.Int64{}
	seen := map[net.Conn]int{}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		requests.Add(1)
		conn := r.Context().Value(connKey{}).(net.Conn)
		seen[conn]++
		if seen[conn] > 1 {
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

func post(by http.RoundTripper, request *http.Request) (bool, error) {
	response, sent, err := Send(by, request)
	if err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	return sent, err
}

func keyed(url string, body []byte) *http.Request {
	request, err := NewRequest(context.Background(), http.MethodPost, url, body)
	if err != nil {
		panic(err)
	}
	request.Header.Set("Idempotency-Key", "k")
	return request
}

func TestNothingIsSentTwice(t *testing.T) {
	for name, body := range map[string][]byte{"with a body": []byte("{}"), "without a body": nil} {
		Convey("A keyed POST "+name+" that meets a connection its server closes is sent once", t, func() {
			url, requests := closingServer(t)
			by := New()
			_, err := post(by, keyed(url, body))
			So(err, ShouldBeNil)
			sent, err := post(by, keyed(url, body))
			So(err, ShouldNotBeNil)
			So(sent, ShouldBeTrue)
			So(requests.Load(), ShouldEqual, 2)
		})
	}

	Convey("The same request made by net/http alone is sent twice, so the test can fail", t, func() {
		url, requests := closingServer(t)
		by := New()
		_, err := post(by, keyed(url, nil))
		So(err, ShouldBeNil)
		plain, _ := http.NewRequest(http.MethodPost, url, nil)
		plain.Header.Set("Idempotency-Key", "k")
		_, err = post(by, plain)
		So(err, ShouldBeNil)
		So(requests.Load(), ShouldEqual, 3)
	})

	Convey("A fresh transport never meets an old connection", t, func() {
		url, requests := closingServer(t)
		by := NewWithoutKeepAlives()
		for range 3 {
			_, err := post(by, keyed(url, nil))
			So(err, ShouldBeNil)
		}
		So(requests.Load(), ShouldEqual, 3)
	})
}

func TestSent(t *testing.T) {
	Convey("A request whose server is gone was not sent", t, func() {
		server := httptest.NewServer(http.NotFoundHandler())
		server.Close()
		sent, err := post(New(), keyed(server.URL, nil))
		So(err, ShouldNotBeNil)
		So(sent, ShouldBeFalse)
	})

	Convey("A request that meets a closed connection before its first byte was not sent", t, func() {
		ours, theirs := net.Pipe()
		_ = theirs.Close()
		by := New()
		by.DialContext = func(context.Context, string, string) (net.Conn, error) { return &countedConn{Conn: ours}, nil }
		sent, err := post(by, keyed("http://pipe/", []byte("{}")))
		So(err, ShouldNotBeNil)
		So(sent, ShouldBeFalse)
	})

	Convey("A sealed connection takes no more bytes", t, func() {
		ours, theirs := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, theirs) }()
		conn := &countedConn{Conn: ours}
		_, _ = conn.Write([]byte("abc"))
		So(conn.seal(), ShouldEqual, 3)
		_, err := conn.Write([]byte("d"))
		So(err, ShouldNotBeNil)
		So(conn.written(), ShouldEqual, 3)
	})
}
