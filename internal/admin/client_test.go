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

// entry answers each change with outcome, or cuts the connection when there is none, and notes what it was sent.
type entry struct {
	outcome operator.Outcome
	keys    []string
}

func (e *entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.keys = append(e.keys, r.Header.Get(admin.IdempotencyKeyHeader)+" "+r.Header.Get(admin.RetryHeader))
	if e.outcome == nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(admin.MarshalOutcome(e.outcome))
}

func TestClient(t *testing.T) {
	start := func(entries ...*entry) *admin.Client {
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
	Convey("A lost answer is asked for at the next entry, under the same request ID, as sent before", t, func() {
		first, second := &entry{}, &entry{outcome: operator.NewAccepted(5)}
		outcome, err := plan(start(first, second))
		So(err, ShouldBeNil)
		So(outcome, ShouldResemble, operator.NewAccepted(5))
		So(first.keys[0], ShouldEqual, "key false")
		So(second.keys, ShouldResemble, []string{"key true"})
	})
	Convey("An unknown outcome is asked for at the next entry, and stays when none knows", t, func() {
		first, second := &entry{outcome: operator.NewUnknown("a")}, &entry{outcome: operator.NewUnknown("b")}
		outcome, err := plan(start(first, second))
		So(err, ShouldBeNil)
		So(outcome, ShouldResemble, operator.NewUnknown("b"))
		So(second.keys, ShouldResemble, []string{"key true"})
	})
	Convey("When all answers are lost, the outcome is unknown", t, func() {
		outcome, err := plan(start(&entry{}, &entry{}))
		So(err, ShouldBeNil)
		So(outcome, ShouldHaveSameTypeAs, operator.Unknown{})
	})
	Convey("When no entry can be reached, nothing was sent and that is said", t, func() {
		_, err := plan(admin.NewClient([]string{"127.0.0.1:1"}, "token"))
		So(err, ShouldNotBeNil)
	})
	Convey("With an authority, it speaks HTTPS to the entries that it trusts", t, func() {
		certificate, key := selfSigned(t)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		secured, err := admin.WithTLS(listener, files(t, certificate, key))
		So(err, ShouldBeNil)
		server := httptest.NewUnstartedServer(&entry{outcome: operator.NewAccepted(5)})
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
	Convey("The status of an entry is its own when it can be reached, else that of the first to answer", t, func() {
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
	Convey("Every outcome passes through the API unchanged", t, func() {
		config, err := operator.ParseConfig("c", []byte("team: koinonia\nrevision: 4\n"))
		So(err, ShouldBeNil)
		for _, outcome := range []operator.Outcome{
			operator.NewAccepted(3), operator.NewUnknown("late"), operator.NewConflict(config, config, nil),
			operator.NewReadResult(config, nil),
		} {
			again, err := admin.ParseOutcome(admin.MarshalOutcome(outcome))
			So(err, ShouldBeNil)
			So(again, ShouldResemble, outcome)
		}
	})
}

// selfSigned returns a new certificate for 127.0.0.1 that signed itself, and its key, as PEM.
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

// files returns the TLS settings of a daemon that serves operators with certificate and key.
func files(t *testing.T, certificate, key []byte) settings.TLS {
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
