package transport

import (
	"crypto/tls"
	"net"
	"sync"
)

// countedConn counts the bytes that were written to the network.
type countedConn struct {
	net.Conn

	mutex        sync.Mutex
	bytesWritten int64
	closed       bool
}

// Read reads from the network.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	return n, endOfRead(c.Conn, err)
}

// Write writes p to the network unless the connection is closed.
func (c *countedConn) Write(p []byte) (int, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(p)
	c.bytesWritten += int64(n)
	return n, err
}

func (c *countedConn) writtenBytes() int64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.bytesWritten
}

// closeAndCount closes the connection and returns the final count.
func (c *countedConn) closeAndCount() int64 {
	_ = c.Close()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closed = true
	return c.bytesWritten
}

// findCountedConn returns the counted connection below conn, or nil.
func findCountedConn(conn net.Conn) *countedConn {
	if tlsConn, isTLS := conn.(*tls.Conn); isTLS {
		conn = tlsConn.NetConn()
	}
	found, _ := conn.(*countedConn)
	return found
}
