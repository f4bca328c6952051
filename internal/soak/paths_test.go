package soak

import (
	"bytes"
	"net"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
)

// paths are the paths of one daemon to the upstreams: a proxy for each of them, whose address the daemon reads in the list.
type paths struct {
	store http.Handler

	mutex    sync.Mutex
	proxies  map[string]*proxy // by the address of the upstream
	dead     map[string]bool   // addresses of upstreams that were killed
	isClosed bool
}

var addressField = regexp.MustCompile(`"address":"([^"]*)"`)

// ServeHTTP answers calls to the store, with the proxies in place of the upstreams.
func (p *paths) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	recorder := httptest.NewRecorder()
	p.store.ServeHTTP(recorder, r)
	body := recorder.Body.Bytes()
	if strings.Contains(r.URL.Path, "servers") {
		body = addressField.ReplaceAllFunc(body, func(field []byte) []byte {
			return []byte(`"address":"` + p.proxyTo(string(addressField.FindSubmatch(field)[1])) + `"`)
		})
	}
	for name, values := range recorder.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(recorder.Code)
	_, _ = bytes.NewReader(body).WriteTo(w) // the daemon notices an incomplete answer
}

// proxyTo returns the address of the proxy to an upstream.
func (p *paths) proxyTo(upstream string) string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known := p.proxies[upstream]
	if known == nil {
		created, err := newProxy(upstream)
		if err != nil {
			return upstream
		}
		known = created
		p.proxies[upstream] = known
		if p.isClosed || p.dead[upstream] {
			known.refuse(true)
		}
	}
	return known.address()
}

// has reports whether the daemon has a path with this address.
func (p *paths) has(address string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, proxy := range p.proxies {
		if proxy.address() == address {
			return true
		}
	}
	return false
}

// cut makes all paths refuse new connections; open ones are reset, or deliver on.
func (p *paths) cut(resetOpen bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.isClosed = true
	for _, proxy := range p.proxies {
		proxy.refuse(resetOpen)
	}
}

// hang makes nothing be delivered over the paths. New connections are established, but silent.
func (p *paths) hang(fault networkFault) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, proxy := range p.proxies {
		proxy.setFault(fault)
	}
}

// heal ends the faults of the paths.
func (p *paths) heal() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.isClosed = false
	for upstream, proxy := range p.proxies {
		proxy.setFault(noFault)
		if p.dead[upstream] {
			continue
		}
		if err := proxy.reopen(); err != nil {
			return err
		}
	}
	return nil
}

// kill makes the path to an upstream refuse connections, as the upstream itself does.
func (p *paths) kill(upstream string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.dead[upstream] = true
	if proxy := p.proxies[upstream]; proxy != nil {
		proxy.refuse(true)
	}
}

// newPaths returns the paths of a daemon that reads the list from store, and the address of its store.
func newPaths(store http.Handler) (p *paths, address string, stop func(), err error) {
	p = &paths{store: store, proxies: map[string]*proxy{}, dead: map[string]bool{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", nil, err
	}
	server := &http.Server{Handler: p}
	go func() { _ = server.Serve(listener) }() // stopped by Close
	return p, listener.Addr().String(), func() { _ = server.Close() }, nil
}

func TestPortOfRefusingProxyIsTaken(t *testing.T) {
	p, err := newProxy("127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	p.refuse(false)
	if c, err := net.Dial("tcp", p.address()); err == nil {
		_ = c.Close()
		t.Error("a connection is accepted while they are refused")
	}
	exclusive := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 0) // as outgoing connections
		})
	}}
	if l, err := exclusive.Listen(t.Context(), "tcp", p.address()); err == nil {
		_ = l.Close()
		t.Error("an outgoing connection may take the port while connections are refused")
	}
	if err := p.reopen(); err != nil {
		t.Fatal(err)
	}
	p.refuse(true)
	p.release()
}
