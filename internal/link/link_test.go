package link

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/pkg/peer"
)

// authority signs the certificates of one fleet.
type authority struct {
	t           testing.TB
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	dir         string
}

func newAuthority(t testing.TB) *authority {
	a := &authority{t: t, dir: t.TempDir(), key: newKey(t)}
	template := certificate("authority")
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	must(t, err)
	a.certificate, err = x509.ParseCertificate(der)
	must(t, err)
	a.write("authority.pem", "CERTIFICATE", der)
	return a
}

func newKey(t testing.TB) *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must(t, err)
	return key
}

func certificate(name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		DNSNames:     []string{name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
	}
}

// files signs a new certificate for a daemon and returns its files.
func (a *authority) files(name string) TLSFiles {
	key := newKey(a.t)
	der, err := x509.CreateCertificate(rand.Reader, certificate(name), a.certificate, &key.PublicKey, a.key)
	must(a.t, err)
	secret, err := x509.MarshalECPrivateKey(key)
	must(a.t, err)
	return NewTLSFiles(a.write(name+".pem", "CERTIFICATE", der), a.write(name+".key", "EC PRIVATE KEY", secret),
		filepath.Join(a.dir, "authority.pem"))
}

func (a *authority) write(name, kind string, der []byte) string {
	path := filepath.Join(a.dir, name)
	must(a.t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return path
}

func must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// station is a hub that listens on loopback.
type station struct {
	*Hub
	address  string
	events   chan peer.Event
	registry metrics.Registry
}

func start(t testing.TB, name string, files TLSFiles) *station {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	s := &station{
		address:  listener.Addr().String(),
		events:   make(chan peer.Event, 100),
		registry: metrics.NewRegistry(),
	}
	s.Hub, err = New(name, s.address, files, s.registry, func(e peer.Event) { s.events <- e })
	must(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- s.Run(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		must(t, <-done)
	})
	return s
}

func (s *station) count(name string) int64 {
	return metrics.GetOrRegisterCounter(name, s.registry).Count()
}

// receive returns the sender of the next message that comes.
func (s *station) receive() string {
	for e := range s.events {
		if r, is := e.(peer.Received); is {
			return r.Message().From()
		}
	}
	return ""
}

// awaitClosed returns once a link is reported closed.
func (s *station) awaitClosed() {
	for e := range s.events {
		if _, is := e.(peer.LinkClosed); is {
			return
		}
	}
}

// greeting returns the first message that a daemon of that name sends to a seed.
func greeting(name, address, seed string) peer.Message {
	var state peer.State
	settings := peer.NewSettings(name, address, address, "centre", 1).WithSeeds(seed)
	for _, effect := range state.Reduce(time.Unix(1, 0), peer.NewConfigured(settings)) {
		if send, is := effect.(peer.Send); is {
			return send.Message()
		}
	}
	panic("no greeting")
}

// raw opens a connection to a station, with the first frame said as name over TLS with files.
func raw(t *testing.T, s *station, name string, files TLSFiles) net.Conn {
	config, err := (&keys{files: files}).config()
	must(t, err)
	c, err := tls.Dial("tcp", s.address, config)
	must(t, err)
	t.Cleanup(func() { _ = c.Close() })
	data, err := hello{name, "127.0.0.1:1"}.encode()
	must(t, err)
	must(t, writeFrame(c, data))
	_, err = readFrame(c, maxHello)
	must(t, err)
	return c
}

func TestMessagesCross(t *testing.T) {
	Convey("Two daemons with certificates of one authority hear each other, and all bytes are counted", t, func() {
		a := newAuthority(t)
		one, two := start(t, "one", a.files("one")), start(t, "two", a.files("two"))
		message := greeting("one", one.address, two.address)
		one.Send("two", two.address, message)
		So(two.receive(), ShouldEqual, "one")
		two.Send("one", one.address, greeting("two", two.address, one.address))
		So(one.receive(), ShouldEqual, "two")

		data, err := peer.Encode(message)
		So(err, ShouldBeNil)
		So(one.count("link.bytes.sent"), ShouldBeGreaterThan, len(data)+headerBytes)
		So(two.count("link.frames.received"), ShouldEqual, 1)
	})

	Convey("A daemon uses new files without a restart", t, func() {
		a := newAuthority(t)
		one, two := start(t, "one", a.files("one")), start(t, "two", a.files("two"))
		other := newAuthority(t)
		other.dir = a.dir
		other.write("authority.pem", "CERTIFICATE", other.certificate.Raw)
		later := time.Now().Add(time.Minute)
		for _, name := range []string{"one", "two"} {
			other.files(name)
			for _, file := range []string{name + ".pem", name + ".key", "authority.pem"} {
				So(os.Chtimes(filepath.Join(a.dir, file), later, later), ShouldBeNil)
			}
		}
		one.Send("two", two.address, greeting("one", one.address, two.address))
		So(two.receive(), ShouldEqual, "one")
	})
}

func TestForeignPeersAreRefused(t *testing.T) {
	Convey("A peer of another authority is refused and counted", t, func() {
		two := start(t, "two", newAuthority(t).files("two"))
		stranger := start(t, "one", newAuthority(t).files("one"))
		stranger.Send("two", two.address, greeting("one", stranger.address, two.address))
		stranger.awaitClosed()
		So(two.events, ShouldBeEmpty)
	})

	Convey("A peer that claims the name of another is refused", t, func() {
		a := newAuthority(t)
		two := start(t, "two", a.files("two"))
		c := raw(t, two, "three", a.files("one"))
		_, err := readSize(c, maxHello)
		So(err, ShouldNotBeNil)
		So(two.events, ShouldBeEmpty)
	})
}

func TestBadFramesAreRefused(t *testing.T) {
	for name, test := range map[string]struct {
		frame   []byte
		counter string
	}{
		"malformed": {[]byte{0, 0, 0, 3, 1, 2, 3}, "link.refused.malformed"},
		"oversized": {[]byte{0xff, 0xff, 0xff, 0xff}, "link.refused.oversized"},
	} {
		Convey("A "+name+" frame ends the link and is counted", t, func() {
			a := newAuthority(t)
			two := start(t, "two", a.files("two"))
			c := raw(t, two, "one", a.files("one"))
			_, err := c.Write(test.frame)
			So(err, ShouldBeNil)
			two.awaitClosed()
			So(two.count(test.counter), ShouldEqual, 1)
		})
	}
}

func TestSlowPeersHoldLittle(t *testing.T) {
	Convey("A peer that takes nothing holds a bounded number of bytes", t, func() {
		var total atomic.Int64
		c := newConn(nil, hello{}, &total)
		frame := make([]byte, 1<<18)
		taken := 0
		for range queueFrames {
			if c.offer(frame) {
				taken += len(frame)
			}
		}
		So(taken, ShouldBeLessThanOrEqualTo, queueBytes)
		So(c.offer(frame), ShouldBeFalse)
		So(total.Load(), ShouldEqual, taken)
		c.drain()
		So(total.Load(), ShouldEqual, 0)
	})

	Convey("Many peers that take nothing hold a bounded number of bytes together", t, func() {
		var total atomic.Int64
		frame := make([]byte, 1<<20)
		for range 100 {
			newConn(nil, hello{}, &total).offer(frame)
		}
		So(total.Load(), ShouldBeBetweenOrEqual, totalBytes-len(frame), totalBytes)
	})
}
