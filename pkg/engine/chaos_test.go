package engine

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/instance"
	. "github.com/smartystreets/goconvey/convey"
)

const (
	chaosEngines  = 24
	chaosDaemons  = 8
	chaosDuration = 20 * time.Second
	chaosTimeout  = 20 * time.Second
	chaosRate     = 24.0 // calls per second
)

// mutant is State with changed events or effects, to test that the invariant checks detect faults.
type mutant struct {
	*State
	mapEvent  func(Event) Event
	mapEffect func(Effect) Effect
}

// Reduce applies the changed event and returns the changed effects.
func (m mutant) Reduce(now time.Time, r Replicas, e Event) []Effect {
	if m.mapEvent != nil {
		e = m.mapEvent(e)
	}
	effects := m.State.Reduce(now, r, e)
	for i := range effects {
		if m.mapEffect != nil {
			effects[i] = m.mapEffect(effects[i])
		}
	}
	return effects
}

// chaos runs a seeded list of calls and faults. Engines crash and restart, slow down, drain, and are hidden from the
// daemons for some time. Streams break, stall or have the ID of another call, and failed attempts report late. Some
// callers disconnect, and some calls aren't idempotent.
func chaos(seed uint64, newRouter func(int) router) *fleet {
	f := newFleet(seed, chaosEngines)
	f.chaos = true
	f.invariants.draining = map[instance.ReplicaID]bool{}
	f.startDaemons(fleetConfig{chaosDaemons, measuredOrganisations(), newRouter, false})
	end := f.now.Add(chaosDuration)
	for id := caller.ID(1); id <= caller.ID(chaosRate*chaosDuration.Seconds()); id++ {
		f.addChaosCall(id)
	}
	for range 8 {
		e := f.engines[f.random.IntN(chaosEngines)]
		f.after(f.randomDelay(), f.randomFault(e))
	}
	f.runUntil(end.Add(chaosTimeout + 5*time.Second))
	f.invariants.checkFinished(f)
	return f
}

func (f *fleet) randomDelay() time.Duration {
	return time.Duration(f.random.Int64N(int64(chaosDuration)))
}

func (f *fleet) addChaosCall(id caller.ID) {
	wantTokens := 1 + int(f.random.ExpFloat64()*measuredMeanTokens)
	d := f.daemons[f.random.IntN(len(f.daemons))]
	isIdempotent := f.random.IntN(4) > 0
	callerLeaves := f.random.IntN(10) == 0
	begin := f.randomDelay()
	f.after(begin, func() {
		call := caller.NewCall(id, caller.Model, fakeModel, "o1", f.now.Add(chaosTimeout)).WithHashes(uint64(id)<<8, nil)
		if isIdempotent {
			call = call.WithIdempotent()
		}
		d.arrive(call, wantTokens)
	})
	if callerLeaves {
		f.after(begin+f.randomDelay()/4, func() { d.handleCallerEvent(caller.NewDisconnected(id)) })
	}
}

func (f *fleet) randomFault(e *fakeEngine) func() {
	switch f.random.IntN(4) {
	case 0:
		return func() {
			e.crash()
			f.after(5*time.Second, e.restart)
		}
	case 1:
		return func() { e.slowdown = 8 }
	case 2:
		return func() {
			e.setHidden(true)
			f.after(3*time.Second, func() { e.setHidden(e.crashed) })
		}
	}
	return func() {
		f.invariants.draining[e.upstream.replica] = true
		for _, d := range f.daemons {
			d.handleEngineEvent(NewDrainChanged(e.upstream.replica, true))
		}
	}
}

func TestChaos(t *testing.T) {
	Convey("No seeded list of faults violates an invariant", t, func() {
		answered, calls := 0, 0
		for seed := range uint64(20) {
			f := chaos(seed, newState)
			So(fmt.Sprint(seed, f.invariants.violations), ShouldEqual, fmt.Sprint(seed, []string(nil)))
			for _, r := range f.results {
				calls++
				if _, isAnswered := r.outcome.(caller.Answered); isAnswered {
					answered++
				}
			}
		}
		t.Logf("%d of %d calls answered", answered, calls)
	})
}

func TestInvariantsDetectMutants(t *testing.T) {
	cases := []struct {
		wantViolation string
		events        func(Event) Event
		effects       func(Effect) Effect
	}{
		{"is answered with", nil, func(e Effect) Effect {
			if f, isFinish := e.(Finish); isFinish {
				return Finish{f.id, caller.Answered{}}
			}
			return e
		}},
		{"its outcome is NotRun", nil, func(e Effect) Effect {
			if f, isFinish := e.(Finish); isFinish {
				if _, isUnknown := f.outcome.(caller.Unknown); isUnknown {
					return Finish{f.id, caller.NewNotRun(caller.UpstreamFailed, 0)}
				}
			}
			return e
		}},
		{"resumes at 0", nil, func(e Effect) Effect {
			if send, isSend := e.(Send); isSend {
				send.tokenOffset = 0
				return send
			}
			return e
		}},
		{"isn't idempotent", func(e Event) Event {
			if f, isFailed := e.(Failed); isFailed {
				return NewFailed(f.attempt, NotSent, f.tokens)
			}
			return e
		}, nil},
		{"which is draining", func(e Event) Event {
			if d, isDrainChanged := e.(DrainChanged); isDrainChanged {
				return NewDrainChanged(d.replica, false)
			}
			return e
		}, nil},
		{"never finishes", func(e Event) Event {
			if _, isCompleted := e.(Completed); isCompleted {
				return DrainChanged{}
			}
			return e
		}, func(e Effect) Effect {
			if _, isCancel := e.(Cancel); isCancel {
				return ResyncCache{}
			}
			return e
		}},
	}
	Convey("Each invariant check detects a mutant", t, func() {
		for _, c := range cases {
			f := chaos(1, func(int) router { return mutant{&State{}, c.events, c.effects} })
			So(strings.Join(f.invariants.violations, "\n"), ShouldContainSubstring, c.wantViolation)
		}
	})
}
