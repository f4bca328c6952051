package gateway

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/pkg/peer"
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

func TestEvidenceOfSuspendedDaemon(t *testing.T) {
	Convey("A daemon whose instance was suspended drops its evidence and its leader, as after a freeze of the same length", t, func() {
		f := newFleet(smallFleet(), time.Minute)
		f.run(8 * time.Second)
		for i, d := range f.daemons {
			So(d.members.leader, ShouldNotBeEmpty)
			suspension := 2 * time.Second
			if i%2 == 0 {
				suspension = 4 * time.Second
			}
			reset := false
			for _, effect := range d.Reduce(f.now, NewSuspended(suspension)) {
				sent, isPeer := effect.(PeerEffect)
				if isPeer {
					_, isReset := sent.Effect().(peer.ResetLinks)
					reset = reset || isReset
				}
			}
			So(reset, ShouldEqual, suspension > 3*time.Second)
			So(d.members.leader == "", ShouldEqual, suspension > 3*time.Second)
		}
	})
}
