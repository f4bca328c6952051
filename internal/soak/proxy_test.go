package soak

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// networkFault is a fault that a proxy injects into its connections.
type networkFault int

const (
	noFault          networkFault = iota
	delayed                       // each piece of data is forwarded after 200 ms
	blackholed                    // data is dropped in both directions, without a reset
	responsesDropped              // data from the server is dropped
	connectionsReset
)

// proxy forwards TCP connections to target and injects the current fault.
type proxy struct {
	listenAddress string
	target        string

	mutex     sync.Mutex
	listener  net.Listener
	isOpen    bool
	holder    int // socket that keeps the port while connections are refused, 0 for none
	fault     networkFault
	openConns map[net.Conn]bool // whether the connection is silent
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, isOpen: true, listenAddress: l.Addr().String(), target: target, openConns: map[net.Conn]bool{}}
	go p.accept(l)
	return p, nil
}

func (p *proxy) address() string { return p.listenAddress }

// refuse makes new connections be refused. Open ones stay, or are reset.
func (p *proxy) refuse(resetOpen bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.isOpen {
		p.isOpen = false
		_ = p.listener.Close() // connections are refused from now on, whatever it returns
		p.hold()
	}
	for c := range p.openConns {
		if resetOpen {
			reset(c)
		}
	}
}

// hold binds the port without listening, since an outgoing connection could take it otherwise before reopen. If that fails, the port was
// taken already, which reopen reports.
func (p *proxy) hold() {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return
	}
	address := syscall.SockaddrInet4{Port: p.listener.Addr().(*net.TCPAddr).Port, Addr: [4]byte{127, 0, 0, 1}}
	_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if syscall.Bind(fd, &address) != nil {
		_ = syscall.Close(fd)
		return
	}
	p.holder = fd
}

// release gives the port up that hold keeps.
func (p *proxy) release() {
	if p.holder > 0 {
		_ = syscall.Close(p.holder)
		p.holder = 0
	}
}

// reopen makes new connections be accepted again.
func (p *proxy) reopen() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.isOpen {
		return nil
	}
	p.release()
	l, err := net.Listen("tcp", p.listenAddress)
	if err != nil {
		return err
	}
	p.listener, p.isOpen = l, true
	go p.accept(l)
	return nil
}

// setFault sets the fault; connectionsReset also resets the open connections.
func (p *proxy) setFault(fault networkFault) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.fault = fault
	if fault == connectionsReset {
		for c := range p.openConns {
			reset(c)
		}
	}
}

// silenceOpen makes the open connections silent, without a reset. New ones work.
func (p *proxy) silenceOpen() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for c := range p.openConns {
		p.openConns[c] = true
	}
}

func (p *proxy) isSilent(c net.Conn) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.openConns[c]
}

func reset(c net.Conn) {
	if tcp, isTCP := c.(*net.TCPConn); isTCP {
		_ = tcp.SetLinger(0) // makes Close reset the connection
	}
	_ = c.Close()
}

func (p *proxy) currentFault() networkFault {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.fault
}

func (p *proxy) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if p.currentFault() == connectionsReset {
			reset(c)
			continue
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			reset(c)
			continue
		}
		p.mutex.Lock()
		p.openConns[c], p.openConns[server] = false, false
		p.mutex.Unlock()
		go p.copy(server, c, false)
		go p.copy(c, server, true)
	}
}

func (p *proxy) copy(to, from net.Conn, isResponse bool) {
	defer func() {
		_ = to.Close()
		p.mutex.Lock()
		delete(p.openConns, from)
		p.mutex.Unlock()
	}()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		switch fault := p.currentFault(); {
		case fault == delayed:
			<-time.After(200 * time.Millisecond)
		case p.isSilent(from), fault == blackholed, fault == responsesDropped && isResponse:
			_, _ = io.Copy(io.Discard, from) // until the connection is closed
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
