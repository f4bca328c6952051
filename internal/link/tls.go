package link

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// TLSFiles holds the paths of the PEM files for mutual TLS. The zero value means plain TCP.
type TLSFiles struct {
	certificate string
	key         string
	authority   string
}

// NewTLSFiles returns the paths of the daemon's certificate and key, and of the CA certificates for peers.
func NewTLSFiles(certificate, key, authority string) TLSFiles {
	return TLSFiles{certificate, key, authority}
}

// IsZero reports whether TLS is disabled.
func (f TLSFiles) IsZero() bool { return f == TLSFiles{} }

// credentials holds the contents of the TLS files.
type credentials struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// certificateLoader reloads the files when one of them has changed, so that certificates are renewed without a restart.
type certificateLoader struct {
	files TLSFiles

	mutex    sync.Mutex
	current  credentials
	modTimes [3]time.Time // of the certificate, the key and the CA certificates
}

// load returns the current contents of the files. If they cannot be read, it returns the last ones that could.
func (l *certificateLoader) load() (credentials, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	modTimes, err := l.statModTimes()
	if err == nil && modTimes == l.modTimes {
		return l.current, nil
	}
	if err == nil {
		var loaded credentials
		if loaded, err = loadCredentials(l.files); err == nil {
			l.current, l.modTimes = loaded, modTimes
			return loaded, nil
		}
	}
	if l.current.authority != nil {
		return l.current, nil
	}
	return credentials{}, trace.Wrap(err)
}

func (l *certificateLoader) statModTimes() ([3]time.Time, error) {
	var modTimes [3]time.Time
	for i, path := range []string{l.files.certificate, l.files.key, l.files.authority} {
		info, err := os.Stat(path)
		if err != nil {
			return modTimes, trace.ConvertSystemError(err)
		}
		modTimes[i] = info.ModTime()
	}
	return modTimes, nil
}

func loadCredentials(files TLSFiles) (credentials, error) {
	certificate, err := tls.LoadX509KeyPair(files.certificate, files.key)
	if err != nil {
		return credentials{}, trace.Wrap(err, "load %s and %s", files.certificate, files.key)
	}
	data, err := os.ReadFile(files.authority)
	if err != nil {
		return credentials{}, trace.ConvertSystemError(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return credentials{}, trace.BadParameter("%s contains no certificate", files.authority)
	}
	return credentials{certificate, pool}, nil
}

// tlsConfig returns the TLS configuration of a connection in either direction. Both sides must present a certificate
// signed by the CA. The handshake then checks that the certificate is valid for the name in the peer's hello.
func (l *certificateLoader) tlsConfig() (*tls.Config, error) {
	loaded, err := l.load()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{loaded.certificate},
		ClientAuth:         tls.RequireAnyClientCert,
		InsecureSkipVerify: true, // VerifyConnection checks the chain, and the handshake checks the daemon's name
		VerifyConnection:   func(state tls.ConnectionState) error { return verifyChain(state, loaded.authority) },
	}, nil
}

func verifyChain(state tls.ConnectionState, authority *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return trace.AccessDenied("the peer presented no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         authority,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return trace.Wrap(err)
}
