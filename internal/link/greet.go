package link

import (
	"crypto/tls"
	"net"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/azurepond/azurepond/pkg/peer"
)

// secure wraps a connection in TLS, as tls.Client or tls.Server do.
type secure func(net.Conn, *tls.Config) *tls.Conn

// greet exchanges hellos over a new connection and then carries it until it breaks; an error means that it never
// became a link. The frames are sent first.
func (h *Hub) greet(c net.Conn, side secure, frames ...[]byte) error {
	link, err := h.introduce(c, side)
	if err != nil {
		_ = c.Close()
		return trace.Wrap(err)
	}
	for _, frame := range frames {
		link.offer(frame)
	}
	h.carry(link)
	return nil
}

// introduce tells the other side who this is and learns who it is.
func (h *Hub) introduce(c net.Conn, side secure) (*conn, error) {
	if err := c.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return nil, trace.Wrap(err)
	}
	c = countedConn{c, h.counters}
	certified := func(string) error { return nil }
	if h.keys != nil {
		config, err := h.keys.config()
		if err != nil {
			return nil, trace.Wrap(err)
		}
		secured := side(c, config)
		if err := secured.Handshake(); err != nil {
			return nil, trace.Wrap(err)
		}
		certified = secured.ConnectionState().PeerCertificates[0].VerifyHostname
		c = secured
	}
	other, err := h.exchange(c)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := certified(other.name); err != nil {
		return nil, trace.AccessDenied("the certificate is not that of %q: %v", other.name, err)
	}
	return newConn(c, other, &h.queued), trace.Wrap(c.SetDeadline(time.Time{}))
}

func (h *Hub) exchange(c net.Conn) (hello, error) {
	mine, err := h.self.encode()
	if err != nil {
		return hello{}, trace.Wrap(err)
	}
	if err := writeFrame(c, mine); err != nil {
		return hello{}, trace.Wrap(err)
	}
	data, err := readFrame(c, maxHello)
	if err != nil {
		h.counters.refused(err)
		return hello{}, trace.Wrap(err)
	}
	other, err := decodeHello(data)
	if err != nil {
		h.counters.refused(err)
		return hello{}, trace.Wrap(err)
	}
	if other.name == h.self.name {
		return hello{}, trace.BadParameter("a peer has this daemon's own name %q", other.name)
	}
	return other, nil
}

// carry reads and writes a link until it breaks.
func (h *Hub) carry(c *conn) {
	if !h.add(c) {
		c.shut()
		return
	}
	h.deliver(peer.NewLinkOpened(c.peer.name, c.peer.address))
	h.group.Go(func() error {
		_ = c.write(h.counters)
		c.shut()
		return nil
	})
	_ = c.read(h.counters, h.large, h.deliver)
	c.shut()
	last := h.remove(c)
	c.drain()
	if last {
		h.deliver(peer.NewLinkClosed(c.peer.name, c.peer.address))
	}
}

func (h *Hub) add(c *conn) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.ended {
		return false
	}
	h.conns[c.peer.name] = append(h.conns[c.peer.name], c)
	h.counters.open.Update(int64(len(h.conns)))
	return true
}

// remove forgets a connection and reports whether it was the last one to its peer.
func (h *Hub) remove(c *conn) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	left := slices.DeleteFunc(h.conns[c.peer.name], func(other *conn) bool { return other == c })
	h.conns[c.peer.name] = left
	if len(left) == 0 {
		delete(h.conns, c.peer.name)
	}
	h.counters.open.Update(int64(len(h.conns)))
	return len(left) == 0
}
