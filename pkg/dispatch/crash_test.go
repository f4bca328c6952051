package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestCrashingRequest(t *testing.T) {
	Convey("A request that crashes each replica that runs it, and comes again at any daemon, costs three of them", t, func() {
		w := newCrowd(8, 8, false)
		w.arrivals(capacity, 20*time.Second, 1)
		for i := range 12 {
			w.after(time.Duration(i)*1500*time.Millisecond, func() { w.ask(i%8, worldLimit, crashing) })
		}
		w.run(25 * time.Second)
		So(w.crashes, ShouldEqual, crashesToRefuse)
		refused := 0
		for _, c := range w.calls {
			if c.content == crashing && c.refused {
				refused++
			}
		}
		So(refused, ShouldBeGreaterThan, 8)
	})

	Convey("Requests that were at a crash by chance are not refused for it", t, func() {
		w := newCrowd(8, 8, false)
		w.arrivals(capacity, 20*time.Second, 1)
		for i := range 12 {
			w.after(time.Duration(i)*1500*time.Millisecond, func() { w.ask(i%8, worldLimit, crashing) })
		}
		w.run(25 * time.Second)
		for _, c := range w.calls {
			So(c.content != crashing && c.reason == Poison, ShouldBeFalse)
		}
	})

	Convey("What many ask for is not refused when replicas crash under it", t, func() {
		w := newCrowd(8, 8, false)
		for i := range 200 {
			w.after(time.Duration(i)*50*time.Millisecond, func() { w.ask(i%8, worldLimit, 7) })
		}
		for i := range 6 {
			w.after(time.Duration(i+1)*time.Second, func() { w.crash(w.targets[i].name) })
		}
		w.run(15 * time.Second)
		for _, c := range w.calls {
			So(c.reason == Poison && c.refused, ShouldBeFalse)
		}
	})
}
