package link

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/azurepond/azurepond/pkg/peer"
)

// Limits of one connection, except for maxTotalBytes.
const (
	maxQueueFrames   = 64
	maxQueueBytes    = peer.MaxMessageBytes + 1<<18 // one message of the maximum size and 256 KiB more
	maxTotalBytes    = 32 << 20                     // in the queues of all connections
	maxQueueTime     = time.Second
	writeTimeout     = 5 * time.Second
	frameReadTimeout = 5 * time.Second
	idleTimeout      = 10 * time.Minute
)

// queuedFrame is a frame in a queue, without its header.
type queuedFrame struct {
	payload  []byte
	queuedAt time.Time
}

// conn is an open connection to a peer whose hello was received.
type conn struct {
	net.Conn
	peer      hello
	queue     chan queuedFrame
	done      chan struct{}
	closeOnce sync.Once

	totalBytes  *atomic.Int64 // bytes queued on all connections of the hub
	mutex       sync.Mutex
	queuedBytes int
	queueClosed bool // accepts no more frames
}

func newConn(c net.Conn, peer hello, totalBytes *atomic.Int64) *conn {
	return &conn{
		Conn: c, peer: peer, totalBytes: totalBytes, queue: make(chan queuedFrame, maxQueueFrames), done: make(chan struct{}),
	}
}

// enqueue queues a payload and reports whether it did. It rejects the payload if the queue is closed, or if this queue
// or the queues of all connections together are full. The limits bound the memory for slow peers.
func (c *conn) enqueue(payload []byte) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.queueClosed || c.queuedBytes+len(payload) > maxQueueBytes ||
		c.totalBytes.Load()+int64(len(payload)) > maxTotalBytes {
		return false
	}
	select {
	case c.queue <- queuedFrame{payload, time.Now()}:
		c.queuedBytes += len(payload)
		c.totalBytes.Add(int64(len(payload)))
		return true
	default:
		return false
	}
}

func (c *conn) releaseBytes(payload []byte) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.queuedBytes -= len(payload)
	c.totalBytes.Add(-int64(len(payload)))
}

// closeQueue drops all queued frames and rejects further ones.
func (c *conn) closeQueue() {
	c.mutex.Lock()
	c.queueClosed = true
	c.mutex.Unlock()
	for {
		select {
		case next := <-c.queue:
			c.releaseBytes(next.payload)
		default:
			return
		}
	}
}

// writeFrames writes the queued frames until the connection fails or is closed. It drops frames older than
// maxQueueTime, because the ages in their messages are no longer accurate.
func (c *conn) writeFrames(counters *counters) error {
	for {
		select {
		case <-c.done:
			return nil
		case next := <-c.queue:
			c.releaseBytes(next.payload)
			if time.Since(next.queuedAt) > maxQueueTime {
				counters.framesDropped.Inc(1)
				continue
			}
			if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
				return trace.Wrap(err)
			}
			if err := writeFrame(c.Conn, next.payload); err != nil {
				return trace.Wrap(err)
			}
			counters.framesSent.Inc(1)
		}
	}
}

// readFrames calls deliver with each message until the connection fails. The capacity of largeReads limits the large
// frames that all connections read at once.
func (c *conn) readFrames(counters *counters, largeReads chan struct{}, deliver func(peer.Event)) error {
	for {
		if err := c.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
			return trace.Wrap(err)
		}
		size, err := readSize(c.Conn, peer.MaxMessageBytes)
		if err != nil {
			counters.countRefused(err)
			return trace.Wrap(err)
		}
		message, err := c.readMessage(size, largeReads)
		if err != nil {
			counters.countRefused(err)
			return trace.Wrap(err)
		}
		counters.framesReceived.Inc(1)
		deliver(peer.NewReceived(c.peer.name, message, frameHeaderBytes+size))
	}
}

// readMessage reads a message of size bytes. It fails if the peer does not send the message within frameReadTimeout.
func (c *conn) readMessage(size int, largeReads chan struct{}) (peer.Message, error) {
	if size > maxSmallFrameBytes {
		largeReads <- struct{}{}
		defer func() { <-largeReads }()
	}
	if err := c.SetReadDeadline(time.Now().Add(frameReadTimeout)); err != nil {
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

func (c *conn) closeConn() {
	c.closeOnce.Do(func() {
		close(c.done)
		_ = c.Close()
	})
}
