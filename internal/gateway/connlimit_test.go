package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// limitedServer is a server whose connections a connLimiter limits.
type limitedServer struct {
	*connLimiter
	*httptest.Server
}

func newLimitedServer(t *testing.T, serve http.HandlerFunc) *limitedServer {
	s := &limitedServer{&connLimiter{}, httptest.NewUnstartedServer(serve)}
	s.apply(s.Config)
	s.Start()
	t.Cleanup(s.Server.Close)
	return s
}

// dial opens a connection that the server has accepted.
func (s *limitedServer) dial() net.Conn {
	before := s.usage()
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	So(err, ShouldBeNil)
	for s.usage().open == before.open && s.usage().excess == before.excess {
		time.Sleep(time.Millisecond)
	}
	return c
}

// request sends a request on a connection and returns the status of the answer.
func request(c net.Conn) (int, error) {
	if _, err := fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

func isClosed(c net.Conn) bool {
	_, err := c.Read(make([]byte, 1))
	return err != nil
}

func (s *limitedServer) waitIdle(count int) {
	for s.usage().idle != count {
		time.Sleep(time.Millisecond)
	}
}

// TestIdleConnections guards against idle connections of callers that stay longer than the configuration allows.
func TestIdleConnections(t *testing.T) {
	Convey("Connections that are idle for the timeout are closed, others and those with a request are not", t, func() {
		running, release := make(chan struct{}), make(chan struct{})
		s := newLimitedServer(t, func(_ http.ResponseWriter, r *http.Request) {
			if body, _ := io.ReadAll(r.Body); r.URL.Path == "/" && string(body) == "body" {
				return
			}
			running <- struct{}{}
			<-release
		})
		idle, unused, busy := s.dial(), s.dial(), s.dial()
		status, err := request(idle)
		So(err, ShouldBeNil)
		So(status, ShouldEqual, http.StatusOK)
		_, err = fmt.Fprint(busy, "POST /busy HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
		So(err, ShouldBeNil)
		<-running
		s.waitIdle(2)
		now := time.Now()
		s.closeIdle(now, 2*time.Minute)
		So(s.usage().timedOut, ShouldEqual, 0)
		s.closeIdle(now.Add(time.Minute), time.Minute)
		So(isClosed(idle), ShouldBeTrue)
		So(s.usage().timedOut, ShouldEqual, 1)
		close(release)
		_, err = http.ReadResponse(bufio.NewReader(busy), nil)
		So(err, ShouldBeNil)
		status, err = request(unused)
		So(err, ShouldBeNil)
		So(status, ShouldEqual, http.StatusOK)
	})
}

// TestTooManyConnections guards against callers that use up the descriptors of a daemon.
func TestTooManyConnections(t *testing.T) {
	Convey("Beyond the limit, the connection that is idle longest is closed, and new ones are served", t, func() {
		s := newLimitedServer(t, func(http.ResponseWriter, *http.Request) {})
		s.setLimit(4) // three connections, one of them with a request
		conns := []net.Conn{s.dial(), s.dial(), s.dial()}
		for _, i := range []int{1, 2, 0} {
			_, err := request(conns[i])
			So(err, ShouldBeNil)
			s.waitIdle(3)
		}
		for _, i := range []int{1, 2, 0} {
			added := s.dial()
			status, err := request(added)
			So(err, ShouldBeNil)
			So(status, ShouldEqual, http.StatusOK)
			So(isClosed(conns[i]), ShouldBeTrue)
			s.waitIdle(3)
		}
		So(s.usage().excess, ShouldEqual, 3)
		So(s.usage().peak, ShouldEqual, 4)
	})

	Convey("Connections with requests stay; a new one is closed before it is read, and the limiter says that it is full", t, func() {
		running, release := make(chan struct{}), make(chan struct{})
		s := newLimitedServer(t, func(http.ResponseWriter, *http.Request) {
			running <- struct{}{}
			<-release
		})
		s.setLimit(4)
		results := make(chan error, 2)
		for range 2 {
			c := s.dial()
			go func() {
				_, err := request(c)
				results <- err
			}()
			<-running
		}
		So(s.isFull(), ShouldBeFalse)
		So(isClosed(s.dial()), ShouldBeTrue)
		s.setLimit(3)
		So(s.isFull(), ShouldBeTrue)
		close(release)
		So(<-results, ShouldBeNil)
		So(<-results, ShouldBeNil)
		s.waitIdle(2)
		So(s.isFull(), ShouldBeFalse)
	})
}

// TestRequestOnExpiredConnection guards against a request that is cut off, since its connection expired while it arrived.
func TestRequestOnExpiredConnection(t *testing.T) {
	Convey("A request that arrives while its connection expires is answered or not read at all", t, func() {
		served := make(chan struct{}, 1)
		s := newLimitedServer(t, func(_ http.ResponseWriter, r *http.Request) {
			_, err := io.ReadAll(r.Body)
			if err == nil {
				served <- struct{}{}
			}
		})
		answered := 0
		for range 300 {
			c := s.dial()
			_, err := request(c)
			So(err, ShouldBeNil)
			<-served
			s.waitIdle(1)
			go s.closeIdle(time.Now().Add(time.Minute), time.Minute)
			if _, err = request(c); err == nil {
				answered++
			}
			select {
			case <-served:
				So(err, ShouldBeNil)
			default:
				So(err, ShouldNotBeNil)
			}
			So(c.Close(), ShouldBeNil)
			for s.usage().open > 0 {
				time.Sleep(time.Millisecond)
			}
		}
		t.Logf("%d of 300 requests were answered", answered)
	})
}

func TestScarcity(t *testing.T) {
	Convey("A resource becomes scarce once, and is no longer scarce when nothing was refused for a while", t, func() {
		s, now := scarcity{}, time.Unix(1, 0)
		at := func(passed time.Duration, refused int64) [2]bool {
			isScarce, hasChanged := s.update(now.Add(passed), "x", refused)
			return [2]bool{isScarce, hasChanged}
		}
		So(at(0, 0), ShouldEqual, [2]bool{false, false})
		So(at(time.Second, 3), ShouldEqual, [2]bool{true, true})
		So(at(2*time.Second, 4), ShouldEqual, [2]bool{true, false})
		So(at(2*time.Second+scarcityEnds-1, 4), ShouldEqual, [2]bool{true, false})
		So(at(2*time.Second+scarcityEnds, 4), ShouldEqual, [2]bool{false, true})
		So(at(3*time.Second+scarcityEnds, 4), ShouldEqual, [2]bool{false, false})
	})
}
