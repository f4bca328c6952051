package gateway

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestLeaderBlamedByPausedDaemon(t *testing.T) {
	Convey("Daemons that pause for less than a freeze keep their leader and their reader of the list", t, func() {
		for _, pause := range []time.Duration{1500 * time.Millisecond, 2700 * time.Millisecond} {
			size := firstStart()
			size.daemons, size.engines = 73, 111
			f := newFleet(size, benchTraffic)
			f.run(benchTraffic + time.Second)
			leader := f.daemons[0].members.leader
			var paused []*fleetDaemon
			for _, d := range f.daemons {
				if d.name != leader && !d.watching && len(paused) < 9 {
					f.freeze(d, pause)
					d.leaderChanges, d.storeCalls = nil, 0
					paused = append(paused, d)
				}
			}
			f.run(benchTraffic + 8*time.Second)
			for _, d := range paused {
				So(d.leaderChanges, ShouldBeEmpty)
				So(d.storeCalls, ShouldEqual, 0)
			}
		}
	})
}
