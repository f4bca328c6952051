package gateway

import (
	"errors"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sys/unix"
)

func TestSuspensionUnnoticed(t *testing.T) {
	Convey("A suspension during which the steady clock stops is noticed once, and a pause of the process is none", t, func() {
		clocks := map[int32]time.Duration{unix.CLOCK_MONOTONIC: time.Hour, unix.CLOCK_BOOTTIME: 3 * time.Hour}
		c := suspensionClock{read: func(clock int32) (time.Duration, error) { return clocks[clock], nil }}
		pass := func(steady, suspended time.Duration) time.Duration {
			clocks[unix.CLOCK_MONOTONIC] += steady
			clocks[unix.CLOCK_BOOTTIME] += steady + suspended
			got, err := c.suspended()
			So(err, ShouldBeNil)
			return got
		}
		So(pass(0, 0), ShouldEqual, 0)
		So(pass(25*time.Millisecond, time.Millisecond), ShouldEqual, 0)
		So(pass(5*time.Second, 0), ShouldEqual, 0)
		So(pass(25*time.Millisecond, 4*time.Second), ShouldEqual, 4*time.Second)
		So(pass(25*time.Millisecond, 0), ShouldEqual, 0)
	})

	Convey("An error of a clock is returned", t, func() {
		c := suspensionClock{read: func(int32) (time.Duration, error) { return 0, errors.New("no clock") }}
		_, err := c.suspended()
		So(err, ShouldNotBeNil)
	})

	Convey("The clocks of this system can be read", t, func() {
		c := suspensionClock{read: readClock}
		_, err := c.suspended()
		So(err, ShouldBeNil)
	})
}
