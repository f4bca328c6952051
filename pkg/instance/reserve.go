package instance

import "math"

// reserve returns how many idle spares a domain keeps back from surplus replicas of m.
//
// A spare is kept while the downtime that it saves is expected to cost more than its idleness: without it a failure
// waits until a surplus replica is drained.
func (d *draft) reserve(m Model) int {
	s := d.state.settings
	horizon := s.arrival + s.loadTime(m)
	failures := d.failures(horizon.Seconds())
	saved := d.heaviest() * (reclaimTime + 2*s.maxProbeAge).Seconds()
	idle := m.stranding * float64(m.accelerators) * horizon.Seconds()
	spares := 0
	for spares < m.span && saved*moreThan(spares, failures) > idle {
		spares++
	}
	return spares
}

// failures returns how many instances of one domain are expected to fail in that many seconds.
func (d *draft) failures(seconds float64) float64 {
	domains := map[string]bool{}
	count := 0
	for _, id := range d.state.listed {
		if n := d.state.nodes[id]; d.state.owns(d.pool, n) {
			domains[n.row.domain] = true
			count++
		}
	}
	return float64(count) / float64(max(len(domains), 1)) * seconds / max(d.state.settings.lifetime.Seconds(), 1)
}

// heaviest returns the highest weight of downtime in the pool.
func (d *draft) heaviest() float64 {
	weight := 0.0
	for _, m := range d.pool.models {
		weight = max(weight, m.downtime)
	}
	return weight
}

// moreThan returns the probability of more than count events where mean are expected, by Poisson's law.
func moreThan(count int, mean float64) float64 {
	term := math.Exp(-mean)
	sum := term
	for i := 1; i <= count; i++ {
		term *= mean / float64(i)
		sum += term
	}
	return max(1-sum, 0)
}
