package platform

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/internal/standin"
	"github.com/azurepond/azurepond/pkg/object"
)

var claim = object.NewKey("claims", "c1")

func newPlatformClient(t *testing.T) (*standin.Platform, *Client) {
	var platform standin.Platform
	server := httptest.NewServer(&platform)
	t.Cleanup(server.Close)
	return &platform, New(server.URL, 0, "secret")
}

func TestObjects(t *testing.T) {
	Convey("Given a platform", t, func() {
		platform, client := newPlatformClient(t)
		ctx := context.Background()

		Convey("An object is created once, read, replaced only at its version, and deleted", func() {
			So(client.Do(ctx, object.NewGet(1, claim)), ShouldResemble, object.NewAbsent(1))
			stored := client.Do(ctx, object.NewPut(2, claim, "", []byte(`{"a":1}`))).(object.Stored)
			So(client.Do(ctx, object.NewPut(3, claim, "", []byte(`{"a":2}`))), ShouldResemble, object.NewConflict(3))
			found := client.Do(ctx, object.NewGet(4, claim)).(object.Found)
			So(string(found.Data()), ShouldEqual, `{"a":1}`)
			So(found.Version(), ShouldEqual, stored.Version())
			next := client.Do(ctx, object.NewPut(5, claim, found.Version(), []byte(`{"a":3}`))).(object.Stored)
			So(client.Do(ctx, object.NewPut(6, claim, found.Version(), []byte(`{}`))), ShouldResemble, object.NewConflict(6))
			So(client.Do(ctx, object.NewDelete(7, claim, found.Version())), ShouldResemble, object.NewConflict(7))
			So(client.Do(ctx, object.NewDelete(8, claim, next.Version())), ShouldResemble, object.NewAbsent(8))
			So(client.Do(ctx, object.NewPut(9, claim, next.Version(), []byte(`{}`))), ShouldResemble, object.NewConflict(9))
			So(platform.CallCounts().Writes(), ShouldEqual, 7)
		})

		Convey("A write whose response is lost after it took effect is Lost, and the object exists", func() {
			platform.Faults().Next(http.MethodPost, standin.LostResponse{})
			So(client.Do(ctx, object.NewPut(1, claim, "", []byte(`{"a":1}`))), ShouldResemble, object.NewLost(1))
			_, _, exists := platform.Object(claim)
			So(exists, ShouldBeTrue)
			So(platform.CallCounts().Writes(), ShouldEqual, 1)
		})

		Convey("A write is Lost if the platform closes the connection or responds with 5xx", func() {
			platform.Faults().Next(http.MethodPost, standin.Outage{}, standin.Unavailable{})
			So(client.Do(ctx, object.NewPut(1, claim, "", []byte(`{}`))), ShouldResemble, object.NewLost(1))
			So(client.Do(ctx, object.NewPut(2, claim, "", []byte(`{}`))), ShouldResemble, object.NewLost(2))
		})

		Convey("A value over the size limit is Refused without a request", func() {
			large := []byte(`"` + strings.Repeat("x", object.MaxValueBytes) + `"`)
			So(client.Do(ctx, object.NewPut(1, claim, "", large)), ShouldHaveSameTypeAs, object.Refused{})
			So(platform.CallCounts().Total(), ShouldEqual, 0)
		})

		Convey("A cancelled call is Refused if nothing was sent, else Lost", func() {
			cancelled, cancel := context.WithCancel(ctx)
			cancel()
			So(client.Do(cancelled, object.NewPut(1, claim, "", []byte(`{}`))), ShouldHaveSameTypeAs, object.Refused{})
			gate := standin.NewGate()
			defer gate.Open()
			platform.Faults().Next(http.MethodPost, standin.NewHoldRequest(gate))
			cancellable, cancel := context.WithCancel(ctx)
			go func() {
				<-gate.Reached()
				cancel()
			}()
			So(client.Do(cancellable, object.NewPut(2, claim, "", []byte(`{}`))), ShouldResemble, object.NewLost(2))
		})
	})

	Convey("A call to an unreachable platform is Refused, as nothing was sent", t, func() {
		server := httptest.NewServer(http.NotFoundHandler())
		server.Close()
		client := New(server.URL, 0, "")
		result := client.Do(context.Background(), object.NewPut(1, claim, "", []byte(`{}`)))
		So(result, ShouldHaveSameTypeAs, object.Refused{})
	})

	Convey("A response over the size limit is Lost", t, func() {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			part := make([]byte, 1<<16)
			for r.Context().Err() == nil {
				if _, err := w.Write(part); err != nil {
					return
				}
			}
		}))
		defer server.Close()
		client := New(server.URL, 0, "")
		So(client.Do(context.Background(), object.NewGet(1, claim)), ShouldResemble, object.NewLost(1))
	})
}

func TestWatch(t *testing.T) {
	Convey("A watch reports the current state, each change, and its end", t, func() {
		platform, client := newPlatformClient(t)
		ctx := context.Background()
		results := make(chan object.Result)
		go client.Watch(ctx, object.NewWatch(7, claim), func(r object.Result) { results <- r })
		So(<-results, ShouldResemble, object.NewAbsent(7))
		stored := client.Do(ctx, object.NewPut(1, claim, "", []byte(`{"a":1}`))).(object.Stored)
		So(<-results, ShouldResemble, object.NewFound(7, stored.Version(), []byte(`{"a":1}`)))
		client.Do(ctx, object.NewDelete(2, claim, stored.Version()))
		So(<-results, ShouldResemble, object.NewAbsent(7))
		platform.EndWatches()
		So(<-results, ShouldResemble, object.NewLost(7))

		platform.Faults().Always(http.MethodGet, standin.Outage{})
		go client.Watch(ctx, object.NewWatch(8, claim), func(r object.Result) { results <- r })
		So(<-results, ShouldHaveSameTypeAs, object.Refused{})
	})
}

func TestInstances(t *testing.T) {
	Convey("The instance list contains location, accelerators and leaving", t, func() {
		platform, client := newPlatformClient(t)
		address := netip.MustParseAddrPort("127.0.0.1:9000")
		platform.SetInstances(
			standin.NewInstance("i1", "d1", "athens", 4, address).WithPool("large"),
			standin.NewInstance("i2", "d1", "athens", 4, address),
		)
		platform.MarkLeaving("i2")
		revision, instances, err := client.Instances(context.Background())
		So(err, ShouldBeNil)
		So(revision, ShouldEqual, 2)
		So(len(instances), ShouldEqual, 2)
		So(instances[0].Address(), ShouldEqual, "127.0.0.1:9000")
		So(instances[0].Domain(), ShouldEqual, "d1")
		So(instances[0].DataCentre(), ShouldEqual, "athens")
		So(instances[0].Accelerators(), ShouldEqual, 4)
		So(instances[0].Leaving(), ShouldBeFalse)
		So(instances[1].Leaving(), ShouldBeTrue)

		platform.Faults().Next(http.MethodGet, standin.Unavailable{})
		_, _, err = client.Instances(context.Background())
		So(err, ShouldNotBeNil)
	})
}

func TestOddEntryHidesInstances(t *testing.T) {
	const entry = `{"metadata":{"name":%q,"labels":{"azurepond.dev/port":%q}},"status":{"addresses":[{"type":"InternalIP","address":"127.0.0.1"}],
		"capacity":{"azurepond.dev/accelerators":"4"}}}`
	deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	for _, odd := range []string{deep, "5", fmt.Sprintf(entry, "i2", "99999"), `{"metadata":{"name":"i2","labels":` + deep + `}}`} {
		Convey(fmt.Sprintf("An entry of %d bytes that describes no instance hides no other", len(odd)), t, func() {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = fmt.Fprintf(w, `{"metadata":{"resourceVersion":"7"},"items":[%s,%s]}`, odd, fmt.Sprintf(entry, "i1", "9000"))
			}))
			defer server.Close()
			revision, instances, err := New(server.URL, 0, "secret").Instances(context.Background())
			So(err, ShouldBeNil)
			So(revision, ShouldEqual, 7)
			So(len(instances), ShouldEqual, 1)
			So(instances[0].Address(), ShouldEqual, "127.0.0.1:9000")
		})
	}
}
