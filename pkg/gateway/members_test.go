package gateway

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestLeaderAcks(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	Convey("Given a daemon that reports demand to its leader each second", t, func() {
		m := newMembers(now, "self")
		m.leader = "leader"
		reportUntil := func(d time.Duration) {
			for at := time.Duration(0); at <= d; at += time.Second {
				m.recordReport(now.Add(at))
				m.checkLeader(now.Add(at))
			}
		}

		Convey("a leader of an earlier version, which acknowledges nothing, is kept", func() {
			reportUntil(time.Minute)
			So(m.unresponsive, ShouldBeEmpty)
		})

		Convey("a leader that has acknowledged reports is left when it stops to, until a message of it arrives", func() {
			m.leaderAcks = true
			reportUntil(2 * time.Second)
			So(m.unresponsive, ShouldBeEmpty)
			reportUntil(3 * time.Second)
			So(m.unresponsive, ShouldContainKey, "leader")
			m.recordReceived(now, "leader")
			So(m.unresponsive, ShouldBeEmpty)
		})
	})
}

func TestListWatchInterval(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	Convey("A daemon reads the list each second until it has a reader, often as a reader, and not at all with one", t, func() {
		var s State
		s.start(now, NewSettings("a", "c0", "1", 1))
		intervals := func(change func()) []time.Duration {
			change()
			s.effects = nil
			s.refreshListSync(now)
			var intervals []time.Duration
			for _, effect := range s.effects {
				if watch, isWatch := effect.(WatchUpstreams); isWatch {
					intervals = append(intervals, watch.Interval())
				}
			}
			return intervals
		}
		So(intervals(func() {}), ShouldResemble, []time.Duration{time.Second})
		So(intervals(func() {}), ShouldBeEmpty)
		So(intervals(func() { s.members.isReader = true }), ShouldResemble, []time.Duration{150 * time.Millisecond})
		withReader := func() { s.members.isReader, s.listSync.synced, s.listSync.receivedAt = false, true, now }
		So(intervals(withReader), ShouldResemble, []time.Duration{0})
	})
}
