package peer

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"
)

// The phases of a measurement, in the time of the fleet.
const (
	settleTime  = 40 * time.Second
	measureTime = 20 * time.Second
	findTime    = 60 * time.Second
	costTime    = 20 * time.Second
)

// configBytes is the size of the configuration that is spread.
const configBytes = 40_000

// BenchmarkFleet runs real reducers and the real codec in one process and reports, per daemon and second of the fleet's
// time: bytes with framing, events, processor time; then memory, the seconds until all know a death, until a
// configuration is in force everywhere, and until it is after a partition, and the bytes that each of these costs.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []struct{ daemons, upstreams, centres int }{
		{8, 50, 3}, {64, 50, 5}, {64, 600, 5}, {330, 50, 5}, {330, 600, 5},
	} {
		for _, loss := range []float64{0, 0.01, 0.1} {
			name := fmt.Sprintf("daemons=%d/upstreams=%d/loss=%v%%", size.daemons, size.upstreams, loss*100)
			b.Run(name, func(b *testing.B) {
				for range b.N {
					measure(b, size.daemons, size.upstreams, size.centres, loss)
				}
			})
		}
	}
}

func measure(b *testing.B, daemons, upstreams, centres int, loss float64) {
	f := newFleet(daemons, upstreams, centres, 1)
	f.loss = loss
	f.run(settleTime, nil)
	f.reset()
	var ages []time.Duration
	for range int(measureTime / time.Second) {
		f.clock = time.Now
		f.run(time.Second, nil)
		f.clock = nil
		ages = f.evidenceAges(ages)
	}
	f.report(b, measureTime)
	slices.Sort(ages)
	b.ReportMetric(ages[len(ages)*999/1000].Seconds(), "p99.9age-s")
	b.ReportMetric(ages[len(ages)-1].Seconds(), "maxage-s")
	steady := f.traffic() / measureTime.Seconds()
	b.ReportMetric(float64(heapBytes())/float64(daemons)/1e6, "MB/daemon")

	b.ReportMetric(f.cost(steady, func() {
		f.workers["worker-007"].dead = true
		known, _ := f.run(findTime, func() bool { return f.believing("worker-007", false) == daemons })
		b.ReportMetric(known.Seconds(), "death-s")
	}), "deathB")
	b.ReportMetric(f.cost(steady, func() {
		f.write(2, configBytes)
		inForce, _ := f.run(findTime, func() bool { return f.inForce(2) == daemons })
		b.ReportMetric(inForce.Seconds(), "config-s")
	}), "configB")
	b.ReportMetric(f.cost(steady, func() { f.restart(daemons / 2) }), "restartB")
	b.ReportMetric(f.part(centres).Seconds(), "heal-s")
	runtime.KeepAlive(f)
}

// evidenceAges appends the ages of what each daemon believes of each upstream.
func (f *fleet) evidenceAges(ages []time.Duration) []time.Duration {
	for _, n := range f.nodes {
		for _, s := range n.beliefs {
			ages = append(ages, f.now.Sub(s.At()))
		}
	}
	return ages
}

// part separates the first two data centres from the others for a minute, accepts a configuration meanwhile, and
// returns how long it takes after the healing until it is in force everywhere.
func (f *fleet) part(centres int) time.Duration {
	left := func(node int) bool { return node%centres < 2 }
	f.blocked = func(from, to int) bool { return left(from) != left(to) }
	f.breakStore(func(node int) bool { return !left(node) })
	f.run(time.Minute, nil)
	f.write(3, configBytes)
	f.run(time.Minute/4, nil)
	f.blocked = func(int, int) bool { return false }
	healed, _ := f.run(findTime, func() bool { return f.inForce(3) == len(f.nodes) })
	return healed
}

// cost returns the bytes per daemon, sent and received, that something and the time after it take above steady, which
// is in bytes a second.
func (f *fleet) cost(steady float64, run func()) float64 {
	before, start := f.traffic(), f.now
	run()
	f.run(costTime-f.now.Sub(start), nil)
	return f.traffic() - before - steady*f.now.Sub(start).Seconds()
}

// traffic returns the bytes that the mean daemon sent and received.
func (f *fleet) traffic() float64 {
	total := 0
	for _, n := range f.nodes {
		total += n.sent + n.received
	}
	return float64(total) / float64(len(f.nodes))
}

func (f *fleet) reset() {
	for _, n := range f.nodes {
		n.sent, n.received, n.frames, n.events, n.busy = 0, 0, 0, 0, 0
		n.counters = Counters{}
	}
	f.store.calls = 0
}

func (f *fleet) report(b *testing.B, d time.Duration) {
	var sent, received, frames, events, most int
	var busy time.Duration
	var repeats, news, repairs uint64
	for _, n := range f.nodes {
		sent += n.sent
		received += n.received
		frames += n.frames
		events += n.events
		most = max(most, n.sent+n.received)
		busy += n.busy
		repeats += n.counters.duplicateHeartbeats
		news += n.counters.newHeartbeats
		repairs += n.counters.repairRequests
	}
	each := float64(len(f.nodes)) * d.Seconds()
	b.ReportMetric(float64(sent)/each, "sentB/s")
	b.ReportMetric(float64(received)/each, "recvB/s")
	b.ReportMetric(float64(most)/d.Seconds(), "mostB/s")
	b.ReportMetric(float64(frames)/each, "frames/s")
	b.ReportMetric(float64(events)/each, "events/s")
	b.ReportMetric(busy.Seconds()/each*100, "%core")
	b.ReportMetric(float64(repeats)/float64(max(news, 1)), "repeats/news")
	b.ReportMetric(float64(repairs)/each, "repairs/s")
	b.ReportMetric(float64(f.store.calls)/d.Seconds(), "storecalls/s")
	b.ReportMetric(float64(len(f.store.watches)), "watches")
	b.ReportMetric(0, "ns/op")
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
