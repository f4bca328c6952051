package reducer

import (
	"fmt"
	"testing"
	"time"

	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/engine"
)

// settled returns the only daemon of a world with that many engines, half of them in replicas.
func newSettledHarness(engines int) (*harness, *fakeDaemon) {
	w := newHarness(1, engines)
	w.run(2 * time.Second)
	w.apply("d1", engines/(2*replicaSize), 0)
	w.run(15 * time.Second)
	return w, w.daemons["d1"]
}

// BenchmarkTick measures one tick of a whole daemon, by the number of instances.
func BenchmarkTick(b *testing.B) {
	for _, engines := range []int{50, 150, 300, 600} {
		b.Run(fmt.Sprintf("instances=%d", engines), func(b *testing.B) {
			w, d := newSettledHarness(engines)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				w.now = w.now.Add(time.Millisecond)
				if i%1000 == 0 {
					b.StopTimer()
					w.run(time.Second)
					b.StartTimer()
				}
				d.state.Reduce(w.now, NewTicked())
			}
		})
	}
}

// BenchmarkCall measures the events of one model call from its arrival to its end, by the number of instances.
func BenchmarkCall(b *testing.B) {
	for _, engines := range []int{50, 150, 300, 600} {
		b.Run(fmt.Sprintf("instances=%d", engines), func(b *testing.B) {
			w, d := newSettledHarness(engines)
			failed := 0
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				if i%1000 == 0 {
					b.StopTimer()
					w.run(time.Second)
					b.StartTimer()
				}
				if !w.complete(d, caller.ID(i+1)) {
					failed++
				}
			}
			b.ReportMetric(float64(failed), "failed")
		})
	}
}

// complete runs one call through the reducer and reports whether it was answered.
func (w *harness) complete(d *fakeDaemon, id caller.ID) bool {
	call := caller.NewCall(id, caller.Model, "drafts", "cloakroom", w.now.Add(10*time.Second)).
		WithIdempotent().
		WithHashes(uint64(id), nil)
	for _, effect := range d.state.Reduce(w.now, CallerEvent{caller.NewArrived(call)}) {
		to, isEngine := effect.(EngineEffect)
		if !isEngine {
			continue
		}
		if send, isSend := to.Effect().(engine.Send); isSend {
			d.state.Reduce(w.now, EngineEvent{engine.NewStarted(send.Attempt())})
			return len(d.state.Reduce(w.now, EngineEvent{engine.NewCompleted(send.Attempt())})) > 0
		}
	}
	return false
}
