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

// authority is a CA for the certificates of a fleet.
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

// files creates a certificate for the daemon name and returns the paths of its files.
func (a *authority) files(name string) TLSFiles {
	key := newKey(a.t)
	der, err := x509.CreateCertificate(rand.Reader, certificate(name), a.certificate, &key.PublicKey, a.key)
	must(a.t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	must(a.t, err)
	return NewTLSFiles(a.write(name+".pem", "CERTIFICATE", der), a.write(name+".key", "EC PRIVATE KEY", keyDER),
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

// testHub is a hub that listens on loopback.
type testHub struct {
	*Hub
	address  string
	events   chan peer.Event
	registry metrics.Registry
}

func startHub(t testing.TB, name string, files TLSFiles) *testHub {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	h := &testHub{
		address:  listener.Addr().String(),
		events:   make(chan peer.Event, 100),
		registry: metrics.NewRegistry(),
	}
	h.Hub, err = New(name, h.address, files, h.registry, func(e peer.Event) { h.events <- e })
	must(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- h.Run(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		must(t, <-done)
	})
	return h
}

func (h *testHub) counter(name string) int64 {
	return metrics.GetOrRegisterCounter(name, h.registry).Count()
}

// receiveSender waits for the next message and returns its sender.
func (h *testHub) receiveSender() string {
	for e := range h.events {
		if r, ok := e.(peer.Received); ok {
			return r.Message().From()
		}
	}
	return ""
}

// awaitClosed waits until a link is reported as closed.
func (h *testHub) awaitClosed() {
	for e := range h.events {
		if _, ok := e.(peer.LinkClosed); ok {
			return
		}
	}
}

// firstMessage returns the first message that the daemon name sends to a seed.
func firstMessage(name, address, seed string) peer.Message {
	var state peer.State
	settings := peer.NewSettings(name, address, address, "centre", 1).WithSeeds(seed)
	for _, effect := range state.Reduce(time.Unix(1, 0), peer.NewConfigured(settings)) {
		if send, ok := effect.(peer.Send); ok {
			return send.Message()
		}
	}
	panic("peer.State sends no message to its seed")
}

// dialRaw opens a TLS connection with files to a hub and exchanges hellos as the daemon name.
func dialRaw(t *testing.T, h *testHub, name string, files TLSFiles) net.Conn {
	config, err := (&certificateLoader{files: files}).tlsConfig()
	must(t, err)
	c, err := tls.Dial("tcp", h.address, config)
	must(t, err)
	t.Cleanup(func() { _ = c.Close() })
	data, err := hello{name, "127.0.0.1:1"}.encode()
	must(t, err)
	must(t, writeFrame(c, data))
	_, err = readFrame(c, maxHelloBytes)
	must(t, err)
	return c
}

func TestSend(t *testing.T) {
	Convey("Two daemons with certificates of one CA exchange messages, and all bytes are counted", t, func() {
		a := newAuthority(t)
		one, two := startHub(t, "one", a.files("one")), startHub(t, "two", a.files("two"))
		message := firstMessage("one", one.address, two.address)
		one.Send("two", two.address, message)
		So(two.receiveSender(), ShouldEqual, "one")
		two.Send("one", one.address, firstMessage("two", two.address, one.address))
		So(one.receiveSender(), ShouldEqual, "two")

		data, err := peer.Encode(message)
		So(err, ShouldBeNil)
		So(one.counter("link.bytes.sent"), ShouldBeGreaterThan, len(data)+frameHeaderBytes)
		So(two.counter("link.frames.received"), ShouldEqual, 1)
	})

	Convey("A daemon loads new TLS files without a restart", t, func() {
		a := newAuthority(t)
		one, two := startHub(t, "one", a.files("one")), startHub(t, "two", a.files("two"))
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
		one.Send("two", two.address, firstMessage("one", one.address, two.address))
		So(two.receiveSender(), ShouldEqual, "one")
	})
}

func TestForeignPeers(t *testing.T) {
	Convey("A peer with a certificate of another CA is rejected", t, func() {
		two := startHub(t, "two", newAuthority(t).files("two"))
		foreign := startHub(t, "one", newAuthority(t).files("one"))
		foreign.Send("two", two.address, firstMessage("one", foreign.address, two.address))
		foreign.awaitClosed()
		So(two.events, ShouldBeEmpty)
	})

	Convey("A peer whose certificate has another name is rejected", t, func() {
		a := newAuthority(t)
		two := startHub(t, "two", a.files("two"))
		c := dialRaw(t, two, "three", a.files("one"))
		_, err := readSize(c, maxHelloBytes)
		So(err, ShouldNotBeNil)
		So(two.events, ShouldBeEmpty)
	})
}

func TestBadFrames(t *testing.T) {
	for name, test := range map[string]struct {
		frame   []byte
		counter string
	}{
		"malformed": {[]byte{0, 0, 0, 3, 1, 2, 3}, "link.refused.malformed"},
		"oversized": {[]byte{0xff, 0xff, 0xff, 0xff}, "link.refused.oversized"},
	} {
		Convey("A "+name+" frame closes the connection and is counted", t, func() {
			a := newAuthority(t)
			two := startHub(t, "two", a.files("two"))
			c := dialRaw(t, two, "one", a.files("one"))
			_, err := c.Write(test.frame)
			So(err, ShouldBeNil)
			two.awaitClosed()
			So(two.counter(test.counter), ShouldEqual, 1)
		})
	}
}

func TestQueueLimits(t *testing.T) {
	Convey("The queue for a peer that reads nothing is bounded in bytes", t, func() {
		var total atomic.Int64
		c := newConn(nil, hello{}, &total)
		payload := make([]byte, 1<<18)
		queued := 0
		for range maxQueueFrames {
			if c.enqueue(payload) {
				queued += len(payload)
			}
		}
		So(queued, ShouldBeLessThanOrEqualTo, maxQueueBytes)
		So(c.enqueue(payload), ShouldBeFalse)
		So(total.Load(), ShouldEqual, queued)
		c.closeQueue()
		So(total.Load(), ShouldEqual, 0)
	})

	Convey("The queues for many peers that read nothing are bounded in bytes together", t, func() {
		var total atomic.Int64
		payload := make([]byte, 1<<20)
		for range 100 {
			newConn(nil, hello{}, &total).enqueue(payload)
		}
		So(total.Load(), ShouldBeBetweenOrEqual, maxTotalBytes-len(payload), maxTotalBytes)
	})
}
