package commands

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/google/uuid"
	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/azurepond/azurepond/internal/admin"
	"github.com/azurepond/azurepond/internal/standin"
)

func init() {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
}

// serveDemo starts the demo's fleet with two whole replicas; it ends with the test.
func serveDemo(t *testing.T) (context.Context, *demoFleet) {
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	f, err := startDemo(ctx, group)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		_ = group.Wait()
	})
	for _, begin := range []func(context.Context, *demoFleet) (string, error){applyDemo, awaitReplicas} {
		if _, err := begin(ctx, f); err != nil {
			t.Fatal(err)
		}
	}
	return ctx, f
}

// tryBooking books under the fleet's ticket and returns the status and the word that says whether it ran.
func (f *demoFleet) tryBooking(ctx context.Context, entry int) (status int, outcome string) {
	response, _, _ := f.call(ctx, entry, http.MethodPost, ticketPath, f.ticketHeader(), []byte(ticketBody))
	if response == nil {
		return 0, ""
	}
	return response.StatusCode, response.Header.Get("X-Call-Outcome")
}

func TestDemo(t *testing.T) {
	t.Parallel()
	Convey("Every step of the demo holds", t, func() {
		var out, problems strings.Builder
		code := Execute([]string{"demo"}, &out, &problems)
		So(problems.String(), ShouldBeEmpty)
		So(code, ShouldEqual, exitDone)
		So(strings.Count(out.String(), "  yes  "), ShouldEqual, len(demoSteps))
	})
}

func TestStoreOutage(t *testing.T) {
	t.Parallel()
	Convey("Given two daemons whose platform has gone out", t, func() {
		ctx, f := serveDemo(t)
		_, err := streamAnswer(ctx, f)
		So(err, ShouldBeNil)
		f.standIns.platform.Faults().Always("", standin.Outage{})
		f.ticket = uuid.Must(uuid.NewV7()).String()

		Convey("Whole replicas serve on, and what needs the store is not run until it is back", func() {
			_, err := callAfterDrain(ctx, f)
			So(err, ShouldBeNil)
			status, outcome := f.tryBooking(ctx, 0)
			So(status, ShouldEqual, http.StatusServiceUnavailable)
			So(outcome, ShouldEqual, "not-run")
			So(f.standIns.services[0].RunCount(f.ticket), ShouldEqual, 0)

			f.standIns.platform.Faults().Clear()
			for entry := range 2 {
				status, outcome = f.tryBooking(ctx, entry)
				for status == http.StatusServiceUnavailable && outcome == "not-run" {
					status, outcome = f.tryBooking(ctx, entry)
				}
				So(status, ShouldEqual, http.StatusCreated)
			}
			So(f.standIns.services[0].RunCount(f.ticket), ShouldEqual, 1)
		})
	})
}

func TestMemberLost(t *testing.T) {
	t.Parallel()
	Convey("When an engine crashes, its replica gets no work until it is whole again", t, func() {
		ctx, f := serveDemo(t)
		_, err := streamAnswer(ctx, f)
		So(err, ShouldBeNil)
		f.standIns.engines[0].Crash()
		_, err = f.await(ctx, func(s admin.Status) bool { return countWhole(s) == 1 })
		So(err, ShouldBeNil)
		_, err = callAfterDrain(ctx, f)
		So(err, ShouldBeNil)
		f.standIns.engines[0].Start()
		_, err = f.await(ctx, func(s admin.Status) bool { return countWhole(s) == 2 })
		So(err, ShouldBeNil)
		_, err = callAfterDrain(ctx, f)
		So(err, ShouldBeNil)
	})
}
