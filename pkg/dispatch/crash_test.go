package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestCrashingRequest(t *testing.T) {
	Convey("A request that crashes each replica and is retried at any daemon crashes only three", t, func() {
		cl := newCluster(8, 8, false)
		cl.arrivals(capacity, 20*time.Second, 1)
		for i := range 12 {
			cl.after(time.Duration(i)*1500*time.Millisecond, func() { cl.arriveWith(i%8, callTimeout, crashingContent) })
		}
		cl.run(25 * time.Second)
		So(cl.crashes, ShouldEqual, crashesToRefuse)
		refused := 0
		for _, c := range cl.calls {
			if c.contentHash == crashingContent && c.isRefused {
				refused++
			}
		}
		So(refused, ShouldBeGreaterThan, 8)
	})

	Convey("Requests that ran at a crashed replica by chance are not refused", t, func() {
		cl := newCluster(8, 8, false)
		cl.arrivals(capacity, 20*time.Second, 1)
		for i := range 12 {
			cl.after(time.Duration(i)*1500*time.Millisecond, func() { cl.arriveWith(i%8, callTimeout, crashingContent) })
		}
		cl.run(25 * time.Second)
		for _, c := range cl.calls {
			So(c.contentHash != crashingContent && c.reason == Poison, ShouldBeFalse)
		}
	})

	Convey("Content that many callers send is not refused when its replicas crash", t, func() {
		cl := newCluster(8, 8, false)
		for i := range 200 {
			cl.after(time.Duration(i)*50*time.Millisecond, func() { cl.arriveWith(i%8, callTimeout, 7) })
		}
		for i := range 6 {
			cl.after(time.Duration(i+1)*time.Second, func() { cl.crash(cl.targets[i].name) })
		}
		cl.run(15 * time.Second)
		for _, c := range cl.calls {
			So(c.reason == Poison && c.isRefused, ShouldBeFalse)
		}
	})
}
