package link

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/azurepond/azurepond/pkg/peer"
)

// The bounds of one connection.
const (
	queueFrames  = 64
	queueBytes   = peer.MaxMessageBytes + 1<<18
	totalBytes   = 32 << 20 // of the queues of all connections
	queueTime    = time.Second
	writeTimeout = 5 * time.Second
	frameTimeout = 5 * time.Second
	idleTimeout  = 10 * time.Minute
)

// waiting is one frame in a queue and the time at which it was put there.
type waiting struct {
	frame []byte
	since time.Time
}

// conn is one open connection to a peer that has said who it is.
type conn struct {
	net.Conn
	peer  hello
	queue chan waiting
	done  chan struct{}
	once  sync.Once

	total  *atomic.Int64 // bytes queued on all connections of the hub
	mutex  sync.Mutex
	queued int
	ended  bool // takes no more frames
}

func newConn(c net.Conn, peer hello, total *atomic.Int64) *conn {
	return &conn{Conn: c, peer: peer, total: total, queue: make(chan waiting, queueFrames), done: make(chan struct{})}
}

// offer queues a frame and reports whether there was room; a slow peer thus holds a bounded amount of memory.
func (c *conn) offer(frame []byte) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.ended || c.queued+len(frame) > queueBytes || c.total.Load()+int64(len(frame)) > totalBytes {
		return false
	}
	select {
	case c.queue <- waiting{frame, time.Now()}:
		c.queued += len(frame)
		c.total.Add(int64(len(frame)))
		return true
	default:
		return false
	}
}

func (c *conn) taken(frame []byte) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.queued -= len(frame)
	c.total.Add(-int64(len(frame)))
}

// drain drops what is queued and takes no more.
func (c *conn) drain() {
	c.mutex.Lock()
	c.ended = true
	c.mutex.Unlock()
	for {
		select {
		case next := <-c.queue:
			c.taken(next.frame)
		default:
			return
		}
	}
}

// write sends what is queued until the connection breaks or is closed; a frame that waited for too long is dropped,
// since the ages in it are no longer true.
func (c *conn) write(counters *counters) error {
	for {
		select {
		case <-c.done:
			return nil
		case next := <-c.queue:
			c.taken(next.frame)
			if time.Since(next.since) > queueTime {
				counters.framesDropped.Inc(1)
				continue
			}
			if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
				return trace.Wrap(err)
			}
			if err := writeFrame(c.Conn, next.frame); err != nil {
				return trace.Wrap(err)
			}
			counters.framesSent.Inc(1)
		}
	}
}

// read passes each message on until the connection breaks; a place in large is held while a large frame is read.
func (c *conn) read(counters *counters, large chan struct{}, deliver func(peer.Event)) error {
	for {
		if err := c.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
			return trace.Wrap(err)
		}
		size, err := readSize(c.Conn, peer.MaxMessageBytes)
		if err != nil {
			counters.refused(err)
			return trace.Wrap(err)
		}
		message, err := c.readMessage(size, large)
		if err != nil {
			counters.refused(err)
			return trace.Wrap(err)
		}
		counters.framesReceived.Inc(1)
		deliver(peer.NewReceived(c.peer.name, message, headerBytes+size))
	}
}

// readMessage reads a message of that size; a peer that sends it too slowly loses the connection.
func (c *conn) readMessage(size int, large chan struct{}) (peer.Message, error) {
	if size > largeFrame {
		large <- struct{}{}
		defer func() { <-large }()
	}
	if err := c.SetReadDeadline(time.Now().Add(frameTimeout)); err != nil {
		return peer.Message{}, trace.Wrap(err)
	}
	payload, err := readPayload(c.Conn, size)
	if err != nil {
		return peer.Message{}, trace.Wrap(err)
	}
	message, err := peer.Decode(payload)
	if err != nil {
		return peer.Message{}, trace.BadParameter("malformed message: %v", err)
	}
	return message, nil
}

func (c *conn) shut() {
	c.once.Do(func() {
		close(c.done)
		_ = c.Close()
	})
}
