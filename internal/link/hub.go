package link

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/azurepond/azurepond/internal/transport"
	"github.com/azurepond/azurepond/pkg/peer"
)

// Limits of new connections and large frames.
const (
	dialTimeout     = 3 * time.Second
	helloTimeout    = 5 * time.Second
	maxInboundConns = 1024
	maxLargeReads   = 8
)

// Hub manages the connections of one daemon to its peers.
type Hub struct {
	self         hello
	certificates *certificateLoader
	deliver      func(peer.Event)
	counters     *counters
	largeReads   chan struct{} // a semaphore for reads of large frames
	totalBytes   atomic.Int64  // bytes in the queues of all connections
	group        errgroup.Group

	mutex        sync.Mutex
	closed       bool
	conns        map[string][]*conn // by peer name, the newest last
	dialing      map[string]bool    // by address
	inboundConns int
	maxInbound   int // 0 for maxInboundConns
}

// New returns the hub of the daemon name, which listens for peers on address. The hub calls deliver with
// peer.LinkOpened, LinkClosed and Received events.
func New(name, address string, files TLSFiles, registry metrics.Registry, deliver func(peer.Event)) (*Hub, error) {
	h := &Hub{
		self:       hello{name, address},
		deliver:    deliver,
		counters:   newCounters(registry),
		largeReads: make(chan struct{}, maxLargeReads),
		conns:      map[string][]*conn{},
		dialing:    map[string]bool{},
	}
	if files.IsZero() {
		return h, nil
	}
	h.certificates = &certificateLoader{files: files}
	_, err := h.certificates.load()
	return h, trace.Wrap(err)
}

// SetMaxInbound limits the inbound connections, 0 for the usual limit.
func (h *Hub) SetMaxInbound(count int) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.maxInbound = min(count, maxInboundConns)
}

// Run accepts connections from listener until ctx ends, and then closes all connections. It returns an error if the listener fails for
// good before that.
func (h *Hub) Run(ctx context.Context, listener net.Listener) error {
	listener = transport.Retry(listener, h.reportAcceptError)
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	var acceptErr error
	for {
		c, err := listener.Accept()
		if err != nil {
			acceptErr = err
			break
		}
		h.accept(c)
	}
	h.close()
	err := h.group.Wait()
	if ctx.Err() == nil && !errors.Is(acceptErr, net.ErrClosed) {
		return trace.Wrap(acceptErr, "accept peers")
	}
	return trace.Wrap(err)
}

func (h *Hub) reportAcceptError(err error) {
	h.counters.acceptFailures.Inc(1)
	klog.InfoS("link: Cannot accept connections, trying again.", "err", err.Error())
}

// accept serves an inbound connection, or closes it if there are too many.
func (h *Hub) accept(c net.Conn) {
	if !h.admitInbound() {
		h.counters.framesDropped.Inc(1)
		_ = c.Close()
		return
	}
	h.detectDeadPath(c)
	h.group.Go(func() error {
		defer h.releaseInbound()
		if err := h.handshakeAndServe(c, tls.Server); err != nil {
			h.counters.refusedForeign.Inc(1)
			klog.V(1).InfoS("link: Rejected an inbound connection.", "from", c.RemoteAddr().String(), "err", err.Error())
		}
		return nil
	})
}

// The time after which an idle link sends a keepalive probe. It grows with the number of links, since the probes of hundreds would take
// more of a daemon's network than its messages.
const (
	minKeepAliveIdle     = time.Second
	maxKeepAliveIdle     = 30 * time.Second
	keepAliveIdlePerLink = 200 * time.Millisecond
)

func keepAliveIdle(links int) time.Duration {
	return min(max(time.Duration(links)*keepAliveIdlePerLink, minKeepAliveIdle), maxKeepAliveIdle)
}

// detectDeadPath sets the timeouts by which a link notices that its path is dead.
func (h *Hub) detectDeadPath(c net.Conn) {
	tcp, isTCP := c.(*net.TCPConn)
	if !isTCP {
		return
	}
	h.mutex.Lock()
	idle := keepAliveIdle(len(h.conns))
	h.mutex.Unlock()
	if err := transport.DetectDeadPath(tcp, idle); err != nil {
		klog.InfoS("link: Cannot set the timeouts of a connection.", "remote", c.RemoteAddr().String(), "err", err.Error())
	}
}

func (h *Hub) admitInbound() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.closed || h.inboundConns >= cmp.Or(h.maxInbound, maxInboundConns) {
		return false
	}
	h.inboundConns++
	return true
}

func (h *Hub) releaseInbound() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.inboundConns--
}

// Send queues a message to the peer name. If the peer is not connected, Send connects to address first. The message is
// dropped if it is too large, the queue is full or the peer cannot be reached.
func (h *Hub) Send(name, address string, message peer.Message) {
	payload, err := peer.Encode(message)
	if err != nil {
		klog.ErrorS(err, "link: Dropped a message that cannot be encoded.", "peer", name)
		return
	}
	if c := h.newestConn(name); c != nil {
		if !c.enqueue(payload) {
			h.counters.framesDropped.Inc(1)
		}
		return
	}
	h.dial(name, address, payload)
}

func (h *Hub) newestConn(name string) *conn {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	conns := h.conns[name]
	if len(conns) == 0 {
		return nil
	}
	return conns[len(conns)-1]
}

// dial connects to address and sends payload. The payload is dropped if address is empty, if a connection to it is
// already being opened, or if the hub is closed.
func (h *Hub) dial(name, address string, payload []byte) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.closed || address == "" || h.dialing[address] {
		return
	}
	h.dialing[address] = true
	h.group.Go(func() error {
		h.dialAndServe(name, address, payload)
		return nil
	})
}

// dialAndServe connects to a peer and serves the connection. It reports a failure to connect as peer.LinkClosed.
func (h *Hub) dialAndServe(name, address string, payload []byte) {
	c, err := transport.Dialer(dialTimeout).Dial("tcp", address)
	h.mutex.Lock()
	delete(h.dialing, address)
	h.mutex.Unlock()
	if err == nil {
		h.detectDeadPath(c)
		err = h.handshakeAndServe(c, tls.Client, payload)
	}
	if err != nil {
		klog.V(1).InfoS("link: Dropped a message, as connecting to the peer failed.",
			"peer", name, "address", address, "err", err.Error())
		h.deliver(peer.NewLinkClosed(name, address))
	}
}

// Reset closes all connections. Their queued frames are dropped.
func (h *Hub) Reset() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, conns := range h.conns {
		for _, c := range conns {
			c.closeConn()
		}
	}
}

func (h *Hub) close() {
	h.mutex.Lock()
	h.closed = true
	h.mutex.Unlock()
	h.Reset()
}
