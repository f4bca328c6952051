package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/azurepond/azurepond/internal/golden"
	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/instance"
)

func newFakeReplicas(count int) *fakeReplicas {
	r := &fakeReplicas{index: map[instance.ReplicaID]int{}}
	for i := range count {
		name := instance.ReplicaID(fmt.Sprintf("replica-%03d", i))
		r.index[name] = i
		upstream := NewUpstream(name, "10.0.0.1:1", fmt.Sprintf("dc%d", i%5))
		r.list = append(r.list, upstream.WithLoad(instance.NewLoad(i%8, 0, 0), golden.Epoch))
	}
	return r
}

// BenchmarkRoute measures one routing decision for a call with 32 prefix blocks.
func BenchmarkRoute(b *testing.B) {
	for _, count := range []int{60, 600} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			r := newFakeReplicas(count)
			var s State
			s.Reduce(golden.Epoch, r, NewConfigured(NewSettings("d", "dc1")))
			prefix := make([]uint64, 32)
			for i := range prefix {
				prefix[i] = uint64(i + 1)
			}
			s.Reduce(golden.Epoch, r, NewCacheReported("replica-001", 1, prefix[:16], nil))
			call := caller.NewCall(1, caller.Model, fakeModel, "o", golden.Epoch.Add(time.Minute)).WithIdempotent()
			b.ReportAllocs()
			for i := range b.N {
				s.route(golden.Epoch, r, call.WithHashes(uint64(i+1), prefix), nil)
			}
		})
	}
}

// BenchmarkCall measures a complete call with its events: submitted, started, progressed four times, completed.
func BenchmarkCall(b *testing.B) {
	for _, count := range []int{60, 600} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			r := newFakeReplicas(count)
			var s State
			s.Reduce(golden.Epoch, r, NewConfigured(NewSettings("d", "dc1")))
			b.ReportAllocs()
			for i := range b.N {
				now := golden.Epoch.Add(time.Duration(i) * time.Millisecond)
				call := caller.NewCall(caller.ID(i+1), caller.Model, fakeModel, "o", now.Add(time.Minute)).WithIdempotent()
				s.Reduce(now, r, NewSubmitted(call.WithHashes(uint64(i+1), nil)))
				s.Reduce(now, r, NewStarted(s.lastAttempt))
				for tokens := range 4 {
					s.Reduce(now, r, NewProgressed(s.lastAttempt, 8*(tokens+1)))
				}
				s.Reduce(now, r, NewCompleted(s.lastAttempt))
			}
		})
	}
}

// BenchmarkTick measures one tick with calls in flight on 600 replicas.
func BenchmarkTick(b *testing.B) {
	for _, calls := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(calls), func(b *testing.B) {
			r := newFakeReplicas(600)
			var s State
			for i := range calls {
				call := caller.NewCall(caller.ID(i+1), caller.Model, fakeModel, "o", golden.Epoch.Add(time.Hour))
				s.Reduce(golden.Epoch, r, NewSubmitted(call))
			}
			b.ReportAllocs()
			for range b.N {
				s.Reduce(golden.Epoch, r, NewTicked())
			}
		})
	}
}
