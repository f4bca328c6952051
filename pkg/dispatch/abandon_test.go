package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/pkg/route"
)

// brokenModel is a model whose replicas can't be listed.
const brokenModel = "broken"

// brokenUpstreams panics for the calls of one model while it is broken.
type brokenUpstreams struct {
	daemonView
	isBroken bool
}

// Replicas returns the replicas of a model.
func (u brokenUpstreams) Replicas(model string) []Target {
	if model == brokenModel && u.isBroken {
		panic("invariant broken")
	}
	return u.daemonView.Replicas(model)
}

// abandonAfter applies an event that panics, and returns the effects of the abandoned call.
func abandonAfter(s *State, up Upstreams, now time.Time, e Event) (effects []Effect, isFound bool) {
	defer func() {
		So(recover(), ShouldNotBeNil)
		effects, isFound = s.Abandon(now)
	}()
	s.Reduce(now, up, e)
	return nil, false
}

// This guards against one request that ends the process, and so cuts the calls of all others.
func TestPanicCostsOneCall(t *testing.T) {
	Convey("Given calls of two models, of which one breaks an invariant", t, func() {
		cl := newCluster(1, 2, true)
		engine := route.NewEngine(replicaSlotCount, route.NewModel("m", 2, 1, 1), route.NewModel(brokenModel, 2, 1, 1)).
			WithStepTimes(6*time.Millisecond, 240*time.Microsecond, 5, 46000, 2048)
		s, up := cl.daemons[0], brokenUpstreams{daemonView{cl, 0}, false}
		s.Reduce(cl.now, up, NewConfigured(cl.config.WithServices(route.NewService("engines", "/h", 100).WithEngine(engine))))
		request := func(id ID, model string) Arrived {
			return NewArrived(NewRequest(id, "name", "pond", "/draft/x", "one").WithModel(model, 500, 100).WithTimeout(callTimeout))
		}
		sendOf := func(effects []Effect) Send {
			for _, effect := range effects {
				if send, isSend := effect.(Send); isSend {
					return send
				}
			}
			return Send{}
		}
		usual := sendOf(s.Reduce(cl.now, up, request(1, "m")))
		So(usual.Attempt(), ShouldNotEqual, 0)

		Convey("a call that was not sent is refused, and the others go on", func() {
			up.isBroken = true
			effects, isFound := abandonAfter(s, up, cl.now, request(2, brokenModel))
			So(isFound, ShouldBeTrue)
			So(effects, ShouldContain, Refuse{2, Internal, 0})
			So(s.Active(), ShouldEqual, 1)
			s.Reduce(cl.now, up, NewTicked())
			So(s.Reduce(cl.now, up, NewCompleted(usual.Attempt())), ShouldNotBeEmpty)
			So(s.Active(), ShouldEqual, 0)
		})

		Convey("a call that was sent fails, its attempt is cancelled, and a late end of it changes nothing", func() {
			sent := sendOf(s.Reduce(cl.now, up, request(2, brokenModel)))
			up.isBroken = true
			effects, isFound := abandonAfter(s, up, cl.now, NewFailed(sent.Attempt(), NotRun))
			So(isFound, ShouldBeTrue)
			So(effects, ShouldContain, Refuse{2, Internal, 0})
			So(s.Reduce(cl.now, up, NewCompleted(sent.Attempt())), ShouldBeEmpty)

			up.isBroken = false
			sent = sendOf(s.Reduce(cl.now, up, request(3, brokenModel)))
			up.isBroken = true
			effects, isFound = abandonAfter(s, up, cl.now, NewStreamStalled(sent.Attempt(), 100))
			So(isFound, ShouldBeTrue)
			So(effects, ShouldContain, Cancel{sent.Attempt()})
			So(effects, ShouldContain, Fail{3, Internal, false})
			So(s.Reduce(cl.now, up, NewFailed(sent.Attempt(), Interrupted)), ShouldBeEmpty)
			So(s.Active(), ShouldEqual, 1)
		})

		Convey("calls that wait are abandoned one by one, so that each tick makes progress", func() {
			targets := cl.targets
			cl.targets = nil
			for id := ID(2); id < 5; id++ {
				s.Reduce(cl.now, up, request(id, brokenModel))
			}
			So(s.Queued(), ShouldEqual, 3)
			cl.targets, up.isBroken = targets, true
			for left := 2; left >= 0; left-- {
				_, isFound := abandonAfter(s, up, cl.now, NewTicked())
				So(isFound, ShouldBeTrue)
				So(s.Queued(), ShouldEqual, left)
			}
			s.Reduce(cl.now, up, NewTicked())
			So(s.Active(), ShouldEqual, 1)
		})

		Convey("a request of another daemon for a slot is forgotten", func() {
			up.isBroken = true
			wish := NewSlotRequest(7, NewShard(brokenModel, 1), 500).WithUrgency(0, time.Second, time.Second)
			_, isFound := abandonAfter(s, up, cl.now, NewSlotRequested("other", wish))
			So(isFound, ShouldBeTrue)
			s.Reduce(cl.now, up, NewTicked())
			So(s.SlotWaiters(), ShouldEqual, 0)
		})

		Convey("a panic that is about no call is not contained", func() {
			_, isFound := s.Abandon(cl.now)
			So(isFound, ShouldBeFalse)
		})
	})
}
