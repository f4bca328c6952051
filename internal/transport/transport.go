package transport

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"
)

const (
	dialTimeout       = 2 * time.Second
	idleTimeout       = 60 * time.Second
	idlePerHost       = 64
	maxResponseHeader = 64 << 10
)

// New returns a transport that reuses connections and follows no proxy of the environment.
func New() *http.Transport {
	dialer := Dialer(dialTimeout)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: conn}, nil
		},
		MaxIdleConnsPerHost:    idlePerHost,
		IdleConnTimeout:        idleTimeout,
		TLSHandshakeTimeout:    dialTimeout,
		MaxResponseHeaderBytes: maxResponseHeader,
		DisableCompression:     true,
	}
}

// NewWithoutKeepAlives returns a transport that opens a new connection for each request, so that no request meets a connection
// that its server is about to close.
func NewWithoutKeepAlives() *http.Transport {
	fresh := New()
	fresh.DisableKeepAlives = true
	return fresh
}

// NewRequest returns a request that net/http never sends twice by itself, whatever its method and header.
func NewRequest(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return nil, err
	}
	if len(body) > 0 || !bodyless(method) {
		request.Body = io.NopCloser(bytes.NewReader(body))
		request.ContentLength = int64(len(body))
	}
	return request, nil
}

// bodyless reports whether requests of method have no body as a rule; net/http may repeat only these.
func bodyless(method string) bool {
	return method == http.MethodGet || method == http.MethodHead
}

// Send carries out request once, following no redirect; if err is not nil, sent reports whether any byte of the
// request may have left this process.
func Send(by http.RoundTripper, request *http.Request) (response *http.Response, sent bool, err error) {
	var used *countedConn
	var before int64
	unknown := false
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		used = counted(info.Conn)
		if used == nil {
			unknown = true
			return
		}
		before = used.written()
	}}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	response, err = by.RoundTrip(request)
	if err == nil {
		return response, true, nil
	}
	if used == nil {
		return nil, unknown, err
	}
	return nil, used.seal() > before, err
}
