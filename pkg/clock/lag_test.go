package clock

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestLag(t *testing.T) {
	start := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	at := func(d time.Duration) time.Time { return start.Add(d) }

	Convey("The longest delay of the last second counts", t, func() {
		var lag Lag
		So(lag.Recent(start), ShouldEqual, 0)
		lag.Observe(at(0), 200*time.Millisecond)
		lag.Observe(at(100*time.Millisecond), 20*time.Millisecond)
		So(lag.Recent(at(900*time.Millisecond)), ShouldEqual, 200*time.Millisecond)
		So(lag.Recent(at(1100*time.Millisecond)), ShouldEqual, 0)
		lag.Observe(at(1200*time.Millisecond), 30*time.Millisecond)
		So(lag.Recent(at(1300*time.Millisecond)), ShouldEqual, 30*time.Millisecond)
	})

	Convey("The longest delay is taken once", t, func() {
		var lag Lag
		lag.Observe(at(0), 200*time.Millisecond)
		lag.Observe(at(2*time.Second), 50*time.Millisecond)
		So(lag.TakeLongest(), ShouldEqual, 200*time.Millisecond)
		So(lag.TakeLongest(), ShouldEqual, 0)
	})
}
