package gateway

import (
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/pkg/dispatch"
	"github.com/azurepond/azurepond/pkg/replica"
)

func TestMalformedLimitMessages(t *testing.T) {
	for _, perSecond := range []float64{-1, math.NaN(), math.Inf(1)} {
		Convey("A limit that is not a rate is refused", t, func() {
			data, err := encodeValues([]any{"i-1", perSecond})
			So(err, ShouldBeNil)
			_, err = decodeSlotMessage(limitTopic, "a", data)
			So(err, ShouldNotBeNil)
		})
	}
}

func TestSharedLimit(t *testing.T) {
	Convey("Given a fleet in which one daemon has got the limit of an upstream", t, func() {
		f := newFleet(mediumFleet(), time.Minute)
		f.run(8 * time.Second)
		first := f.daemons[4]
		share := func(perSecond float64) {
			f.feed(first, NewDispatchEvent(dispatch.NewLimitReported("i-0001", perSecond, "another")))
			f.run(f.now.Sub(fleetEpoch) + 2*time.Second)
		}
		count := func() int {
			limited := 0
			for _, d := range f.daemons {
				if d.dispatch.IsLimited("i-0001") {
					limited++
				}
			}
			return limited
		}
		share(2.5)

		Convey("all daemons know it within seconds, and its end too", func() {
			So(count(), ShouldEqual, len(f.daemons))
			share(0)
			So(count(), ShouldEqual, 0)
		})

		Convey("a daemon that starts again knows it within seconds", func() {
			f.restart(f.daemons[9])
			f.run(f.now.Sub(fleetEpoch) + 2*time.Second)
			So(count(), ShouldEqual, len(f.daemons))
		})

		Convey("suspicions lead to probes of it only now and then", func() {
			id, d := replica.ID("i-0001"), f.daemons[9]
			So(d.maySuspect(f.now, id), ShouldBeTrue)
			So(d.maySuspect(f.now.Add(time.Second), id), ShouldBeFalse)
			So(d.maySuspect(f.now.Add(limitedProbeInterval), id), ShouldBeTrue)
			share(0)
			So(d.maySuspect(f.now, id), ShouldBeTrue)
			So(d.maySuspect(f.now, id), ShouldBeTrue)
		})
	})
}
