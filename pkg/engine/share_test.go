package engine

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// relativeShare returns the number of attempts that one engine got between two times, divided by the mean over all
// engines.
func (f *fleet) relativeShare(engine int, begin, end time.Time) float64 {
	count, all := 0, 0
	for _, p := range f.invariants.placements {
		if p.at.Before(begin) || !p.at.Before(end) {
			continue
		}
		all++
		if p.replica == f.engines[engine].upstream.replica {
			count++
		}
	}
	return float64(count) * float64(len(f.engines)) / float64(max(all, 1))
}

func TestSlowReplicaShare(t *testing.T) {
	Convey("A slow engine keeps less than half of its share, but still gets calls", t, func() {
		var f *fleet
		loadRun{load: 0.6, seed: 5, newRouter: newState, prepare: func(created *fleet) { f = created; slowEngine(created) }}.run()
		for window := measuredWarmUp; window < measuredWarmUp+measuredDuration; window += 9 * time.Second {
			share := f.relativeShare(7, f.start.Add(window), f.start.Add(window+9*time.Second))
			t.Logf("after %v: %.2f", window, share)
			So(share, ShouldBeLessThan, 0.5)
		}
		So(f.relativeShare(7, f.start.Add(measuredWarmUp), f.now), ShouldBeGreaterThan, 0)
	})
}

func TestReturningReplicaRampsUp(t *testing.T) {
	Convey("An engine that restarts gets its share gradually", t, func() {
		var f *fleet
		loadRun{load: 0.6, seed: 6, newRouter: newState, prepare: func(created *fleet) {
			f = created
			f.after(measuredWarmUp, f.engines[7].crash)
			f.after(measuredWarmUp+10*time.Second, f.engines[7].restart)
		}}.run()
		restartedAt := f.start.Add(measuredWarmUp + 10*time.Second)
		early := f.relativeShare(7, restartedAt, restartedAt.Add(3*time.Second))
		late := f.relativeShare(7, restartedAt.Add(12*time.Second), restartedAt.Add(30*time.Second))
		t.Logf("first 3 s %.2f, from 12 s on %.2f", early, late)
		So(early, ShouldBeLessThan, 0.5)
		So(late, ShouldBeGreaterThan, 0.5)
	})
}

func TestLocalPreferred(t *testing.T) {
	Convey("Most calls stay in their data centre while it has free slots", t, func() {
		var f *fleet
		loadRun{load: 0.6, seed: 7, newRouter: newState, prepare: func(created *fleet) { f = created }}.run()
		local := 0
		for _, p := range f.invariants.placements {
			if p.isLocal {
				local++
			}
		}
		share := float64(local) / float64(len(f.invariants.placements))
		t.Logf("%.2f local", share)
		So(share, ShouldBeGreaterThan, 0.5)
	})
}
