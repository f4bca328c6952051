package gateway

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"
)

// connLimiter closes connections of an HTTP server that are idle for too long, and the one that is idle longest when there are too many. A
// connection with a request stays, and counts twice, as the request may need another one. The zero value has no limit.
type connLimiter struct {
	mutex    sync.Mutex
	limit    int // 0 for none
	idle     list.List
	conns    map[net.Conn]*trackedConn
	expiring int // of conns, which net/http closes as soon as it reads from them
	active   int // of conns, with a request
	peak     int
	timedOut int64
	excess   int64
}

// trackedConn is an open connection.
type trackedConn struct {
	net.Conn
	element   *list.Element // in the list of those without a request, nil for one with a request
	since     time.Time     // without a request
	isActive  bool          // it has a request
	isNew     bool          // no request has arrived; the server's timeout for heads applies
	isExpired bool
}

// connUsage is the number of connections of a connLimiter.
type connUsage struct {
	limit, open, idle, peak int   // peak since the start
	timedOut                int64 // closed, as they were idle for too long
	excess                  int64 // closed, as there were too many
}

func (l *connLimiter) setLimit(limit int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.limit = limit
}

func (l *connLimiter) usage() connUsage {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return connUsage{l.limit, len(l.conns), l.idle.Len(), l.peak, l.timedOut, l.excess}
}

// apply makes a server report its connections to the limiter, and to those that count the memory of heads.
func (l *connLimiter) apply(server *http.Server) *http.Server {
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if counted, isCounted := c.(*headConn); isCounted {
			counted.observe(state)
		}
		l.observe(time.Now(), c, state)
	}
	return server
}

// observe handles that the state of a connection has changed.
func (l *connLimiter) observe(now time.Time, c net.Conn, state http.ConnState) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	tracked := l.conns[c]
	switch state {
	case http.StateNew:
		if l.conns == nil {
			l.conns = map[net.Conn]*trackedConn{}
		}
		tracked = &trackedConn{Conn: c, since: now, isNew: true}
		tracked.element = l.idle.PushBack(tracked)
		l.conns[c] = tracked
		l.peak = max(l.peak, len(l.conns))
		l.expireExcess()
	case http.StateActive:
		if tracked != nil {
			l.leaveIdle(tracked)
			tracked.isActive = true
			l.active++
			l.expireExcess()
		}
	case http.StateIdle:
		if tracked != nil {
			l.endRequest(tracked)
			tracked.since = now
			tracked.element = l.idle.PushBack(tracked)
		}
	case http.StateHijacked, http.StateClosed:
		if tracked != nil {
			l.leaveIdle(tracked)
			l.endRequest(tracked)
			delete(l.conns, c)
		}
	}
}

// expireExcess expires idle connections while there are too many.
func (l *connLimiter) expireExcess() {
	for l.limit > 0 && len(l.conns)-l.expiring+l.active > l.limit && l.idle.Len() > 0 {
		l.excess++
		l.expire(l.idle.Front().Value.(*trackedConn))
	}
}

// isFull reports whether there are more requests than connections for them.
func (l *connLimiter) isFull() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.limit > 0 && 2*l.active > l.limit
}

func (l *connLimiter) endRequest(c *trackedConn) {
	if c.isActive {
		c.isActive = false
		l.active--
	}
}

// leaveIdle handles that a connection is no longer idle. If it has expired meanwhile, it stays open for its request.
func (l *connLimiter) leaveIdle(c *trackedConn) {
	if c.element != nil {
		l.idle.Remove(c.element)
		c.element = nil
	}
	c.isNew = false
	if c.isExpired {
		c.isExpired = false
		l.expiring--
		_ = c.SetReadDeadline(time.Time{}) // fails only if the connection is closed
	}
}

// expire ends the server's wait for the next request, which closes the connection. Closing it here could cut off a request that has just been
// read.
func (l *connLimiter) expire(c *trackedConn) {
	l.idle.Remove(c.element)
	c.element = nil
	c.isExpired = true
	l.expiring++
	_ = c.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection is closed
}

// closeIdle closes the connections that are idle for at least timeout.
func (l *connLimiter) closeIdle(now time.Time, timeout time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for element := l.idle.Front(); element != nil; {
		c := element.Value.(*trackedConn)
		if now.Sub(c.since) < timeout {
			return
		}
		element = element.Next()
		if !c.isNew {
			l.timedOut++
			l.expire(c)
		}
	}
}
