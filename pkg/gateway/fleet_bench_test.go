package gateway

import (
	"testing"
	"time"
)

// The phases of a measurement, in simulated time.
const (
	benchTraffic = 14 * time.Second // from the start of the daemons to the first call
	benchLosses  = 4 * time.Second  // after the start of traffic
	benchEnd     = 10 * time.Second // after the start of traffic
)

// BenchmarkFleet runs the reducers and the codec of hundreds of daemons in one process, from their start through the first
// calls and the loss of engines, and reports the processor time of each phase by daemon and simulated second.
func BenchmarkFleet(b *testing.B) {
	for range b.N {
		f := newFleet(largeFleet, benchTraffic)
		f.report(b, "start", 0, benchTraffic)
		f.reportOpen(b, "open-at-traffic")
		f.report(b, "calls", benchTraffic, benchTraffic+benchLosses)
		for i := range 18 {
			f.kill(f.engines[i*50])
		}
		f.report(b, "losses", benchTraffic+benchLosses, benchTraffic+benchEnd)
		f.reportOpen(b, "open-at-end")
	}
	b.ReportMetric(0, "ns/op")
}

func (f *fleet) reportOpen(b *testing.B, name string) {
	all, _ := f.open()
	b.ReportMetric(float64(all), name)
}

func (f *fleet) report(b *testing.B, phase string, from, to time.Duration) {
	sent, calls := 0, 0
	for _, d := range f.daemons {
		sent -= d.sentBytes
		calls -= d.storeCalls
	}
	began := time.Now()
	f.run(to)
	daemonSeconds := float64(len(f.daemons)) * (to - from).Seconds()
	for _, d := range f.daemons {
		sent += d.sentBytes
		calls += d.storeCalls
	}
	b.ReportMetric(time.Since(began).Seconds()/daemonSeconds*100, phase+"-%core")
	b.ReportMetric(float64(sent)/daemonSeconds, phase+"-sentB/s")
	b.ReportMetric(float64(calls), phase+"-storecalls")
}
