package engine

import "math/rand/v2"

// sampler returns distinct random indexes below size, at most maxSamples of them.
type sampler struct {
	random  *rand.PCG
	size    int
	sampled [maxSamples]int
	count   int
}

func newSampler(random *rand.PCG, size int) sampler { return sampler{random: random, size: size} }

func (s *sampler) hasNext() bool { return s.count < min(s.size, maxSamples) }

// next returns an index that it has not returned before, by Floyd's algorithm for sampling without replacement.
func (s *sampler) next() int {
	highest := s.size - min(s.size, maxSamples) + s.count
	index := int(s.random.Uint64() % uint64(highest+1))
	for _, taken := range s.sampled[:s.count] {
		if taken == index {
			index = highest
			break
		}
	}
	s.sampled[s.count] = index
	s.count++
	return index
}
