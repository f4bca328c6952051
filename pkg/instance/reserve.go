package instance

import "math"

// reservedSpares returns how many idle spares a domain withholds from surplus replicas of m.
//
// Without a spare, a failed member is replaced only after a surplus replica has drained. A spare is reserved while the
// expected cost of this downtime exceeds the cost of the idle spare.
func (d *draft) reservedSpares(m Model) int {
	s := d.state.settings
	horizon := s.replacementTime + s.loadTime(m)
	failures := d.expectedFailures(horizon.Seconds())
	saved := d.maxDowntimeWeight() * (expectedDrainTime + 2*s.maxProbeAge).Seconds()
	idle := m.strandingWeight * float64(m.accelerators) * horizon.Seconds()
	spares := 0
	for spares < m.span && saved*poissonTail(spares, failures) > idle {
		spares++
	}
	return spares
}

// expectedFailures returns how many instances of one domain are expected to fail in that many seconds.
func (d *draft) expectedFailures(seconds float64) float64 {
	domains := map[string]bool{}
	count := 0
	for _, id := range d.state.listedIDs {
		if n := d.state.nodes[id]; d.state.owns(d.pool, n) {
			domains[n.listing.domain] = true
			count++
		}
	}
	return float64(count) / float64(max(len(domains), 1)) * seconds / max(d.state.settings.mtbf.Seconds(), 1)
}

// maxDowntimeWeight returns the highest weight of downtime in the pool.
func (d *draft) maxDowntimeWeight() float64 {
	weight := 0.0
	for _, m := range d.pool.models {
		weight = max(weight, m.downtimeWeight)
	}
	return weight
}

// poissonTail returns the probability of more than count events in a Poisson distribution with this mean.
func poissonTail(count int, mean float64) float64 {
	term := math.Exp(-mean)
	sum := term
	for i := 1; i <= count; i++ {
		term *= mean / float64(i)
		sum += term
	}
	return max(1-sum, 0)
}
