package admin_test

import (
	"context"
	"crypto/ed25519"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/azurepond/azurepond/internal/admin"
	"github.com/azurepond/azurepond/internal/settings"
	"github.com/azurepond/azurepond/pkg/operator"
	. "github.com/smartystreets/goconvey/convey"
)

// fakeEntry answers each change with outcome, or closes the connection if there is none. It records the headers.
type fakeEntry struct {
	outcome  operator.Outcome
	requests []string
}

func (e *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.requests = append(e.requests, r.Header.Get(admin.IdempotencyKeyHeader)+" "+r.Header.Get(admin.RetryHeader))
	if e.outcome == nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(admin.MarshalOutcome(e.outcome))
}

func TestClient(t *testing.T) {
	startEntries := func(entries ...*fakeEntry) *admin.Client {
		var addresses []string
		for _, e := range entries {
			server := httptest.NewServer(e)
			t.Cleanup(server.Close)
			addresses = append(addresses, strings.TrimPrefix(server.URL, "http://"))
		}
		return admin.NewClient(addresses, "token")
	}
	plan := func(c *admin.Client) (operator.Outcome, error) {
		action := operator.NewAction(operator.VerbDrain, operator.KindReplica, "notices-1")
		return c.Plan(context.Background(), admin.NewIdempotencyKey("key", false), action)
	}
	Convey("After a lost response, the next entry receives a retry with the same request ID", t, func() {
		first, second := &fakeEntry{}, &fakeEntry{outcome: operator.NewAccepted(5)}
		outcome, err := plan(startEntries(first, second))
		So(err, ShouldBeNil)
		So(outcome, ShouldResemble, operator.NewAccepted(5))
		So(first.requests[0], ShouldEqual, "key false")
		So(second.requests, ShouldResemble, []string{"key true"})
	})
	Convey("After an unknown outcome, the next entry receives a retry; the last outcome counts", t, func() {
		first, second := &fakeEntry{outcome: operator.NewUnknown("a")}, &fakeEntry{outcome: operator.NewUnknown("b")}
		outcome, err := plan(startEntries(first, second))
		So(err, ShouldBeNil)
		So(outcome, ShouldResemble, operator.NewUnknown("b"))
		So(second.requests, ShouldResemble, []string{"key true"})
	})
	Convey("When all responses are lost, the outcome is unknown", t, func() {
		outcome, err := plan(startEntries(&fakeEntry{}, &fakeEntry{}))
		So(err, ShouldBeNil)
		So(outcome, ShouldHaveSameTypeAs, operator.Unknown{})
	})
	Convey("When no entry can be reached, nothing was sent and an error is returned", t, func() {
		_, err := plan(admin.NewClient([]string{"127.0.0.1:1"}, "token"))
		So(err, ShouldNotBeNil)
	})
	Convey("With root certificates, the client uses HTTPS and connects to trusted entries only", t, func() {
		certificate, key := selfSigned(t)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		secured, err := admin.WithTLS(listener, tlsSettings(t, certificate, key))
		So(err, ShouldBeNil)
		server := httptest.NewUnstartedServer(&fakeEntry{outcome: operator.NewAccepted(5)})
		server.Listener = secured
		server.Start()
		t.Cleanup(server.Close)
		client := admin.NewClient([]string{listener.Addr().String()}, "token")

		trusting, err := client.WithRootCAs(certificate)
		So(err, ShouldBeNil)
		outcome, err := plan(trusting)
		So(err, ShouldBeNil)
		So(outcome, ShouldResemble, operator.NewAccepted(5))

		other, _ := selfSigned(t)
		distrusting, err := client.WithRootCAs(other)
		So(err, ShouldBeNil)
		_, err = plan(distrusting)
		So(err, ShouldNotBeNil)
		_, err = client.WithRootCAs([]byte("none"))
		So(err, ShouldNotBeNil)
	})
	Convey("StatusOf returns the status from the named entry, or from the first entry that answers", t, func() {
		var addresses []string
		for _, name := range []string{"entry-1", "entry-2"} {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write(admin.NewStatus(name, 3, nil, nil, nil, nil).JSON())
			}))
			t.Cleanup(server.Close)
			addresses = append(addresses, strings.TrimPrefix(server.URL, "http://"))
		}
		client := admin.NewClient(append([]string{"127.0.0.1:1"}, addresses...), "token")
		for asked, want := range map[string]string{"entry-2": "entry-2", "entry-9": "entry-1", "": "entry-1"} {
			status, err := client.StatusOf(context.Background(), asked)
			So(err, ShouldBeNil)
			So(status.Entry(), ShouldEqual, want)
		}
		_, err := admin.NewClient([]string{"127.0.0.1:1"}, "token").StatusOf(context.Background(), "entry-1")
		So(err, ShouldNotBeNil)
	})
	Convey("An accepted, unknown, conflict or read outcome is the same after encoding and decoding", t, func() {
		config, err := operator.ParseConfig("c", []byte("team: koinonia\nrevision: 4\n"))
		So(err, ShouldBeNil)
		for _, outcome := range []operator.Outcome{
			operator.NewAccepted(3), operator.NewUnknown("late"), operator.NewConflict(config, config, nil),
			operator.NewReadResult(config, nil),
		} {
			decoded, err := admin.ParseOutcome(admin.MarshalOutcome(outcome))
			So(err, ShouldBeNil)
			So(decoded, ShouldResemble, outcome)
		}
	})
}

// selfSigned returns a new self-signed certificate for 127.0.0.1 and its key, as PEM.
func selfSigned(t *testing.T) (certificate, key []byte) {
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	raw, err := x509.CreateCertificate(nil, template, template, public, private)
	if err != nil {
		t.Fatal(err)
	}
	rawKey, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		t.Fatal(err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: raw}),
		pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: rawKey})
}

// tlsSettings returns the HTTPS settings of a daemon with certificate and key.
func tlsSettings(t *testing.T, certificate, key []byte) settings.TLS {
	directory := t.TempDir()
	certificatePath, keyPath := filepath.Join(directory, "crt"), filepath.Join(directory, "key")
	if err := errors.Join(os.WriteFile(certificatePath, certificate, 0o600), os.WriteFile(keyPath, key, 0o600)); err != nil {
		t.Fatal(err)
	}
	s, err := settings.Parse("entry.yaml", []byte(fmt.Sprintf(`name: entry-1
centre: athens
region: attica
listeners: {caller: 127.0.0.1:1, peer: 127.0.0.1:2, operator: 127.0.0.1:3}
platform: 127.0.0.1:4
https: {certificate: %s, key: %s}
`, certificatePath, keyPath)))
	if err != nil {
		t.Fatal(err)
	}
	return s.HTTPS()
}
