package gateway

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/pkg/dispatch"
	"github.com/azurepond/azurepond/pkg/relay"
	"github.com/azurepond/azurepond/pkg/replica"
)

// asked returns what a daemon decides on a request of a peer.
func (s *State) asked(now time.Time, id RelayID, upstream string, isCall bool) RelayDecided {
	for _, effect := range s.Reduce(now, NewRelayRequested(id, upstream, isCall)) {
		if decided, is := effect.(RelayDecided); is {
			return decided
		}
	}
	return RelayDecided{}
}

func TestRequestsOfPeers(t *testing.T) {
	Convey("Given a daemon that lists an upstream", t, func() {
		now := time.Unix(1_700_000_000, 0)
		var s State
		s.Reduce(now, NewStarted(NewSettings("a", "c0", "1", 1).WithShutdown(NewShutdown(time.Second, time.Second, time.Minute))))
		s.watchUpstreams(readerWatchInterval)
		list := func(leaving bool) {
			s.Reduce(now, NewListChanges([]Upstream{NewUpstream("desk", 4,
				replica.NewInstance("u", "10.0.0.1:80", "c0", "", 1).WithLeaving(leaving))}, nil))
		}
		list(false)

		Convey("it passes requests to the upstream on, as many as it may at once", func() {
			for id := range RelayID(maxRelayed) {
				So(s.asked(now, id, "u", true).Address(), ShouldEqual, "10.0.0.1:80")
			}
			So(s.asked(now, maxRelayed, "u", true).Refusal(), ShouldEqual, RelayBusy)
			s.Reduce(now, NewRelayEnded(3))
			So(s.asked(now, maxRelayed, "u", true).Refusal(), ShouldEqual, NotRefused)
		})

		Convey("it passes nothing on to an upstream that is unknown, that throttles it, or to which it lost its own path", func() {
			So(s.asked(now, 1, "v", true).Refusal(), ShouldEqual, RelayUnfit)
			s.Reduce(now, NewDispatchEvent(dispatch.NewUpstreamThrottled("u", time.Second)))
			So(s.asked(now, 2, "u", true).Refusal(), ShouldEqual, RelayUnfit)
			So(s.asked(now, 3, "u", false).Refusal(), ShouldEqual, RelayUnfit)
			now = now.Add(2 * time.Second)
			So(s.asked(now, 4, "u", true).Refusal(), ShouldEqual, NotRefused)
			s.Reduce(now, NewRelayEvent(relay.NewConnectFailed("u", 0)))
			So(s.asked(now, 5, "u", true).Refusal(), ShouldEqual, RelayUnfit)
		})

		Convey("it passes orders and probes on to an upstream that leaves, but no calls", func() {
			list(true)
			So(s.asked(now, 1, "u", true).Refusal(), ShouldEqual, RelayUnfit)
			So(s.asked(now, 2, "u", false).Refusal(), ShouldEqual, NotRefused)
		})

		Convey("it passes nothing on while it is late", func() {
			s.Reduce(now, NewTicked(now))
			late := now.Add(TickInterval + maxRelayLag)
			s.Reduce(late, NewTicked(now.Add(TickInterval)))
			So(s.asked(late, 1, "u", true).Refusal(), ShouldEqual, RelayBusy)
		})

		Convey("it does not exit before the requests that it passes on have ended", func() {
			So(s.asked(now, 1, "u", true).Refusal(), ShouldEqual, NotRefused)
			isStopped := func(effects []Effect) bool {
				for _, effect := range effects {
					if _, is := effect.(Stopped); is {
						return true
					}
				}
				return false
			}
			s.Reduce(now, NewStopping(now))
			now = now.Add(2 * time.Second)
			So(isStopped(s.Reduce(now, NewTicked(now))), ShouldBeFalse)
			So(s.asked(now, 2, "u", true).Refusal(), ShouldEqual, RelayBusy)
			s.Reduce(now, NewRelayEnded(1))
			now = now.Add(TickInterval)
			So(isStopped(s.Reduce(now, NewTicked(now))), ShouldBeTrue)
		})
	})
}

func TestLeaderWithoutPaths(t *testing.T) {
	Convey("A leader that loses its paths to all engines gives up the lead within two seconds, and all agree on another one", t, func() {
		f := newFleet(cutSize(7), benchTraffic)
		f.run(cutAt)
		cut := f.byName[f.daemons[0].members.leader]
		f.cutPaths(cut, pathHangs, 1)
		f.run(cutAt + 2*time.Second)
		leaders := map[string]bool{}
		for _, d := range f.daemons {
			leaders[d.members.leader] = true
		}
		So(len(leaders), ShouldEqual, 1)
		So(leaders[cut.name], ShouldBeFalse)

		Convey("and it leads no earlier than three seconds after their return", func() {
			f.run(cutUntil)
			f.healPaths(cut)
			f.run(cutUntil + 2500*time.Millisecond)
			So(f.daemons[1].members.leader, ShouldNotEqual, cut.name)
			So(cut.relay.LostPaths(), ShouldEqual, 0)
		})
	})
}

func TestAccessOfEarlierVersion(t *testing.T) {
	Convey("A peer of an earlier version reports its access to the store only", t, func() {
		now := time.Unix(1_700_000_000, 0)
		old := decodeOutage([]byte{accessNone}, now)
		So(old, ShouldResemble, outage{access: accessNone, until: now})
		both := decodeOutage([]byte{accessFull, byte(relay.AccessNone)}, now)
		So(both, ShouldResemble, outage{paths: relay.AccessNone, until: now})
		So(decodeOutage([]byte{accessFull, 9}, now).paths, ShouldEqual, relay.AccessNone)
	})
}
