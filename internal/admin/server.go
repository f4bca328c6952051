package admin

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/azurepond/azurepond/internal/settings"
)

// The limits of the API's connections; an apply may wait for the store before it is answered.
const (
	headerTimeout = 5 * time.Second
	readTimeout   = 15 * time.Second
	writeTimeout  = 30 * time.Second
	idleTimeout   = time.Minute
	maxHeader     = 16 << 10
)

// NewServer returns a server of handler with bounds on time and size.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
	}
}

// WithTLS returns listener with TLS by the certificate in files, or listener itself when there are none.
func WithTLS(listener net.Listener, files settings.TLS) (net.Listener, error) {
	if files.IsZero() {
		return listener, nil
	}
	certificate, err := tls.LoadX509KeyPair(files.Certificate(), files.Key())
	if err != nil {
		return nil, trace.Wrap(err, "read the certificate for operators")
	}
	return tls.NewListener(listener, &tls.Config{
		Certificates: []tls.Certificate{certificate},
		MinVersion:   tls.VersionTLS13,
	}), nil
}
