package transport

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Limits of connections to upstreams.
const (
	tcpUserTimeout       = 2 * time.Second // the connection fails if data is unacknowledged for longer
	tcpKeepAliveIdle     = time.Second     // a dead path is detected within idle + count * interval
	tcpKeepAliveInterval = 500 * time.Millisecond
	tcpKeepAliveCount    = 2
	defaultIdleTimeout   = 4 * time.Second // a second below the shortest common idle timeout of servers
	idleTimeoutMargin    = time.Second     // a server may close slightly early
	maxIdlePerUpstream   = 32              // about the number of slots of an upstream
	maxHeadBytes         = 64 << 10        // of the head of an answer
)

// DialTimeout limits the time to open a connection of a Pool.
const DialTimeout = 250 * time.Millisecond // 100 round trips; TCP retransmits a lost SYN only after a second

// soTCPUserTimeout is TCP_USER_TIMEOUT, which package syscall does not define.
const soTCPUserTimeout = 0x12

// keepAlive returns the keepalive probes of a connection that detects a dead path, the first of them after idle.
func keepAlive(idle time.Duration) net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: idle, Interval: tcpKeepAliveInterval, Count: tcpKeepAliveCount}
}

// Dialer returns a dialer whose connections detect a dead path within seconds.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: keepAlive(tcpKeepAliveIdle),
		Control:         func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw) },
	}
}

// DetectDeadPath makes a TCP connection detect a dead path: within two seconds if data is on its way, as connections of Dialer do,
// and about a second after idle if not.
func DetectDeadPath(c *net.TCPConn, idle time.Duration) error {
	if err := c.SetKeepAliveConfig(keepAlive(idle)); err != nil {
		return err
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	return setUserTimeout(raw)
}

func setUserTimeout(raw syscall.RawConn) error {
	var socketErr error
	err := raw.Control(func(fd uintptr) {
		socketErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, soTCPUserTimeout, int(tcpUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return socketErr
}

// Pool keeps idle connections to upstreams. The zero value is ready to use.
type Pool struct {
	mutex  sync.Mutex
	idle   map[string][]*Conn
	opened atomic.Int64

	idleCount int
	maxIdle   int // of all upstreams, 0 for no limit
}

// Conn is one connection that runs one exchange at a time.
type Conn struct {
	net.Conn
	reader        *bufio.Reader
	pool          *Pool
	address       string
	idleDeadline  time.Time // after it, the server may close an idle connection
	headBytes     int       // that may still be read of a head, if isReadingHead
	isReadingHead bool
	isReused      bool // it was idle before
	hasAnswered   bool // a response was read from it
	hasLargeHead  bool // reader has a larger buffer than usual
}

// errHeadTooLarge says that the head of an answer exceeds maxHeadBytes.
var errHeadTooLarge = errors.New("head of the answer exceeds the size limit")

// limitHead limits what is read until unlimitHead is called.
func (c *Conn) limitHead() { c.headBytes, c.isReadingHead = maxHeadBytes, true }

func (c *Conn) unlimitHead() { c.isReadingHead = false }

// Read reads from the connection, within the limit of a head.
func (c *Conn) Read(b []byte) (int, error) {
	if !c.isReadingHead {
		n, err := c.Conn.Read(b)
		return n, endOfRead(c.Conn, err)
	}
	if c.headBytes <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := c.Conn.Read(b[:min(len(b), c.headBytes)])
	c.headBytes -= n
	return n, endOfRead(c.Conn, err)
}

// Opened returns the number of connections opened so far.
func (p *Pool) Opened() int64 { return p.opened.Load() }

// Get returns a connection to address (host:port). It reuses an idle one unless forceNew is set.
func (p *Pool) Get(ctx context.Context, address string, forceNew bool) (*Conn, error) {
	for !forceNew {
		c := p.takeIdle(address)
		if c == nil {
			break
		}
		if c.isUsable() {
			c.isReused = true
			return c, nil
		}
		c.discard()
	}
	return p.dial(ctx, address)
}

func (p *Pool) dial(ctx context.Context, address string) (*Conn, error) {
	opened, err := Dialer(DialTimeout).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p.opened.Add(1)
	c := &Conn{Conn: opened, pool: p, address: address}
	c.reader = bufio.NewReader(c)
	return c, nil
}

// Check opens a connection to address (host:port) and keeps it for later requests.
func (p *Pool) Check(ctx context.Context, address string) error {
	c, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	c.idleDeadline = time.Now().Add(defaultIdleTimeout)
	p.putIdle(c)
	return nil
}

// SetMaxIdle limits the idle connections to all upstreams together, 0 for no limit.
func (p *Pool) SetMaxIdle(count int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.maxIdle = count
}

// takeIdle removes and returns the most recently used idle connection to address, or returns nil.
func (p *Pool) takeIdle(address string) *Conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	conns := p.idle[address]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	p.idle[address] = conns[:len(conns)-1]
	p.idleCount--
	return c
}

// putIdle keeps a connection for reuse.
func (p *Pool) putIdle(c *Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*Conn{}
	}
	if len(p.idle[c.address]) >= maxIdlePerUpstream || p.maxIdle > 0 && p.idleCount >= p.maxIdle {
		c.discard()
		return
	}
	p.idleCount++
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Sweep closes the connections whose idle timeout has expired.
func (p *Pool) Sweep(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for address, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now.Before(c.idleDeadline) {
				kept = append(kept, c)
				continue
			}
			c.discard()
			p.idleCount--
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}

// isUsable reports whether an idle connection can be reused. Its deadline must not have passed, and the server must
// neither have closed it nor sent anything.
func (c *Conn) isUsable() bool {
	if !time.Now().Before(c.idleDeadline) || c.reader.Buffered() > 0 {
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
	usable := false
	err = raw.Control(func(fd uintptr) {
		var buffer [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		usable = peekErr == syscall.EAGAIN || peekErr == syscall.EWOULDBLOCK
	})
	return err == nil && usable
}

// discard closes a connection that is not reused. An error of Close is irrelevant for it.
func (c *Conn) discard() { _ = c.Close() }
