package peer

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestCapacity(t *testing.T) {
	Convey("The resource class of each daemon reaches all others, and stays the same when the daemon leaves", t, func() {
		class := uint8(0)
		f := newFleet(12, 0, 3, 1, func(s Settings) Settings {
			class++
			return s.WithCapacity(class * 20)
		})
		f.run(10*time.Second, nil)
		f.deliver(4, NewLeaving())
		f.run(5*time.Second, nil)
		for i := range f.nodes {
			members := f.nodes[i].Members(f.now)
			So(len(members), ShouldEqual, 12)
			for j, member := range members {
				So(member.Capacity(), ShouldEqual, (j+1)*20)
				So(member.Leaving(), ShouldEqual, j == 4)
			}
		}
	})
}
