package link

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/azurepond/azurepond/pkg/peer"
)

// The bounds of opening a connection.
const (
	dialTimeout  = 3 * time.Second
	helloTimeout = 5 * time.Second
	maxConns     = 1024
	maxLarge     = 8
)

// Hub holds the connections of one daemon to its peers.
type Hub struct {
	self     hello
	keys     *keys
	deliver  func(peer.Event)
	counters *counters
	large    chan struct{} // one entry for each large frame that is being read
	queued   atomic.Int64  // bytes in the queues of all connections
	group    errgroup.Group

	mutex   sync.Mutex
	ended   bool
	conns   map[string][]*conn // by name of the peer, the newest last
	dialing map[string]bool    // by address
	pending int
}

// New returns the links of the daemon called name that listens for peers on address; deliver gets peer.Dialled, Closed
// and Received events.
func New(name, address string, files TLSFiles, registry metrics.Registry, deliver func(peer.Event)) (*Hub, error) {
	h := &Hub{
		self:     hello{name, address},
		deliver:  deliver,
		counters: newCounters(registry),
		large:    make(chan struct{}, maxLarge),
		conns:    map[string][]*conn{},
		dialing:  map[string]bool{},
	}
	if files.IsZero() {
		return h, nil
	}
	h.keys = &keys{files: files}
	_, err := h.keys.load()
	return h, trace.Wrap(err)
}

// Run accepts connections from listener until ctx ends, and then closes all.
func (h *Hub) Run(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		c, err := listener.Accept()
		if err != nil {
			break
		}
		h.accept(c)
	}
	h.end()
	return trace.Wrap(h.group.Wait())
}

// accept serves a connection that a peer opened, unless too many are open.
func (h *Hub) accept(c net.Conn) {
	if !h.admit() {
		h.counters.framesDropped.Inc(1)
		_ = c.Close()
		return
	}
	h.group.Go(func() error {
		defer h.release()
		if err := h.greet(c, tls.Server); err != nil {
			h.counters.strangers.Inc(1)
			klog.V(1).InfoS("link: Refused a connection.", "from", c.RemoteAddr().String(), "err", err.Error())
		}
		return nil
	})
}

func (h *Hub) admit() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.ended || h.pending >= maxConns {
		return false
	}
	h.pending++
	return true
}

func (h *Hub) release() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.pending--
}

// Send queues a message to the peer called name, or to the one at address when it is not connected yet.
func (h *Hub) Send(name, address string, message peer.Message) {
	frame, err := peer.Encode(message)
	if err != nil {
		klog.ErrorS(err, "link: Dropped a message that is too large.", "peer", name)
		return
	}
	if c := h.newest(name); c != nil {
		if !c.offer(frame) {
			h.counters.framesDropped.Inc(1)
		}
		return
	}
	h.dial(name, address, frame)
}

func (h *Hub) newest(name string) *conn {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	conns := h.conns[name]
	if len(conns) == 0 {
		return nil
	}
	return conns[len(conns)-1]
}

// dial opens a connection to address, unless one is being opened, and sends frame over it.
func (h *Hub) dial(name, address string, frame []byte) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.ended || address == "" || h.dialing[address] {
		return
	}
	h.dialing[address] = true
	h.group.Go(func() error {
		h.open(name, address, frame)
		return nil
	})
}

func (h *Hub) open(name, address string, frame []byte) {
	c, err := net.DialTimeout("tcp", address, dialTimeout)
	h.mutex.Lock()
	delete(h.dialing, address)
	h.mutex.Unlock()
	if err == nil {
		err = h.greet(c, tls.Client, frame)
	}
	if err != nil {
		klog.V(1).InfoS("link: No connection.", "peer", name, "address", address, "err", err.Error())
		h.deliver(peer.NewLinkClosed(name, address))
	}
}

// Reset closes all connections and drops all that they hold.
func (h *Hub) Reset() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, conns := range h.conns {
		for _, c := range conns {
			c.shut()
		}
	}
}

func (h *Hub) end() {
	h.mutex.Lock()
	h.ended = true
	h.mutex.Unlock()
	h.Reset()
}
