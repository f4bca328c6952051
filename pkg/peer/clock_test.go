package peer

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// clockPeer is a daemon with a clock of its own.
type clockPeer struct {
	State
	name   string
	offset time.Duration // of its clock
}

func newClockPeer(name string, now time.Time, offset time.Duration) *clockPeer {
	p := &clockPeer{name: name, offset: offset}
	p.Reduce(now.Add(offset), NewConfigured(NewSettings(name, name+":1", name+":2", "c", 1)))
	return p
}

// introduceTo opens a link to another peer, and delivers the message that it sends then.
func (p *clockPeer) introduceTo(now time.Time, other *clockPeer) {
	deliver := func(effects []Effect) {
		for _, effect := range effects {
			if send, isSend := effect.(Send); isSend && send.Name() == other.name {
				other.Reduce(now.Add(other.offset), NewReceived(p.name, send.Message(), 0))
			}
		}
	}
	other.Reduce(now.Add(other.offset), NewLinkOpened(p.name, p.name+":1"))
	deliver(p.Reduce(now.Add(p.offset), NewLinkOpened(other.name, other.name+":1")))
}

func (p *clockPeer) incarnationOf(now time.Time, name string) uint64 {
	for _, m := range p.Members(now.Add(p.offset)) {
		if m.Name() == name {
			return m.Incarnation()
		}
	}
	return 0
}

// TestRestartAfterBackwardClockStep guards against a daemon that its peers shut out, since it started again with an earlier clock.
func TestRestartAfterBackwardClockStep(t *testing.T) {
	const step = -3 * time.Second
	for name, isClosed := range map[string]bool{"closed": true, "still open": false} {
		Convey("A daemon that starts again with an earlier clock is listed at once by its peers, while the link of its earlier start is "+name, t, func() {
			now := epoch
			a, before := newClockPeer("a", now, 0), newClockPeer("b", now, 0)
			before.introduceTo(now, a)
			first := a.incarnationOf(now, "b")
			So(first, ShouldEqual, now.UnixMilli())
			now = now.Add(time.Second)
			if isClosed {
				a.Reduce(now, NewLinkClosed("b", "b:1"))
			}
			after := newClockPeer("b", now, step)
			after.introduceTo(now, a)
			So(a.incarnationOf(now, "b"), ShouldEqual, now.Add(step).UnixMilli())

			earlier := before.memberInfoOf(now, before.self)
			a.acceptMemberInfo(now.Add(time.Millisecond), 0, earlier, false) // as others still know it
			So(a.incarnationOf(now, "b"), ShouldEqual, now.Add(step).UnixMilli())
			again := newClockPeer("b", now.Add(time.Second), step)
			a.acceptMemberInfo(now.Add(time.Second), 0, again.memberInfoOf(now.Add(time.Second+step), again.self), false)
			So(a.incarnationOf(now.Add(time.Second), "b"), ShouldEqual, now.Add(time.Second+step).UnixMilli())
		})
	}

	Convey("A peer that hears of it from others lists it when the heartbeats of its earlier start have expired", t, func() {
		now := epoch
		a, before := newClockPeer("a", now, 0), newClockPeer("b", now, 0)
		before.introduceTo(now, a)
		now = now.Add(time.Second)
		after := newClockPeer("b", now, step)
		hear := func() {
			info := after.memberInfoOf(now.Add(step), after.self)
			info.age = 0
			a.acceptMemberInfo(now, 0, info, false)
		}
		hear()
		So(a.incarnationOf(now, "b"), ShouldEqual, epoch.UnixMilli())
		now = now.Add(minEvidenceTTL + time.Second)
		hear()
		So(a.incarnationOf(now, "b"), ShouldEqual, epoch.Add(time.Second+step).UnixMilli())
	})

	Convey("A late message of the earlier start does not bring it back", t, func() {
		now := epoch
		a, before := newClockPeer("a", now, 0), newClockPeer("b", now, 0)
		late := Message{from: "b", incarnation: before.self.incarnation, number: 9, members: []memberInfo{before.memberInfoOf(now, before.self)}}
		now = now.Add(time.Second)
		after := newClockPeer("b", now, 0)
		after.introduceTo(now, a)
		a.Reduce(now.Add(time.Millisecond), NewReceived("b", late, 0))
		So(a.incarnationOf(now, "b"), ShouldEqual, epoch.Add(time.Second).UnixMilli())
	})
}
