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

// Limits of the transports that New returns.
const (
	dialTimeout            = 2 * time.Second
	idleTimeout            = 60 * time.Second
	maxIdlePerHost         = 64
	maxResponseHeaderBytes = 64 << 10
)

// New returns a transport that reuses connections and ignores the proxy settings of the environment.
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
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleTimeout,
		TLSHandshakeTimeout:    dialTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DisableCompression:     true,
	}
}

// NewWithoutKeepAlives returns a transport that opens a new connection for each request, so that no request is sent
// over a connection that the server is about to close.
func NewWithoutKeepAlives() *http.Transport {
	transport := New()
	transport.DisableKeepAlives = true
	return transport
}

// NewRequest returns a request that net/http does not send again by itself, whatever its method and headers are. Its
// body, which may be empty, cannot be rewound.
func NewRequest(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return nil, err
	}
	request.Body = io.NopCloser(bytes.NewReader(body))
	request.ContentLength = int64(len(body))
	return request, nil
}

// NewRepeatableRequest returns a request that net/http sends again over a new connection if it is a GET or HEAD without
// a body and the server closed a reused connection.
func NewRepeatableRequest(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	if len(body) > 0 || !bodyless(method) {
		return NewRequest(ctx, method, url, body)
	}
	return http.NewRequestWithContext(ctx, method, url, nil)
}

// bodyless reports whether requests of method usually have no body.
func bodyless(method string) bool {
	return method == http.MethodGet || method == http.MethodHead
}

// Send sends a request and follows no redirect. If err is not nil, sent reports whether any byte of the request may
// have left this process. An answer that HTTP does not allow is an error, ErrMalformed.
func Send(roundTripper http.RoundTripper, request *http.Request) (response *http.Response, sent bool, err error) {
	var conn *countedConn
	var writtenBefore int64
	connUncounted := false
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn = findCountedConn(info.Conn)
		if conn == nil {
			connUncounted = true
			return
		}
		writtenBefore = conn.writtenBytes()
	}}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	response, err = roundTripper.RoundTrip(request)
	if err == nil {
		if err = checkResponse(response); err == nil {
			return response, true, nil
		}
		_ = response.Body.Close() // it is not read
		return nil, true, err
	}
	if conn == nil {
		return nil, connUncounted, err
	}
	return nil, conn.closeAndCount() > writtenBefore, err
}
