package transport

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The times of connections to upstreams.
const (
	poolDialTimeout = 250 * time.Millisecond // a hundred round trips; a lost opening packet is only sent again after a second
	userTimeout     = 2 * time.Second        // bytes that nobody acknowledges for so long are lost
	probeIdle       = time.Second            // a dead path shows within probeIdle + probeCount * probeInterval
	probeInterval   = 500 * time.Millisecond
	probeCount      = 2
	idleDefault     = 4 * time.Second // a second below the shortest idle timeout that servers commonly have
	idleMargin      = time.Second     // a server may begin to close a little early
	idleMost        = 32              // kept connections to one upstream; its slots are about as many
)

// soTCPUserTimeout is the number of TCP_USER_TIMEOUT, which package syscall does not name.
const soTCPUserTimeout = 0x12

// Dialer returns a dialer whose connections notice a silent path within seconds.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, soTCPUserTimeout, int(userTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
}

// Pool keeps idle connections to upstreams; the zero value is ready.
type Pool struct {
	mutex  sync.Mutex
	idle   map[string][]*Conn
	opened atomic.Int64
}

// Conn is one connection that runs one exchange at a time.
type Conn struct {
	net.Conn
	reader  *bufio.Reader
	pool    *Pool
	address string
	until   time.Time // when the server may close it
}

// Opened returns how many connections were opened so far.
func (p *Pool) Opened() int64 { return p.opened.Load() }

// Get returns a connection to address (host:port), a kept one unless fresh is wanted.
func (p *Pool) Get(ctx context.Context, address string, fresh bool) (*Conn, error) {
	for !fresh {
		c := p.take(address)
		if c == nil {
			break
		}
		if c.quiet() {
			return c, nil
		}
		c.drop()
	}
	opened, err := Dialer(poolDialTimeout).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p.opened.Add(1)
	return &Conn{Conn: opened, reader: bufio.NewReader(opened), pool: p, address: address}, nil
}

// take returns the idle connection to address that was used last.
func (p *Pool) take(address string) *Conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	conns := p.idle[address]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	p.idle[address] = conns[:len(conns)-1]
	return c
}

// put keeps a connection for later.
func (p *Pool) put(c *Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*Conn{}
	}
	if len(p.idle[c.address]) >= idleMost {
		c.drop()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Sweep closes the connections that were idle for too long.
func (p *Pool) Sweep(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for address, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now.Before(c.until) {
				kept = append(kept, c)
				continue
			}
			c.drop()
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}

// quiet reports whether an idle connection is still usable: the server neither closed it nor sent anything.
func (c *Conn) quiet() bool {
	if !time.Now().Before(c.until) || c.reader.Buffered() > 0 {
		return false
	}
	tcp, isTCP := c.Conn.(*net.TCPConn)
	if !isTCP {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	isQuiet := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, peeked := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		isQuiet = peeked == syscall.EAGAIN || peeked == syscall.EWOULDBLOCK
	})
	return err == nil && isQuiet
}

// drop closes a connection; what an error of Close would say is of no use for a connection that is given up.
func (c *Conn) drop() { _ = c.Close() }
