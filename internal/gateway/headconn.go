package gateway

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"

	"github.com/azurepond/azurepond/internal/memory"
)

// The memory of a head in bytes, as net/http holds it: each line is an entry of a map with a name and a list of values.
const (
	headByteMemory = 2
	headLineMemory = 128
	freeHeadMemory = 8 << 10 // that is not taken from the pool, so that usual heads are read in any case
)

var errHeadMemory = errors.New("no memory is left for the head")

// headListener accepts connections whose heads take memory from a pool.
type headListener struct {
	net.Listener
	pool *memory.Pool
}

// Accept returns the next connection.
func (l headListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	tcp, isTCP := c.(*net.TCPConn)
	if err != nil || !isTCP {
		return c, err
	}
	return &headConn{TCPConn: tcp, held: memory.NewHolding(l.pool), isInHead: true}, nil
}

// headConn is a connection of an HTTP server that takes the memory for a head before the server parses it. Without memory it answers
// that the request did not run, and ends.
type headConn struct {
	*net.TCPConn

	mutex          sync.Mutex
	isInHead       bool
	hasLine        bool  // the head has a line that is not empty; servers skip empty ones before it
	hasLineContent bool  // the present line is not empty
	needed         int64 // for the present head
	held           memory.Holding
	rest           []byte // what was read behind the end of the head
	afterHead      int64  // bytes that the server has read behind it
	last           []byte // of these
}

// lastChunk ends a body in chunks without a trailer.
const lastChunk = "0\r\n\r\n"

// Read reads from the connection. It returns nothing behind the end of a head together with the head, so that the server buffers no part of
// a later head that was not taken into account.
func (c *headConn) Read(p []byte) (int, error) {
	c.mutex.Lock()
	if len(c.rest) > 0 {
		defer c.mutex.Unlock()
		n := copy(p, c.rest)
		if c.rest = c.rest[n:]; len(c.rest) == 0 {
			c.rest = nil
		}
		return c.deliver(p[:n])
	}
	c.mutex.Unlock()
	n, err := c.TCPConn.Read(p)
	if n == 0 || err != nil {
		return n, err
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.deliver(p[:n])
}

// deliver returns how many of the bytes the server may have.
func (c *headConn) deliver(data []byte) (int, error) {
	if !c.isInHead {
		c.afterHead += int64(len(data))
		c.last = append(c.last, data[max(len(data)-len(lastChunk), 0):]...)
		c.last = c.last[max(len(c.last)-len(lastChunk), 0):]
		return len(data), nil
	}
	end := c.scan(data)
	if !c.take() {
		return 0, c.refuse()
	}
	if end < len(data) {
		c.rest = append(bytes.Clone(data[end:]), c.rest...)
	}
	return end, nil
}

// scan reads the lines of a head, and returns how many bytes belong to it.
func (c *headConn) scan(data []byte) int {
	read := 0
	for read < len(data) {
		line := data[read:]
		end := bytes.IndexByte(line, '\n')
		if end < 0 {
			c.hasLineContent = c.hasLineContent || string(line) != "\r"
			c.needed += headByteMemory * int64(len(line))
			return len(data)
		}
		read += end + 1
		c.needed += headLineMemory + headByteMemory*int64(end+1)
		isEmpty := !c.hasLineContent && (end == 0 || string(line[:end]) == "\r")
		if isEmpty && c.hasLine {
			c.isInHead = false
			return read
		}
		c.hasLine, c.hasLineContent = c.hasLine || !isEmpty, false
	}
	return read
}

// take takes the memory that the head needs so far, and reports whether it was free.
func (c *headConn) take() bool {
	more := c.needed - freeHeadMemory - c.held.Bytes()
	return more <= 0 || c.held.Grow(more)
}

// refuse answers that the request did not run. The error makes the server close the connection without an answer of its own.
func (c *headConn) refuse() error {
	c.free()
	seconds := strconv.FormatFloat(resourceRetryAfter.Seconds(), 'f', 2, 64)
	_, _ = c.TCPConn.Write([]byte("HTTP/1.1 503 Service Unavailable\r\nRetry-After: " + seconds +
		"\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")) // the caller may be gone
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: errHeadMemory}
}

// free gives the memory of the head back.
func (c *headConn) free() {
	c.held.Free()
	c.needed = 0
}

// observe handles that the state of the connection at the server has changed.
func (c *headConn) observe(state http.ConnState) {
	if state != http.StateIdle && state != http.StateClosed {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.free()
	c.isInHead, c.hasLine, c.hasLineContent, c.afterHead, c.last = true, false, false, 0, c.last[:0]
}

// hasMoreThan reports whether the server may have read a part of the next request with a body of a length, or in chunks if that is negative.
// One byte more is read while a request is served.
func (c *headConn) hasMoreThan(length int64) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if length < 0 {
		return string(c.last) != lastChunk
	}
	return c.afterHead > length+1
}
