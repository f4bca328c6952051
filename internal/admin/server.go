package admin

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/azurepond/azurepond/internal/settings"
)

// The limits of the API's connections. writeTimeout includes the time that a change waits for the store.
const (
	headerTimeout  = 5 * time.Second
	readTimeout    = 15 * time.Second
	writeTimeout   = 30 * time.Second
	idleTimeout    = time.Minute
	maxHeaderBytes = 16 << 10
)

// NewServer returns a server of handler with timeouts and a header size limit.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// WithTLS returns listener with TLS and the certificate in files, or listener itself if files is zero.
func WithTLS(listener net.Listener, files settings.TLS) (net.Listener, error) {
	if files.IsZero() {
		return listener, nil
	}
	certificate, err := tls.LoadX509KeyPair(files.Certificate(), files.Key())
	if err != nil {
		return nil, trace.Wrap(err, "load the certificate of the operator listener")
	}
	return tls.NewListener(listener, &tls.Config{
		Certificates: []tls.Certificate{certificate},
		MinVersion:   tls.VersionTLS13,
	}), nil
}
