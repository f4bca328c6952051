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

// startDemoFleet starts the demo fleet and waits for two available replicas. The test's cleanup stops it.
func startDemoFleet(t *testing.T) (context.Context, *demoFleet) {
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
	for _, step := range []func(context.Context, *demoFleet) (string, error){applyConfiguration, waitForReplicas} {
		if _, err := step(ctx, f); err != nil {
			t.Fatal(err)
		}
	}
	return ctx, f
}

// bookOnce books with the fleet's ticket key, without retries, and returns the status and the X-Call-Outcome header.
func (f *demoFleet) bookOnce(ctx context.Context, entry int) (status int, outcome string) {
	response, _, _ := f.call(ctx, entry, http.MethodPost, ticketPath, f.ticketHeader(), []byte(ticketBody))
	if response == nil {
		return 0, ""
	}
	return response.StatusCode, response.Header.Get("X-Call-Outcome")
}

func TestDemo(t *testing.T) {
	t.Parallel()
	Convey("Every step of the demo passes", t, func() {
		var out, errOut strings.Builder
		code := Execute([]string{"demo"}, &out, &errOut)
		So(errOut.String(), ShouldBeEmpty)
		So(code, ShouldEqual, exitSuccess)
		So(strings.Count(out.String(), "  yes  "), ShouldEqual, len(demoSteps))
	})
}

func TestStoreOutage(t *testing.T) {
	t.Parallel()
	Convey("Given two daemons whose platform is unavailable", t, func() {
		ctx, f := startDemoFleet(t)
		_, err := streamAnswer(ctx, f)
		So(err, ShouldBeNil)
		f.standIns.platform.Faults().Always("", standin.Outage{})
		f.ticketKey = uuid.Must(uuid.NewV7()).String()

		Convey("Available replicas still serve, and calls that need the store are not run until it recovers", func() {
			_, err := repeatStream(ctx, f)
			So(err, ShouldBeNil)
			status, outcome := f.bookOnce(ctx, 0)
			So(status, ShouldEqual, http.StatusServiceUnavailable)
			So(outcome, ShouldEqual, "not-run")
			So(f.standIns.services[0].RunCount(f.ticketKey), ShouldEqual, 0)

			f.standIns.platform.Faults().Clear()
			for entry := range 2 {
				status, outcome = f.bookOnce(ctx, entry)
				for status == http.StatusServiceUnavailable && outcome == "not-run" {
					status, outcome = f.bookOnce(ctx, entry)
				}
				So(status, ShouldEqual, http.StatusCreated)
			}
			So(f.standIns.services[0].RunCount(f.ticketKey), ShouldEqual, 1)
		})
	})
}

func TestEngineCrash(t *testing.T) {
	t.Parallel()
	Convey("When an engine crashes, its replica receives no requests until it is available again", t, func() {
		ctx, f := startDemoFleet(t)
		_, err := streamAnswer(ctx, f)
		So(err, ShouldBeNil)
		f.standIns.engines[0].Crash()
		_, err = f.waitForStatus(ctx, func(s admin.Status) bool { return countAvailable(s) == 1 })
		So(err, ShouldBeNil)
		_, err = repeatStream(ctx, f)
		So(err, ShouldBeNil)
		f.standIns.engines[0].Start()
		_, err = f.waitForStatus(ctx, func(s admin.Status) bool { return countAvailable(s) == 2 })
		So(err, ShouldBeNil)
		_, err = repeatStream(ctx, f)
		So(err, ShouldBeNil)
	})
}
