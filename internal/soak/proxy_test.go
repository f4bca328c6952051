package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// trouble is what a proxy does to the bytes that pass.
type trouble int

const (
	calm trouble = iota
	delayed
	silent  // both ways, without a reset
	oneWay  // what the server sends is lost
	refused // connections are reset
)

// proxy passes connections on to an address, with the trouble of the moment.
type proxy struct {
	listener net.Listener
	target   string

	mutex sync.Mutex
	now   trouble
	conns map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes the trouble; a reset also hits the connections that are open.
func (p *proxy) set(t trouble) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.now = t
	if t == refused {
		for c := range p.conns {
			reset(c)
		}
	}
}

func reset(c net.Conn) {
	if tcp, isTCP := c.(*net.TCPConn); isTCP {
		_ = tcp.SetLinger(0) // a close then resets
	}
	_ = c.Close()
}

func (p *proxy) trouble() trouble {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.now
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.trouble() == refused {
			reset(c)
			continue
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			reset(c)
			continue
		}
		p.mutex.Lock()
		p.conns[c], p.conns[server] = true, true
		p.mutex.Unlock()
		go p.copy(server, c, false)
		go p.copy(c, server, true)
	}
}

func (p *proxy) copy(to, from net.Conn, answers bool) {
	defer func() {
		_ = to.Close()
		p.mutex.Lock()
		delete(p.conns, from)
		p.mutex.Unlock()
	}()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		switch t := p.trouble(); {
		case t == delayed:
			<-time.After(200 * time.Millisecond)
		case t == silent, t == oneWay && answers:
			_, _ = io.Copy(io.Discard, from) // until it closes
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
