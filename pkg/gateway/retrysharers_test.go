package gateway

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/pkg/dispatch"
)

func TestRetrySharersOfDaemonThatIsCut(t *testing.T) {
	const ttl = 15 * time.Second
	now := time.Unix(1_700_000_000, 0)
	Convey("Of a fleet of twenty", t, func() {
		var r retrySharers
		// observe makes the first live daemons seen, the last of them as leaving.
		observe := func(at time.Time, live, leaving int) {
			r.see(at, "self", false)
			for i := range live {
				r.see(at, fmt.Sprint(i), i >= live-leaving)
			}
			r.forget(at, ttl)
		}
		observe(now, 19, 0)
		So(len(r.byName), ShouldEqual, 20)
		now := now.Add(time.Hour)

		Convey("a daemon that sees few others counts all of them, however long", func() {
			observe(now, 0, 0)
			So(len(r.byName), ShouldEqual, 20)
			observe(now, 13, 0)
			So(len(r.byName), ShouldEqual, 20)
		})

		Convey("a daemon that sees most others forgets those that are gone, after a time", func() {
			observe(now, 15, 0)
			So(len(r.byName), ShouldEqual, 16)
			observe(now.Add(ttl), 14, 0)
			So(len(r.byName), ShouldEqual, 16)
			observe(now.Add(ttl+time.Second), 14, 0)
			So(len(r.byName), ShouldEqual, 15)
		})

		Convey("a daemon that sees as many others as ever forgets those that were replaced under other names", func() {
			for life := range 100 {
				now = now.Add(2 * time.Second)
				for i := range 10 {
					r.see(now, fmt.Sprint("life-", life, "-", i), false)
				}
				observe(now, 9, 0)
			}
			So(len(r.byName), ShouldBeLessThanOrEqualTo, 20+10*int(ttl/(2*time.Second)))
		})

		Convey("daemons that leave are forgotten, also if they are many", func() {
			observe(now, 19, 15)
			So(len(r.byName), ShouldEqual, 20)
			observe(now.Add(ttl+time.Second), 4, 0)
			So(len(r.byName), ShouldEqual, 5)
		})
	})
}

func TestRetrySharersOfDaemonThatStartsWhileCut(t *testing.T) {
	Convey("A daemon gets no share of the burst before it has met half of the daemons that it contacts first", t, func() {
		seeds := []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}
		var r retrySharers
		r.meetSeed("10.0.0.9:1", seeds)
		r.meetSeed("10.0.0.1:1", seeds)
		r.meetSeed("10.0.0.1:1", seeds)
		So(r.hasMet(seeds, time.Minute), ShouldBeFalse)
		So(r.hasMet(seeds, 5*time.Minute), ShouldBeTrue)
		r.meetSeed("10.0.0.3:1", seeds)
		So(r.hasMet(seeds, time.Minute), ShouldBeTrue)
		So(r.hasMet(nil, time.Minute), ShouldBeTrue)
	})
}

func TestRetryBurstAfterStart(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for _, test := range []struct {
		name        string
		isBootstrap bool
		without     time.Duration // a share
	}{
		{"that may have sent retries before", false, 10 * time.Second},
		{"of a deployment that starts for the first time", true, minLeaderUptime},
	} {
		Convey("A daemon "+test.name+" gets its share of the burst no earlier than it may", t, func() {
			var s State
			s.start(now, NewSettings("a", "c0", "1", 1).WithBootstrap(test.isBootstrap).
				WithRetryLimits(dispatch.NewRetryLimits(0.2, 100, 10*time.Second)))
			s.countRetrySharers(now.Add(test.without-time.Millisecond), nil)
			So(s.retrySharers.count, ShouldEqual, 0)
			s.countRetrySharers(now.Add(test.without), nil)
			So(s.retrySharers.count, ShouldEqual, 1)
		})
	}
}
