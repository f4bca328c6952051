package peer

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"
)

// The phases of a measurement, in simulated time.
const (
	warmUpPeriod  = 40 * time.Second
	measurePeriod = 20 * time.Second
	maxWaitTime   = 60 * time.Second
	costPeriod    = 20 * time.Second
)

// configBytes is the size of the configurations that are written.
const configBytes = 40_000

// BenchmarkFleet runs real reducers and the real codec in one process. Per daemon and simulated second it reports bytes
// with framing, events and CPU time, and per daemon the memory. It then reports the seconds until all daemons detect a dead
// upstream, until a configuration is in force everywhere, and until it is after a partition. It also reports the extra
// bytes of the death, the configuration and a restart.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []struct{ daemons, upstreams, centres int }{
		{8, 50, 3}, {64, 50, 5}, {64, 600, 5}, {330, 50, 5}, {330, 600, 5},
	} {
		for _, loss := range []float64{0, 0.01, 0.1} {
			name := fmt.Sprintf("daemons=%d/upstreams=%d/loss=%v%%", size.daemons, size.upstreams, loss*100)
			b.Run(name, func(b *testing.B) {
				for range b.N {
					measureFleet(b, size.daemons, size.upstreams, size.centres, loss)
				}
			})
		}
	}
}

func measureFleet(b *testing.B, daemons, upstreams, centres int, loss float64) {
	f := newFleet(daemons, upstreams, centres, 1)
	f.loss = loss
	f.run(warmUpPeriod, nil)
	f.resetCounts()
	var ages []time.Duration
	for range int(measurePeriod / time.Second) {
		f.clock = time.Now
		f.run(time.Second, nil)
		f.clock = nil
		ages = f.evidenceAges(ages)
	}
	f.reportMetrics(b, measurePeriod)
	slices.Sort(ages)
	b.ReportMetric(ages[len(ages)*999/1000].Seconds(), "p99.9age-s")
	b.ReportMetric(ages[len(ages)-1].Seconds(), "maxage-s")
	steady := f.meanTraffic() / measurePeriod.Seconds()
	b.ReportMetric(float64(heapBytes())/float64(daemons)/1e6, "MB/daemon")

	b.ReportMetric(f.extraBytes(steady, func() {
		f.upstreams["worker-007"].dead = true
		detected, _ := f.run(maxWaitTime, func() bool { return f.countResults("worker-007", false) == daemons })
		b.ReportMetric(detected.Seconds(), "death-s")
	}), "deathB")
	b.ReportMetric(f.extraBytes(steady, func() {
		f.writeConfig(2, configBytes)
		inForce, _ := f.run(maxWaitTime, func() bool { return f.countInForce(2) == daemons })
		b.ReportMetric(inForce.Seconds(), "config-s")
	}), "configB")
	b.ReportMetric(f.extraBytes(steady, func() { f.restart(daemons / 2) }), "restartB")
	b.ReportMetric(f.measureHealing(centres).Seconds(), "heal-s")
	runtime.KeepAlive(f)
}

// evidenceAges appends the age of each daemon's latest probe result of each upstream.
func (f *fleet) evidenceAges(ages []time.Duration) []time.Duration {
	for _, n := range f.nodes {
		for _, result := range n.probeResults {
			ages = append(ages, f.now.Sub(result.At()))
		}
	}
	return ages
}

// measureHealing partitions the first two data centres from the others, changes the configuration meanwhile, and returns
// the time after the healing until it is in force everywhere.
func (f *fleet) measureHealing(centres int) time.Duration {
	inFirstCentres := func(node int) bool { return node%centres < 2 }
	f.linkBlocked = func(from, to int) bool { return inFirstCentres(from) != inFirstCentres(to) }
	f.setStoreOutage(func(node int) bool { return !inFirstCentres(node) })
	f.run(time.Minute, nil)
	f.writeConfig(3, configBytes)
	f.run(time.Minute/4, nil)
	f.linkBlocked = func(int, int) bool { return false }
	healed, _ := f.run(maxWaitTime, func() bool { return f.countInForce(3) == len(f.nodes) })
	return healed
}

// extraBytes returns the bytes per daemon, sent and received in costPeriod from the start of run, above the steady rate
// in bytes per second.
func (f *fleet) extraBytes(steady float64, run func()) float64 {
	before, start := f.meanTraffic(), f.now
	run()
	f.run(costPeriod-f.now.Sub(start), nil)
	return f.meanTraffic() - before - steady*f.now.Sub(start).Seconds()
}

// meanTraffic returns the mean number of bytes that a daemon sent and received.
func (f *fleet) meanTraffic() float64 {
	total := 0
	for _, n := range f.nodes {
		total += n.sentBytes + n.receivedBytes
	}
	return float64(total) / float64(len(f.nodes))
}

func (f *fleet) resetCounts() {
	for _, n := range f.nodes {
		n.sentBytes, n.receivedBytes, n.sentFrames, n.events, n.cpuTime = 0, 0, 0, 0, 0
		n.counters = Counters{}
	}
	f.store.calls = 0
}

func (f *fleet) reportMetrics(b *testing.B, d time.Duration) {
	var sent, received, frames, events, maxBytes int
	var cpuTime time.Duration
	var duplicates, newHeartbeats, repairRequests uint64
	for _, n := range f.nodes {
		sent += n.sentBytes
		received += n.receivedBytes
		frames += n.sentFrames
		events += n.events
		maxBytes = max(maxBytes, n.sentBytes+n.receivedBytes)
		cpuTime += n.cpuTime
		duplicates += n.counters.duplicateHeartbeats
		newHeartbeats += n.counters.newHeartbeats
		repairRequests += n.counters.repairRequests
	}
	daemonSeconds := float64(len(f.nodes)) * d.Seconds()
	b.ReportMetric(float64(sent)/daemonSeconds, "sentB/s")
	b.ReportMetric(float64(received)/daemonSeconds, "recvB/s")
	b.ReportMetric(float64(maxBytes)/d.Seconds(), "mostB/s")
	b.ReportMetric(float64(frames)/daemonSeconds, "frames/s")
	b.ReportMetric(float64(events)/daemonSeconds, "events/s")
	b.ReportMetric(cpuTime.Seconds()/daemonSeconds*100, "%core")
	b.ReportMetric(float64(duplicates)/float64(max(newHeartbeats, 1)), "repeats/news")
	b.ReportMetric(float64(repairRequests)/daemonSeconds, "repairs/s")
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
