package instance

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// instanceCounts are the fleet sizes of the benchmarks. They show how the costs grow with the number of instances.
var instanceCounts = []int{50, 150, 300, 600}

// benchState returns a daemon that has formed all replicas of span 8 over that many instances.
func benchState(instances int) (*harness, *fakeDaemon) {
	models := []Model{NewModel("big", "p", 8, instances/8)}
	s := NewSettings("", 1, models).WithWeightStore(1000, 1)
	var listings []Instance
	for i := range instances {
		id := ID(fmt.Sprintf("i%04d", i))
		domain := fmt.Sprint(i / 50)
		listings = append(listings, NewInstance(id, "10.0.0.1:8000", "d"+domain, "c"+domain, 4))
	}
	h := newHarness(s, 1, listings, true, time.Second)
	h.skipChecks = true
	h.run(time.Minute, nil)
	return h, h.daemons[0]
}

func benchSizes(b *testing.B, run func(b *testing.B, h *harness, d *fakeDaemon)) {
	for _, size := range instanceCounts {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			h, d := benchState(size)
			b.ReportAllocs()
			b.ResetTimer()
			run(b, h, d)
		})
	}
}

// BenchmarkProbed measures one probe result without a change.
func BenchmarkProbed(b *testing.B) {
	benchSizes(b, func(b *testing.B, h *harness, d *fakeDaemon) {
		for i := range b.N {
			f := h.engines[h.engineIDs[i%len(h.engineIDs)]]
			d.state.Reduce(h.now, NewProbed(f.probe("a", h.now)))
		}
	})
}

// BenchmarkTickedHolder measures one tick of the lease holder with nothing to repair.
func BenchmarkTickedHolder(b *testing.B) {
	benchSizes(b, func(b *testing.B, h *harness, d *fakeDaemon) {
		for range b.N {
			d.state.Reduce(h.now, NewTicked())
		}
	})
}

// BenchmarkTickedPlan measures one tick of the lease holder that plans.
func BenchmarkTickedPlan(b *testing.B) {
	benchSizes(b, func(b *testing.B, h *harness, d *fakeDaemon) {
		for range b.N {
			d.state.requestPlans()
			d.state.Reduce(h.now, NewTicked())
		}
	})
}

// BenchmarkTickedOther measures one tick of a daemon without the lease.
func BenchmarkTickedOther(b *testing.B) {
	benchSizes(b, func(b *testing.B, h *harness, d *fakeDaemon) {
		h.feed(d, NewConfigured(d.state.settings.WithObserver(true)))
		h.run(10*time.Second, nil)
		b.ResetTimer()
		for range b.N {
			d.state.Reduce(h.now, NewTicked())
		}
	})
}

// BenchmarkRecordReceived measures the adoption of a record from a peer.
func BenchmarkRecordReceived(b *testing.B) {
	benchSizes(b, func(b *testing.B, h *harness, d *fakeDaemon) {
		p := d.state.pools[0]
		next := *p.record
		b.ReportMetric(float64(len(p.recordData)), "record-bytes")
		for range b.N {
			b.StopTimer()
			next.revision++
			data := encodeRecord(&next)
			b.StartTimer()
			d.state.Reduce(h.now, NewRecordReceived("p", uint64(next.revision), data))
		}
		b.ReportMetric(float64(len(p.recordData)), "record-bytes")
	})
}

// BenchmarkListed measures an instance list without a change.
func BenchmarkListed(b *testing.B) {
	benchSizes(b, func(b *testing.B, h *harness, d *fakeDaemon) {
		var listings []Instance
		for _, id := range h.engineIDs {
			listings = append(listings, h.engines[id].listing)
		}
		for range b.N {
			d.state.Reduce(h.now, NewListed(listings))
		}
	})
}

// BenchmarkMemory measures the heap that the state of one daemon holds.
func BenchmarkMemory(b *testing.B) {
	benchSizes(b, func(b *testing.B, _ *harness, d *fakeDaemon) {
		var before, after runtime.MemStats
		for range b.N {
			runtime.GC()
			runtime.ReadMemStats(&before)
			d.state = nil
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(before.HeapAlloc)-float64(after.HeapAlloc), "heap-bytes")
		}
	})
}
