package service

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/pkg/caller"
)

// reference is a model of one process that never fails and stores every key. All daemons together must behave like it.
type reference struct{ fingerprints map[string]uint64 }

func (r *reference) submit(key string, fingerprint uint64, age time.Duration) string {
	known, exists := r.fingerprints[key]
	switch {
	case age > MaxKeyAge || age < -MaxClockSkew:
		return "not run, " + string(caller.KeyExpired)
	case exists && known != fingerprint:
		return "not run, " + string(caller.KeyInUse)
	}
	r.fingerprints[key] = fingerprint
	return "answered"
}

func TestMatchesReference(t *testing.T) {
	Convey("Without faults, daemons that share only the store answer like one process that stores every key", t,
		func() {
			for seed := range uint64(20) {
				sim := newSimulation(seed, 3, false, nil)
				reference := reference{map[string]uint64{}}
				draw := rand.New(rand.NewPCG(seed, 2))
				for step := range 60 {
					at := sim.now.Add(-time.Duration(draw.IntN(4000)-150) * time.Second)
					req := &clientRequest{key: keyAt(at, fmt.Sprintf("n%d", step))}
					fingerprint := uint64(draw.IntN(2))
					for range 1 + draw.IntN(3) {
						s := sim.submitWithFingerprint(
							sim.daemons[draw.IntN(3)], req, "keyed", 10*time.Second, fingerprint)
						expected := reference.submit(req.key, fingerprint, sim.now.Sub(at.Truncate(time.Millisecond)))
						sim.run(2 * time.Second)
						So(s.outcome, ShouldEqual, expected)
						fingerprint = uint64(draw.IntN(2))
					}
				}
				So(sim.violations, ShouldBeEmpty)
			}
		})
}

func TestDrain(t *testing.T) {
	Convey("An upstream that is leaving receives no new calls, and its running calls continue", t, func() {
		sim := newSimulation(1, 1, false, nil)
		d := sim.daemons[0]
		s := sim.submit(d, &clientRequest{key: "r"}, "idempotent", time.Minute)
		sim.leavingUpstream = "u2"
		d.state.Reduce(sim.now, NewUpstreamsChanged("desk", NewUpstream("u1", "athens", 0),
			NewUpstream("u2", "athens", 0).WithLeaving(), NewUpstream("u3", "patras", 0)))
		for range 200 {
			sim.submit(d, &clientRequest{key: "r"}, "idempotent", time.Minute)
		}
		sim.run(2 * time.Minute)
		So(s.outcome, ShouldEqual, "answered")
		So(sim.violations, ShouldBeEmpty)
		So(d.sends, ShouldEqual, 201)
	})
}

func TestRetryBudget(t *testing.T) {
	Convey("When all answers are incomplete, retries stay within a tenth of the calls plus a burst of ten", t, func() {
		sim := newSimulation(1, 1, false, func(e Event) Event {
			if replied, isReplied := e.(Replied); isReplied {
				return NewFailed(replied.attempt, AnswerIncomplete)
			}
			return e
		})
		const calls = 1000
		for range calls {
			sim.submit(sim.daemons[0], &clientRequest{key: "r"}, "idempotent", time.Minute)
			sim.run(100 * time.Millisecond)
		}
		sim.run(2 * time.Minute)
		So(sim.daemons[0].sends, ShouldBeLessThanOrEqualTo, calls+calls/10+10)
		So(sim.daemons[0].sends, ShouldBeGreaterThan, calls)
	})
}
