package replica

import (
	"slices"
	"time"

	"github.com/azurepond/azurepond/pkg/route"
)

// loadWindow is the time over which loads from the weight store are counted; the platform counts over five seconds too.
const loadWindow = 5 * time.Second

// mayLoad reports whether one more load may begin now, and counts it; before any call came, loads are free.
func (s *State) mayLoad(now time.Time) bool {
	if s.engine.LoadRate() <= 0 || s.demand == nil && s.settings.first {
		return true
	}
	s.loads = slices.DeleteFunc(s.loads, func(at time.Time) bool { return now.Sub(at) >= loadWindow })
	if float64(len(s.loads)) >= s.engine.LoadRate()*loadWindow.Seconds() {
		return false
	}
	s.loads = append(s.loads, now)
	return true
}

// largest returns the model with the largest span: its replicas lose members most often and are the hardest to fill.
func (s *State) largest() route.Model {
	best := s.engine.Models()[0]
	for _, m := range s.engine.Models()[1:] {
		if m.Span() > best.Span() {
			best = m
		}
	}
	return best
}

// stageMembers loads the largest model onto the hosts of members of other replicas, so that they can fill one of its
// replicas within seconds. It runs beside their work.
func (s *State) stageMembers(now time.Time) {
	model := s.largest()
	for _, g := range s.record.groups {
		if g.model == model.Name() {
			continue
		}
		for _, m := range g.members {
			n := s.nodes[m.id]
			o := Order{verb: Stage, model: model.Name()}
			if n.lives() && n.member.isOf(g.name, g.epoch) && n.member.phase != Joining && !n.hasStaged(model.Name()) &&
				n.last != model.Name() && !s.isUnderway(now, n, o) && s.mayLoad(now) {
				s.send(now, n, o, model.Load())
			}
		}
	}
}

// stage loads models onto the hosts of idle instances, so that a repair need not wait for the weight store.
func (s *State) stage(now time.Time) {
	staged := map[string]map[string]int{}
	for _, id := range s.ids() {
		n := s.nodes[id]
		if !n.lives() || n.leaving || s.record.holds(id) {
			continue
		}
		if staged[n.domain] == nil {
			staged[n.domain] = map[string]int{}
		}
		if model, isStaged := s.stagedModel(n); isStaged {
			staged[n.domain][model]++
			continue
		}
		model := s.leastStaged(staged[n.domain])
		staged[n.domain][model.Name()]++
		o := Order{verb: Stage, model: model.Name()}
		if !s.isUnderway(now, n, o) && s.mayLoad(now) {
			s.send(now, n, o, model.Load())
		}
	}
}

func (s *State) stagedModel(n *node) (string, bool) {
	for _, m := range s.engine.Models() {
		if n.hasStaged(m.Name()) {
			return m.Name(), true
		}
	}
	return "", false
}

// leastStaged returns the model that fewest idle instances of a domain have staged, the one with the largest span first.
func (s *State) leastStaged(counts map[string]int) route.Model {
	best := s.engine.Models()[0]
	for _, m := range s.engine.Models()[1:] {
		few, many := counts[m.Name()], counts[best.Name()]
		if few < many || few == many && m.Span() > best.Span() {
			best = m
		}
	}
	return best
}
