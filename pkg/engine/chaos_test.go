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
	chaosWorkers = 24
	chaosDaemons = 8
	chaosTime    = 20 * time.Second
	chaosLimit   = 20 * time.Second
	chaosRate    = 24.0
)

// variant is State with its effects changed, to show that the checks find what they look for.
type variant struct {
	*State
	events  func(Event) Event
	effects func(Effect) Effect
}

// Reduce reduces the changed event and returns the changed effects.
func (v variant) Reduce(now time.Time, r Replicas, e Event) []Effect {
	if v.events != nil {
		e = v.events(e)
	}
	effects := v.State.Reduce(now, r, e)
	for i := range effects {
		if v.effects != nil {
			effects[i] = v.effects(effects[i])
		}
	}
	return effects
}

// chaos runs a seeded list of calls and faults: engines die and return, turn slow, drain, and are
// out of sight for a while; streams break, cross and
// stall; late reports of dead attempts come; callers leave; some calls aren't idempotent.
func chaos(seed uint64, routes func(int) router) *fleet {
	f := newFleet(seed, chaosWorkers)
	f.chaos = true
	f.checks.drained = map[instance.ReplicaID]bool{}
	f.start(setup{chaosDaemons, measuredOrganisations(), routes, false})
	end := f.now.Add(chaosTime)
	for id := caller.ID(1); id <= caller.ID(chaosRate*chaosTime.Seconds()); id++ {
		f.chaoticCall(id)
	}
	for range 8 {
		w := f.workers[f.random.IntN(chaosWorkers)]
		f.after(f.someTime(), f.fault(w))
	}
	f.runUntil(end.Add(chaosLimit + 5*time.Second))
	f.checks.end(f)
	return f
}

func (f *fleet) someTime() time.Duration {
	return time.Duration(f.random.Int64N(int64(chaosTime)))
}

func (f *fleet) chaoticCall(id caller.ID) {
	want := 1 + int(f.random.ExpFloat64()*measuredMean)
	d := f.daemons[f.random.IntN(len(f.daemons))]
	isIdempotent := f.random.IntN(4) > 0
	leaves := f.random.IntN(10) == 0
	begin := f.someTime()
	f.after(begin, func() {
		call := caller.NewCall(id, caller.Model, fakeModel, "o1", f.now.Add(chaosLimit)).WithContent(uint64(id)<<8, nil)
		if isIdempotent {
			call = call.WithIdempotent()
		}
		d.arrive(call, want)
	})
	if leaves {
		f.after(begin+f.someTime()/4, func() { d.caller(caller.NewLeft(id)) })
	}
}

func (f *fleet) fault(w *worker) func() {
	switch f.random.IntN(4) {
	case 0:
		return func() {
			w.crash()
			f.after(5*time.Second, w.revive)
		}
	case 1:
		return func() { w.slow = 8 }
	case 2:
		return func() {
			w.hide(true)
			f.after(3*time.Second, func() { w.hide(w.dead) })
		}
	}
	return func() {
		f.checks.drained[w.seen.replica] = true
		for _, d := range f.daemons {
			d.engine(NewDrainChanged(w.seen.replica, true))
		}
	}
}

func TestChaos(t *testing.T) {
	Convey("No seeded list of faults breaks an invariant", t, func() {
		answered, calls := 0, 0
		for seed := range uint64(20) {
			f := chaos(seed, own)
			So(fmt.Sprint(seed, f.checks.faults), ShouldEqual, fmt.Sprint(seed, []string(nil)))
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

func TestChecksFind(t *testing.T) {
	cases := []struct {
		fault   string
		events  func(Event) Event
		effects func(Effect) Effect
	}{
		{"is answered with", nil, func(e Effect) Effect {
			if f, isFinish := e.(Finish); isFinish {
				return Finish{f.id, caller.Answered{}}
			}
			return e
		}},
		{"said not to have run", nil, func(e Effect) Effect {
			if f, isFinish := e.(Finish); isFinish {
				if _, isUnknown := f.outcome.(caller.Unknown); isUnknown {
					return Finish{f.id, caller.NewNotRun(caller.Broken, 0)}
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
		{"which drains", func(e Event) Event {
			if d, isDrained := e.(DrainChanged); isDrained {
				return NewDrainChanged(d.replica, false)
			}
			return e
		}, nil},
		{"never finishes", func(e Event) Event {
			if _, isEnded := e.(Completed); isEnded {
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
	Convey("Each check finds a variant that is broken on purpose", t, func() {
		for _, c := range cases {
			f := chaos(1, func(int) router { return variant{&State{}, c.events, c.effects} })
			So(strings.Join(f.checks.faults, "\n"), ShouldContainSubstring, c.fault)
		}
	})
}
