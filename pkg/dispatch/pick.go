package dispatch

import "github.com/azurepond/azurepond/pkg/quantity"

// Random selection among similar upstreams, since daemons learn of each other's load late.

// tieTolerance is the relative difference in cost up to which candidates are equal, so that daemons with the same stale
// reports do not all select the same upstream.
const tieTolerance = 0.1

// pick returns a random one of the candidates whose cost is about the lowest.
func (s *State) pick(candidates []candidate) candidate {
	best := candidates[0]
	for _, c := range candidates[1:] {
		if c.cost < best.cost {
			best = c
		}
	}
	tolerance := quantity.Duration(tieTolerance, best.cost)
	var equal []candidate
	for _, c := range candidates {
		if c.cost == best.cost || c.cost-tolerance <= best.cost {
			equal = append(equal, c)
		}
	}
	return equal[s.random.IntN(len(equal))]
}
