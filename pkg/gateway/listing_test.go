package gateway

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/pkg/replica"
)

func entry(id string) Upstream {
	return NewUpstream("desk", 6, replica.NewInstance(replica.ID(id), "10.0.0.1:1", "z", "", 1))
}

func TestListing(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	Convey("A list of two upstreams", t, func() {
		l := listing{}
		l.take(now, NewListed([]Upstream{entry("a"), entry("b")}), 0)

		Convey("loses one at once that is removed", func() {
			_, gone := l.take(now.Add(time.Second), NewListChanges(nil, []replica.ID{"a"}), 0)
			So(gone, ShouldResemble, []replica.ID{"a"})
		})

		Convey("keeps lapsed ones for two seconds after an outage of the store, and no longer", func() {
			l.broken = true
			back := now.Add(5 * time.Second)
			l.regained = back
			_, gone := l.take(back, NewListed([]Upstream{entry("b")}), 0)
			So(gone, ShouldBeEmpty)
			So(l.expire(back.Add(returnTime-time.Millisecond)), ShouldBeEmpty)
			So(l.expire(back.Add(returnTime)), ShouldResemble, []replica.ID{"a"})
		})

		Convey("takes one for gone within half of the drain time when another reader's list lacks it, however often it comes", func() {
			gone := []replica.ID{}
			for step := range 10 {
				at := now.Add(time.Second + time.Duration(step)*200*time.Millisecond)
				_, lost := l.take(at, NewListed([]Upstream{entry("b")}), otherTime)
				if gone = append(gone, lost...); len(gone) > 0 {
					So(at.Sub(now.Add(time.Second)), ShouldBeLessThanOrEqualTo, otherTime)
					break
				}
			}
			So(gone, ShouldResemble, []replica.ID{"a"})
		})
	})
}
