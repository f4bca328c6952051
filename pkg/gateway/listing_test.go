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
	Convey("Given a list of two upstreams", t, func() {
		l := listing{}
		l.apply(now, NewListed([]Upstream{entry("a"), entry("b")}), 0)

		Convey("an upstream that is reported as removed is gone at once", func() {
			_, gone := l.apply(now.Add(time.Second), NewListChanges(nil, []replica.ID{"a"}), 0)
			So(gone, ShouldResemble, []replica.ID{"a"})
		})

		Convey("an upstream that expired during an outage of the store is kept for two seconds after it, and no longer", func() {
			l.unavailable = true
			recovered := now.Add(5 * time.Second)
			l.storeRecoveredAt = recovered
			_, gone := l.apply(recovered, NewListed([]Upstream{entry("b")}), 0)
			So(gone, ShouldBeEmpty)
			So(l.expire(recovered.Add(absentGraceAfterOutage-time.Millisecond)), ShouldBeEmpty)
			So(l.expire(recovered.Add(absentGraceAfterOutage)), ShouldResemble, []replica.ID{"a"})
		})

		Convey("an upstream that another reader's list lacks is gone by the end of its grace period, however often that list is received", func() {
			gone := []replica.ID{}
			for step := range 10 {
				at := now.Add(time.Second + time.Duration(step)*200*time.Millisecond)
				_, lost := l.apply(at, NewListed([]Upstream{entry("b")}), absentGraceOtherReader)
				if gone = append(gone, lost...); len(gone) > 0 {
					So(at.Sub(now.Add(time.Second)), ShouldBeLessThanOrEqualTo, absentGraceOtherReader)
					break
				}
			}
			So(gone, ShouldResemble, []replica.ID{"a"})
		})
	})
}
