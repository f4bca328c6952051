package link

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// TLSFiles names the PEM files for mutual TLS; the zero value means plain TCP.
type TLSFiles struct {
	certificate string
	key         string
	authority   string
}

// NewTLSFiles returns the paths of the daemon's certificate and key, and of the certificates that sign those of peers.
func NewTLSFiles(certificate, key, authority string) TLSFiles {
	return TLSFiles{certificate, key, authority}
}

// IsZero reports whether there is no TLS.
func (f TLSFiles) IsZero() bool { return f == TLSFiles{} }

// identity is what the files hold.
type identity struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// keys reads the files again whenever one of them has changed, so that certificates are replaced without a restart.
type keys struct {
	files TLSFiles

	mutex    sync.Mutex
	current  identity
	modified [3]time.Time
}

// load returns what the files hold now; while they can't be read, what they held before.
func (k *keys) load() (identity, error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	modified, err := k.times()
	if err == nil && modified == k.modified {
		return k.current, nil
	}
	if err == nil {
		var fresh identity
		if fresh, err = read(k.files); err == nil {
			k.current, k.modified = fresh, modified
			return fresh, nil
		}
	}
	if k.current.authority != nil {
		return k.current, nil
	}
	return identity{}, trace.Wrap(err)
}

func (k *keys) times() ([3]time.Time, error) {
	var modified [3]time.Time
	for i, path := range []string{k.files.certificate, k.files.key, k.files.authority} {
		info, err := os.Stat(path)
		if err != nil {
			return modified, trace.ConvertSystemError(err)
		}
		modified[i] = info.ModTime()
	}
	return modified, nil
}

func read(files TLSFiles) (identity, error) {
	certificate, err := tls.LoadX509KeyPair(files.certificate, files.key)
	if err != nil {
		return identity{}, trace.Wrap(err, "load %s and %s", files.certificate, files.key)
	}
	data, err := os.ReadFile(files.authority)
	if err != nil {
		return identity{}, trace.ConvertSystemError(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return identity{}, trace.BadParameter("%s holds no certificate", files.authority)
	}
	return identity{certificate, pool}, nil
}

// config returns the TLS settings of one connection in either direction: both sides must show a certificate that the
// authority signed; whose it is is compared with the hello that follows.
func (k *keys) config() (*tls.Config, error) {
	now, err := k.load()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{now.certificate},
		ClientAuth:         tls.RequireAnyClientCert,
		InsecureSkipVerify: true, // the chain is verified below, for both sides alike; names are those of daemons
		VerifyConnection:   func(state tls.ConnectionState) error { return verify(state, now.authority) },
	}, nil
}

func verify(state tls.ConnectionState, authority *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return trace.AccessDenied("the peer shows no certificate")
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
