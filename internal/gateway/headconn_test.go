package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/internal/memory"
)

// headServer is a server whose heads take memory from a pool.
type headServer struct {
	*httptest.Server
	pool      *memory.Pool
	usedAt    chan int64 // the memory in use while a request is served
	pipelined chan bool  // whether the server may have read a part of the next request
}

func newHeadServer(t *testing.T, limit int64) *headServer {
	s := &headServer{pool: &memory.Pool{}, usedAt: make(chan int64, 100), pipelined: make(chan bool, 100)}
	s.pool.SetLimit(limit)
	s.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body) // the client checks the answer
		s.usedAt <- s.pool.Usage().Used()
		s.pipelined <- hasPipelined(r)
	}))
	s.Listener = headListener{s.Listener, s.pool}
	s.Config.ConnContext = withCallerConn
	new(connLimiter).apply(s.Config)
	s.Start()
	t.Cleanup(s.Close)
	return s
}

// waitFree waits until no head takes memory.
func (s *headServer) waitFree() {
	for s.pool.Usage().Used() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// head returns a head with lines of three bytes.
func head(method string, lines int, fields string) string {
	return method + " / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\n", lines) + fields + "\r\n"
}

func readStatus(reader *bufio.Reader) (int, string) {
	response, err := http.ReadResponse(reader, nil)
	So(err, ShouldBeNil)
	body, err := io.ReadAll(response.Body)
	So(err, ShouldBeNil)
	return response.StatusCode, string(body)
}

func TestMemoryOfHeads(t *testing.T) {
	const lines = 1000
	Convey("A head takes memory by its lines until its request was answered, in whatever pieces it arrives", t, func() {
		s := newHeadServer(t, 1<<20)
		c, err := net.Dial("tcp", s.Listener.Addr().String())
		So(err, ShouldBeNil)
		defer func() { _ = c.Close() }()
		reader := bufio.NewReader(c)
		for _, piece := range []int{1, 2, 3, 7, 1000, 4096, 1 << 20} {
			for text := head("POST", lines, "Content-Length: 2\r\n") + "ok"; text != ""; {
				n := min(piece, len(text))
				_, err := io.WriteString(c, text[:n])
				So(err, ShouldBeNil)
				text = text[n:]
			}
			status, body := readStatus(reader)
			So(status, ShouldEqual, http.StatusOK)
			So(body, ShouldEqual, "ok")
			So(<-s.usedAt, ShouldBeBetween, lines*headLineMemory-freeHeadMemory, 2*lines*headLineMemory)
			So(<-s.pipelined, ShouldBeFalse)
			s.waitFree()
		}
	})

	Convey("Empty lines before a head are not its end", t, func() {
		s := newHeadServer(t, 1<<20)
		c, err := net.Dial("tcp", s.Listener.Addr().String())
		So(err, ShouldBeNil)
		defer func() { _ = c.Close() }()
		_, err = io.WriteString(c, head("POST", 0, "Content-Length: 2\r\n")+"ok")
		So(err, ShouldBeNil)
		reader := bufio.NewReader(c)
		status, _ := readStatus(reader)
		So(status, ShouldEqual, http.StatusOK)
		_, err = io.WriteString(c, "\r\n\r\n"+head("GET", lines, ""))
		So(err, ShouldBeNil)
		status, _ = readStatus(reader)
		So(status, ShouldEqual, http.StatusOK)
		<-s.usedAt
		So(<-s.usedAt, ShouldBeGreaterThan, lines*headLineMemory-freeHeadMemory)
	})

	Convey("A usual head takes none", t, func() {
		s := newHeadServer(t, 1)
		response, err := http.Post(s.URL, "text/plain", strings.NewReader("ok"))
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, http.StatusOK)
		So(response.Body.Close(), ShouldBeNil)
		So(<-s.usedAt, ShouldEqual, 0)
	})

	Convey("Without memory, a head is answered with a refusal that says when to return, and the connection ends", t, func() {
		s := newHeadServer(t, 10_000)
		c, err := net.Dial("tcp", s.Listener.Addr().String())
		So(err, ShouldBeNil)
		defer func() { _ = c.Close() }()
		_, err = io.WriteString(c, head("GET", 200, ""))
		So(err, ShouldBeNil)
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, http.StatusServiceUnavailable)
		So(response.Header.Get("Retry-After"), ShouldNotBeEmpty)
		So(response.Close, ShouldBeTrue)
		So(isClosed(c), ShouldBeTrue)
		So(s.pool.Usage().Used(), ShouldEqual, 0)
		So(s.pool.Usage().Refused(), ShouldEqual, 1)
	})

	Convey("The memory of a head that is left open is free when its connection ends", t, func() {
		s := newHeadServer(t, 1<<20)
		c, err := net.Dial("tcp", s.Listener.Addr().String())
		So(err, ShouldBeNil)
		_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\n", lines))
		So(err, ShouldBeNil)
		for s.pool.Usage().Used() == 0 {
			time.Sleep(time.Millisecond)
		}
		So(c.Close(), ShouldBeNil)
		s.waitFree()
	})
}

// This guards against heads that are read with the request before them, and so take no memory from the pool.
func TestMemoryOfPipelinedHeads(t *testing.T) {
	const lines = 1000
	for name, first := range map[string]string{
		"without a body": head("GET", 0, ""), "with a head of its own size": head("GET", lines, ""),
	} {
		Convey("A head behind a request "+name+" takes memory as any other", t, func() {
			s := newHeadServer(t, 1<<20)
			c, err := net.Dial("tcp", s.Listener.Addr().String())
			So(err, ShouldBeNil)
			defer func() { _ = c.Close() }()
			_, err = io.WriteString(c, first+head("GET", lines, "")+head("GET", 0, ""))
			So(err, ShouldBeNil)
			reader := bufio.NewReader(c)
			for range 3 {
				status, _ := readStatus(reader)
				So(status, ShouldEqual, http.StatusOK)
			}
			<-s.usedAt
			So(<-s.usedAt, ShouldBeGreaterThan, lines*headLineMemory-freeHeadMemory)
			So(<-s.usedAt, ShouldEqual, 0)
			for range 3 {
				So(<-s.pipelined, ShouldBeFalse)
			}
		})
	}

	for name, first := range map[string]string{
		"with a length": head("POST", 0, "Content-Length: 2\r\n") + "ok",
		"in chunks":     head("POST", 0, "Transfer-Encoding: chunked\r\n") + "2\r\nok\r\n0\r\n\r\n",
	} {
		for pipelined, isNoticed := range map[string]bool{"": false, "GET / HTTP/1.1\r\n": true} {
			Convey(fmt.Sprintf("What is read behind a body %s is noticed, %d bytes", name, len(pipelined)), t, func() {
				s := newHeadServer(t, 1<<20)
				c, err := net.Dial("tcp", s.Listener.Addr().String())
				So(err, ShouldBeNil)
				defer func() { _ = c.Close() }()
				_, err = io.WriteString(c, first+pipelined)
				So(err, ShouldBeNil)
				status, body := readStatus(bufio.NewReader(c))
				So(status, ShouldEqual, http.StatusOK)
				So(body, ShouldEqual, "ok")
				So(<-s.pipelined, ShouldEqual, isNoticed)
			})
		}
	}
}
