package quantity

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestNumbersBeyondRange(t *testing.T) {
	for _, test := range []struct {
		value    float64
		count    int
		duration time.Duration
	}{
		{0, 0, 0},
		{1.9, 1, 1900 * time.Millisecond},
		{-1.5, 0, -1500 * time.Millisecond},
		{math.NaN(), 0, 0},
		{math.Inf(1), MaxCount, MaxDuration},
		{math.Inf(-1), 0, -MaxDuration},
		{5e14, MaxCount, MaxDuration},
		{math.MaxInt64, MaxCount, MaxDuration},
		{math.MaxFloat64, MaxCount, MaxDuration},
		{-math.MaxFloat64, 0, -MaxDuration},
		{MaxCount - 1, MaxCount - 1, MaxDuration},
		{math.SmallestNonzeroFloat64, 0, 0},
	} {
		Convey(fmt.Sprintf("%v is the count %d, and as seconds %v", test.value, test.count, test.duration), t, func() {
			So(Count(test.value), ShouldEqual, test.count)
			So(Seconds(test.value), ShouldEqual, test.duration)
			So(Duration(test.value, time.Second), ShouldEqual, test.duration)
		})
	}
	Convey("Zero times infinity is no duration", t, func() {
		So(Duration(math.Inf(1), 0), ShouldEqual, 0)
		So(Milliseconds(math.MaxInt64), ShouldEqual, MaxDuration)
	})
	Convey("Integers beyond the range are limited", t, func() {
		So([]int{Limit(math.MinInt64), Limit(7), Limit(math.MaxInt64)}, ShouldResemble, []int{0, 7, MaxCount})
	})
	Convey("A million of the highest counts and a hundred of the longest durations can be added", t, func() {
		So(int64(MaxCount)*1_000_000, ShouldBeGreaterThan, int64(MaxCount))
		So(MaxDuration*100/100, ShouldEqual, MaxDuration)
	})
}
