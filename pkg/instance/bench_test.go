package instance

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// sizes are the numbers of instances over which the slopes are measured.
var instanceCounts = []int{50, 150, 300, 600}

// benchState returns a daemon that has formed all replicas of span 8 over that many instances.
func benchState(instances int) (*harness, *fakeDaemon) {
	models := []Model{NewModel("big", "p", 8, instances/8)}
	s := NewSettings("", 1, models).WithWeightStore(1000, 1)
	var rows []Instance
	for i := range instances {
		id := ID(fmt.Sprintf("i%04d", i))
		domain := fmt.Sprint(i / 50)
		rows = append(rows, NewInstance(id, "10.0.0.1:8000", "d"+domain, "c"+domain, 4))
	}
	r := newHarness(s, 1, rows, true, time.Second)
	r.skipChecks = true
	r.run(time.Minute, nil)
	return r, r.daemons[0]
}

func benchSizes(b *testing.B, run func(b *testing.B, r *harness, d *fakeDaemon)) {
	for _, size := range instanceCounts {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			r, d := benchState(size)
			b.ReportAllocs()
			b.ResetTimer()
			run(b, r, d)
		})
	}
}

// BenchmarkSighted is the cost of one sighting that says nothing new.
func BenchmarkSighted(b *testing.B) {
	benchSizes(b, func(b *testing.B, r *harness, d *fakeDaemon) {
		for i := range b.N {
			f := r.engines[r.order[i%len(r.order)]]
			d.state.Reduce(r.now, NewProbed(f.probe("a", r.now)))
		}
	})
}

// BenchmarkTickedHolder is the cost of one tick of the holder of the lease with nothing to repair.
func BenchmarkTickedHolder(b *testing.B) {
	benchSizes(b, func(b *testing.B, r *harness, d *fakeDaemon) {
		for range b.N {
			d.state.Reduce(r.now, NewTicked())
		}
	})
}

// BenchmarkTickedPlan is the cost of one tick of the holder of the lease that plans anew.
func BenchmarkTickedPlan(b *testing.B) {
	benchSizes(b, func(b *testing.B, r *harness, d *fakeDaemon) {
		for range b.N {
			d.state.requestPlans()
			d.state.Reduce(r.now, NewTicked())
		}
	})
}

// BenchmarkTickedOther is the cost of one tick of a daemon without the lease.
func BenchmarkTickedOther(b *testing.B) {
	benchSizes(b, func(b *testing.B, r *harness, d *fakeDaemon) {
		r.feed(d, NewConfigured(d.state.settings.WithObserver(true)))
		r.run(10*time.Second, nil)
		b.ResetTimer()
		for range b.N {
			d.state.Reduce(r.now, NewTicked())
		}
	})
}

// BenchmarkRecorded is the cost of taking over a record from a peer.
func BenchmarkRecorded(b *testing.B) {
	benchSizes(b, func(b *testing.B, r *harness, d *fakeDaemon) {
		p := d.state.pools[0]
		next := *p.record
		b.ReportMetric(float64(len(p.recordData)), "record-bytes")
		for range b.N {
			b.StopTimer()
			next.revision++
			data := encodeRecord(&next)
			b.StartTimer()
			d.state.Reduce(r.now, NewRecordReceived("p", uint64(next.revision), data))
		}
		b.ReportMetric(float64(len(p.recordData)), "record-bytes")
	})
}

// BenchmarkListed is the cost of an instance list that says nothing new.
func BenchmarkListed(b *testing.B) {
	benchSizes(b, func(b *testing.B, r *harness, d *fakeDaemon) {
		var rows []Instance
		for _, id := range r.order {
			rows = append(rows, r.engines[id].row)
		}
		for range b.N {
			d.state.Reduce(r.now, NewListed(rows))
		}
	})
}

// BenchmarkMemory is the heap that one daemon's state holds.
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
