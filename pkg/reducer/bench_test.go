package reducer

import (
	"fmt"
	"testing"
	"time"

	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/engine"
)

// newReadyHarness returns a harness with one daemon and the given number of engines, half of them in replicas, and the
// daemon.
func newReadyHarness(engines int) (*harness, *fakeDaemon) {
	h := newHarness(1, engines)
	h.run(2 * time.Second)
	h.apply("d1", engines/(2*replicaSize), 0)
	h.run(15 * time.Second)
	return h, h.daemons["d1"]
}

// BenchmarkTick measures one tick of a State, by the number of instances.
func BenchmarkTick(b *testing.B) {
	for _, engines := range []int{50, 150, 300, 600} {
		b.Run(fmt.Sprintf("instances=%d", engines), func(b *testing.B) {
			h, d := newReadyHarness(engines)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				h.now = h.now.Add(time.Millisecond)
				if i%1000 == 0 {
					b.StopTimer()
					h.run(time.Second)
					b.StartTimer()
				}
				d.state.Reduce(h.now, NewTicked())
			}
		})
	}
}

// BenchmarkCall measures all events of one model call, by the number of instances.
func BenchmarkCall(b *testing.B) {
	for _, engines := range []int{50, 150, 300, 600} {
		b.Run(fmt.Sprintf("instances=%d", engines), func(b *testing.B) {
			h, d := newReadyHarness(engines)
			failed := 0
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				if i%1000 == 0 {
					b.StopTimer()
					h.run(time.Second)
					b.StartTimer()
				}
				if !h.runCall(d, caller.ID(i+1)) {
					failed++
				}
			}
			b.ReportMetric(float64(failed), "failed")
		})
	}
}

// runCall runs one call through a State and reports whether it was answered.
func (h *harness) runCall(d *fakeDaemon, id caller.ID) bool {
	call := caller.NewCall(id, caller.Model, "drafts", "cloakroom", h.now.Add(10*time.Second)).
		WithIdempotent().
		WithHashes(uint64(id), nil)
	for _, effect := range d.state.Reduce(h.now, CallerEvent{caller.NewArrived(call)}) {
		engineEffect, isEngine := effect.(EngineEffect)
		if !isEngine {
			continue
		}
		if send, isSend := engineEffect.Effect().(engine.Send); isSend {
			d.state.Reduce(h.now, EngineEvent{engine.NewStarted(send.Attempt())})
			return len(d.state.Reduce(h.now, EngineEvent{engine.NewCompleted(send.Attempt())})) > 0
		}
	}
	return false
}
