package engine

import (
	"testing"
	"time"

	"github.com/azurepond/azurepond/pkg/caller"
	. "github.com/smartystreets/goconvey/convey"
)

const (
	poisonFingerprint = 666
	// resendInterval is how long callers wait before they resend a call that crashed an engine.
	resendInterval = 700 * time.Millisecond
	resendCount    = 20
)

// poisonRun runs the fake fleet while callers send poisonous contents repeatedly to all daemons. Each of these contents
// crashes every engine that runs it.
func poisonRun(seed uint64, poisonous int, interval time.Duration, newRouter func(int) router) *fleet {
	f := newFleet(seed, chaosEngines)
	f.poisonous = map[uint64]bool{}
	for i := range poisonous {
		f.poisonous[poisonFingerprint+uint64(i)] = true
	}
	f.startDaemons(fleetConfig{chaosDaemons, measuredOrganisations(), newRouter, false})
	for id := caller.ID(1); id <= caller.ID(chaosRate*chaosDuration.Seconds()); id++ {
		wantTokens := 1 + f.random.IntN(2*measuredMeanTokens)
		d := f.daemons[f.random.IntN(len(f.daemons))]
		f.after(f.randomDelay(), func() {
			call := caller.NewCall(id, caller.Model, fakeModel, "o1", f.now.Add(2*chaosTimeout)).WithIdempotent()
			d.arrive(call.WithHashes(uint64(id)<<8, nil), wantTokens)
		})
	}
	for i := range resendCount {
		d := f.daemons[f.random.IntN(len(f.daemons))]
		f.after(5*time.Second+time.Duration(i)*interval, func() {
			call := caller.NewCall(caller.ID(100_000+i), caller.Model, fakeModel, "o2", f.now.Add(2*chaosTimeout))
			d.arrive(
				call.WithIdempotent().WithHashes(poisonFingerprint+uint64(i%poisonous), []uint64{poisonFingerprint}),
				measuredMeanTokens,
			)
		})
	}
	f.runUntil(f.now.Add(chaosDuration + 2*chaosTimeout + 5*time.Second))
	f.invariants.checkFinished(f)
	return f
}

// answeredHarmless returns how many of the calls without poisonous content were answered, and their number.
func (f *fleet) answeredHarmless() (answered, all int) {
	for _, r := range f.results {
		if f.poisonous[r.call.Fingerprint()] {
			continue
		}
		all++
		if _, isAnswered := r.outcome.(caller.Answered); isAnswered {
			answered++
		}
	}
	return answered, all
}

func TestPoisonousRequests(t *testing.T) {
	Convey("Each poisonous content crashes at most two replicas, and all other calls are answered", t, func() {
		for seed := range uint64(20) {
			for poisonous := 1; poisonous <= 2; poisonous++ {
				f := poisonRun(seed, poisonous, resendInterval, newState)
				answered, all := f.answeredHarmless()
				So(f.invariants.violations, ShouldBeEmpty)
				So(f.crashes, ShouldBeLessThanOrEqualTo, 2*poisonous)
				So(answered, ShouldEqual, all)
			}
		}
	})
	Convey("Without suspicions a poisonous content crashes more than two replicas", t, func() {
		f := poisonRun(1, 1, resendInterval, newStateWithoutSuspicions)
		So(f.crashes, ShouldBeGreaterThan, 2)
	})
}

// newStateWithoutSuspicions returns a mutant that treats a crash as a broken stream.
func newStateWithoutSuspicions(int) router {
	return mutant{&State{}, func(e Event) Event {
		if f, isFailed := e.(Failed); isFailed && (f.failure == Crashed || f.failure == Halted) {
			return NewFailed(f.attempt, Broken, f.tokens)
		}
		return e
	}, nil}
}

// BenchmarkPoisonousBurst measures how many replicas crash when copies of a poisonous content run before the first
// crash is known. Suspicions can't prevent these crashes.
func BenchmarkPoisonousBurst(b *testing.B) {
	for _, interval := range []time.Duration{0, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond} {
		b.Run(interval.String(), func(b *testing.B) {
			sum, worst := 0, 0
			for i := range b.N {
				f := poisonRun(uint64(i), 1, interval, newState)
				sum += f.crashes
				worst = max(worst, f.crashes)
			}
			b.ReportMetric(float64(sum)/float64(b.N), "replicas/op")
			b.ReportMetric(float64(worst), "worst")
		})
	}
}
