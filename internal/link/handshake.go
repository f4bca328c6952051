package link

import (
	"crypto/tls"
	"net"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/azurepond/azurepond/pkg/peer"
)

// wrapTLS wraps a connection in TLS, as tls.Client or tls.Server do.
type wrapTLS func(net.Conn, *tls.Config) *tls.Conn

// handshakeAndServe performs the handshake on a new connection, queues the payloads and serves the connection until it
// fails. An error means that the handshake failed.
func (h *Hub) handshakeAndServe(c net.Conn, wrap wrapTLS, payloads ...[]byte) error {
	link, err := h.handshake(c, wrap)
	if err != nil {
		_ = c.Close()
		return trace.Wrap(err)
	}
	for _, payload := range payloads {
		link.enqueue(payload)
	}
	h.serve(link)
	return nil
}

// handshake performs the TLS handshake, exchanges hellos and checks the peer's name against its certificate.
func (h *Hub) handshake(c net.Conn, wrap wrapTLS) (*conn, error) {
	if err := c.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return nil, trace.Wrap(err)
	}
	c = countedConn{c, h.counters}
	verifyName := func(string) error { return nil }
	if h.certificates != nil {
		config, err := h.certificates.tlsConfig()
		if err != nil {
			return nil, trace.Wrap(err)
		}
		tlsConn := wrap(c, config)
		if err := tlsConn.Handshake(); err != nil {
			return nil, trace.Wrap(err)
		}
		verifyName = tlsConn.ConnectionState().PeerCertificates[0].VerifyHostname
		c = tlsConn
	}
	remote, err := h.exchangeHellos(c)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := verifyName(remote.name); err != nil {
		return nil, trace.AccessDenied("the certificate is not valid for %q: %v", remote.name, err)
	}
	return newConn(c, remote, &h.totalBytes), trace.Wrap(c.SetDeadline(time.Time{}))
}

func (h *Hub) exchangeHellos(c net.Conn) (hello, error) {
	own, err := h.self.encode()
	if err != nil {
		return hello{}, trace.Wrap(err)
	}
	if err := writeFrame(c, own); err != nil {
		return hello{}, trace.Wrap(err)
	}
	data, err := readFrame(c, maxHelloBytes)
	if err != nil {
		h.counters.countRefused(err)
		return hello{}, trace.Wrap(err)
	}
	remote, err := decodeHello(data)
	if err != nil {
		h.counters.countRefused(err)
		return hello{}, trace.Wrap(err)
	}
	if remote.name == h.self.name {
		return hello{}, trace.BadParameter("a peer has this daemon's own name %q", remote.name)
	}
	return remote, nil
}

// serve reads and writes frames on a connection until it fails.
func (h *Hub) serve(c *conn) {
	if !h.addConn(c) {
		c.closeConn()
		return
	}
	h.deliver(peer.NewLinkOpened(c.peer.name, c.peer.address))
	h.group.Go(func() error {
		_ = c.writeFrames(h.counters)
		c.closeConn()
		return nil
	})
	_ = c.readFrames(h.counters, h.largeReads, h.deliver)
	c.closeConn()
	wasLast := h.removeConn(c)
	c.closeQueue()
	if wasLast {
		h.deliver(peer.NewLinkClosed(c.peer.name, c.peer.address))
	}
}

func (h *Hub) addConn(c *conn) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.closed {
		return false
	}
	h.conns[c.peer.name] = append(h.conns[c.peer.name], c)
	h.counters.openLinks.Update(int64(len(h.conns)))
	return true
}

// removeConn removes a connection and reports whether it was the last one to its peer.
func (h *Hub) removeConn(c *conn) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	remaining := slices.DeleteFunc(h.conns[c.peer.name], func(other *conn) bool { return other == c })
	h.conns[c.peer.name] = remaining
	if len(remaining) == 0 {
		delete(h.conns, c.peer.name)
	}
	h.counters.openLinks.Update(int64(len(h.conns)))
	return len(remaining) == 0
}
