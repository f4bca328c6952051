package service

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/pkg/caller"
)

// naive is one process that never fails and remembers every key: what all daemons together shall look like.
type naive struct{ contents map[string]uint64 }

func (n *naive) submit(key string, content uint64, age time.Duration) string {
	known, exists := n.contents[key]
	switch {
	case age > MaxKeyAge || age < -MaxClockSkew:
		return "not run, " + string(caller.KeyExpired)
	case exists && known != content:
		return "not run, " + string(caller.KeyInUse)
	}
	n.contents[key] = content
	return "answered"
}

func TestLikeOneProcess(t *testing.T) {
	Convey("Without failures, daemons that share nothing but the store answer like one process that remembers all", t,
		func() {
			for seed := range uint64(20) {
				w := newWorld(seed, 3, false, nil)
				reference := naive{map[string]uint64{}}
				draw := rand.New(rand.NewPCG(seed, 2))
				for step := range 60 {
					at := w.now.Add(-time.Duration(draw.IntN(4000)-150) * time.Second)
					b := &booking{key: keyAt(at, fmt.Sprintf("n%d", step))}
					content := uint64(draw.IntN(2))
					for range 1 + draw.IntN(3) {
						s := w.submitContent(w.daemons[draw.IntN(3)], b, "keyed", 10*time.Second, content)
						expected := reference.submit(b.key, content, w.now.Sub(at.Truncate(time.Millisecond)))
						w.run(2 * time.Second)
						So(s.ended, ShouldEqual, expected)
						content = uint64(draw.IntN(2))
					}
				}
				So(w.problems, ShouldBeEmpty)
			}
		})
}

func TestDrain(t *testing.T) {
	Convey("An upstream that is leaving gets no call from the event on, and what runs there goes on", t, func() {
		w := newWorld(1, 1, false, nil)
		d := w.daemons[0]
		s := w.submit(d, &booking{key: "r"}, "read", time.Minute)
		w.leaving = "u2"
		d.state.Reduce(w.now, NewUpstreamsChanged("desk", NewUpstream("u1", "athens", 0),
			NewUpstream("u2", "athens", 0).WithLeaving(), NewUpstream("u3", "patras", 0)))
		for range 200 {
			w.submit(d, &booking{key: "r"}, "read", time.Minute)
		}
		w.run(2 * time.Minute)
		So(s.ended, ShouldEqual, "answered")
		So(w.problems, ShouldBeEmpty)
		So(d.started, ShouldEqual, 201)
	})
}

func TestRetryBudget(t *testing.T) {
	Convey("When all answers break, retries stay within a tenth of the calls and a burst of ten", t, func() {
		w := newWorld(1, 1, false, func(e Event) Event {
			if replied, isReplied := e.(Replied); isReplied {
				return NewFailed(replied.attempt, AnswerIncomplete)
			}
			return e
		})
		const calls = 1000
		for range calls {
			w.submit(w.daemons[0], &booking{key: "r"}, "read", time.Minute)
			w.run(100 * time.Millisecond)
		}
		w.run(2 * time.Minute)
		So(w.daemons[0].started, ShouldBeLessThanOrEqualTo, calls+calls/10+10)
		So(w.daemons[0].started, ShouldBeGreaterThan, calls)
	})
}
