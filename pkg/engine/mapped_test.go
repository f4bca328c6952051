package engine

import (
	"testing"

	"github.com/dgryski/go-jump"

	. "github.com/smartystreets/goconvey/convey"
)

// prefixHitRate returns the ratio of prefills that found their prefix in the cache.
func (f *fleet) prefixHitRate() float64 { return float64(f.prefixHits) / float64(f.prefills) }

// TestPrefixHitRate compares routing with and without cache events, and with and without the hash mapping.
func TestPrefixHitRate(t *testing.T) {
	Convey("The hash mapping raises the prefix hit rate, with cache events and without", t, func() {
		for _, load := range []float64{0.95} {
			for _, eventsDisabled := range []bool{false, true} {
				var hitRates [2]float64
				for i, mappingDisabled := range []bool{true, false} {
					newRouter := func(int) router { return &State{mappingDisabled: mappingDisabled} }
					m := loadRun{
						load: load, seed: 7, newRouter: newRouter,
						prepare: func(f *fleet) { f.cacheEventsDisabled = eventsDisabled },
					}.run()
					So(m.fleet.invariants.violations, ShouldBeEmpty)
					hitRates[i] = m.fleet.prefixHitRate()
					t.Logf("%.2f events %v mapped %v: cached %.3f, %v", load, !eventsDisabled, !mappingDisabled, hitRates[i], m)
				}
				So(hitRates[1], ShouldBeGreaterThan, hitRates[0])
			}
		}
	})
}

func TestJumpHash(t *testing.T) {
	Convey("Keys spread evenly, and a new bucket only takes keys from the others", t, func() {
		const keys, size = 60_000, 60
		var counts [size]int
		for key := range uint64(keys) {
			bucket := int(jump.Hash(key, size))
			counts[bucket]++
			if grown := int(jump.Hash(key, size+1)); grown != bucket && grown != size {
				t.Fatal(key, bucket, grown)
			}
		}
		for _, count := range counts {
			So(count, ShouldBeBetween, keys/size*8/10, keys/size*12/10)
		}
	})
}
