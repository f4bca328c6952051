package dispatch

// The decision of this file answers several daemons that see each other's load late.

// ties is the part of the cost by which choices may differ and still count as equal, so that daemons that see the same
// old reports don't all choose the same upstream.
const ties = 0.1

// pick returns one of the choices that are about as good as the best, at random.
func (s *State) pick(open []choice) choice {
	best := open[0]
	for _, one := range open[1:] {
		if one.cost < best.cost {
			best = one
		}
	}
	var equal []choice
	for _, one := range open {
		if float64(one.cost) <= float64(best.cost)*(1+ties) {
			equal = append(equal, one)
		}
	}
	return equal[s.random.IntN(len(equal))]
}
