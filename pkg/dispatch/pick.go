package dispatch

// The decision of this file answers several daemons that see each other's load late.

// ties is the part of the cost by which choices may differ and still count as equal, so that daemons that see the same
// old reports don't all choose the same upstream.
const tieTolerance = 0.1

// pick returns one of the choices that are about as good as the best, at random.
func (s *State) pick(candidates []candidate) candidate {
	best := candidates[0]
	for _, c := range candidates[1:] {
		if c.cost < best.cost {
			best = c
		}
	}
	var equal []candidate
	for _, c := range candidates {
		if float64(c.cost) <= float64(best.cost)*(1+tieTolerance) {
			equal = append(equal, c)
		}
	}
	return equal[s.random.IntN(len(equal))]
}
