package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/azurepond/azurepond/pkg/relay"
)

// The address lists of callers.
const (
	callerGroups = 200             // callers with the same address list
	addressTTL   = 2 * time.Second // a third of the callers keep a list three times as long
)

// useAddressLists makes callers use daemons from lists that leave out the daemons without paths, as a random daemon sees them.
func (f *fleet) useAddressLists() {
	type list struct {
		daemons []*fleetDaemon
		until   time.Time
	}
	lists := make([]list, callerGroups)
	f.pick = func() *fleetDaemon {
		group := f.random.IntN(callerGroups)
		l := &lists[group]
		if !f.now.Before(l.until) {
			ttl := addressTTL
			if group%3 == 0 {
				ttl *= 3
			}
			from := f.daemons[f.random.IntN(len(f.daemons))]
			*l = list{until: f.now.Add(ttl)}
			for _, d := range f.daemons {
				if from.pathAccessOf(f.now, d.name) != relay.AccessNone {
					l.daemons = append(l.daemons, d)
				}
			}
			if len(l.daemons) == 0 {
				l.daemons = f.daemons
			}
		}
		return l.daemons[f.random.IntN(len(l.daemons))]
	}
}

// BenchmarkPaths reports what callers get while 0.3 of the daemons, or those of a data centre, are cut from all engines: with and
// without requests through peers, and with and without address lists that leave out these daemons.
func BenchmarkPaths(b *testing.B) {
	for _, daemons := range []int{7, 66, 300} {
		for _, where := range []string{"random", "centre"} {
			for _, way := range []string{"none", "leave", "relay", "both"} {
				b.Run(fmt.Sprintf("%d/%s/%s", daemons, where, way), func(b *testing.B) {
					for range b.N {
						benchmarkPaths(b, daemons, where, way)
					}
				})
			}
		}
	}
}

func benchmarkPaths(b *testing.B, daemons int, where, way string) {
	size := cutSize(daemons)
	if daemons >= 300 {
		size.engines, size.callsPerSecond, size.cores = 600, 700, 0
	}
	f := newFleet(size, benchTraffic)
	f.run(benchTraffic)
	f.isLimited, f.noRelays = true, way == "none" || way == "leave"
	if way == "leave" || way == "both" {
		f.useAddressLists()
	}
	f.run(cutAt)
	for _, d := range f.daemons {
		d.gotCalls, d.relayed = 0, 0
	}
	if where == "random" {
		f.cutDaemons(pathHangs, 1)
	} else {
		for i, d := range f.daemons {
			if i%f.size.centres == 0 {
				d.wasCut = true
				f.cutPaths(d, pathHangs, 1)
			}
		}
	}
	f.run(cutUntil)
	busiest, sum, whole := 0, 0, 0
	for _, d := range f.daemons {
		if !d.wasCut {
			busiest, sum, whole = max(busiest, d.gotCalls+d.relayed), sum+d.gotCalls+d.relayed, whole+1
		}
	}
	early, _ := f.firstTries(cutAt, cutDetected)
	atCut, atOthers := f.firstTries(cutDetected, cutUntil-2*time.Second)
	b.ReportMetric(early, "first-3s-cut")
	b.ReportMetric(atCut, "then-cut")
	b.ReportMetric(atOthers, "then-others")
	b.ReportMetric(f.onTime(cutDetected, cutUntil-2*time.Second), "on-time")
	b.ReportMetric(float64(busiest*whole)/float64(max(sum, 1)), "busiest/mean")
	b.ReportMetric(float64(f.falseDeaths()), "false-deaths")
	b.ReportMetric(0, "ns/op")
}
