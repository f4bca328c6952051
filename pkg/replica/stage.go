package replica

import (
	"cmp"
	"slices"
	"time"

	"github.com/azurepond/azurepond/pkg/route"
)

// loadWindow is the time over which loads from the weight store are counted; the platform counts over five seconds too.
const loadWindow = 5 * time.Second

// The part of the loads that run at once that staging may take up, and how long a new leader leaves staging alone, since it
// does not know of the loads that the one before began.
const (
	stagePart  = 0.5 // the rest is for replicas that can't serve without it
	stagePause = 2 * time.Second
)

// mayLoad reports whether one more load may begin now, and counts it; before any call came, loads are free.
func (s *State) mayLoad(now time.Time, part float64) bool {
	if !s.serving && s.settings.bootstrap {
		return true
	}
	if most := s.engine.MaxConcurrentLoads(); most > 0 && float64(s.loading(now)) >= part*float64(most) {
		return false
	}
	s.loads = slices.DeleteFunc(s.loads, func(at time.Time) bool { return now.Sub(at) >= loadWindow })
	if rate := s.engine.MaxLoadRate(); rate > 0 && float64(len(s.loads)) >= rate*loadWindow.Seconds() {
		return false
	}
	s.loads = append(s.loads, now)
	return true
}

// loading returns how many loads run as far as is known: joins that take longer than from the host, and orders to stage
// that have not shown yet.
func (s *State) loading(now time.Time) int {
	count := 0
	for id, n := range s.nodes {
		given := s.sent[id]
		if join := given[VerbJoin]; n.member.phase == PhaseJoining && (join == nil || join.isLoad) {
			count++
			continue
		}
		if stage := given[VerbStage]; stage != nil && !n.hasStaged(stage.order.model) && now.Before(stage.due) {
			count++
		}
	}
	return count
}

// largest returns the model with the largest span: its replicas lose members most often and are the hardest to fill.
func (s *State) largest() route.Model {
	best := s.engine.Models()[0]
	for _, m := range s.engine.Models()[1:] {
		if m.ReplicaSize() > best.ReplicaSize() {
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
			o := Order{verb: VerbStage, model: model.Name()}
			if n.lives() && n.member.isOf(g.name, g.epoch) && n.member.phase != PhaseJoining && !n.hasStaged(model.Name()) &&
				n.last != model.Name() && !s.isUnderway(now, n, o) && s.mayLoad(now, stagePart) {
				s.send(now, n, o, model.LoadTime())
			}
		}
	}
}

// wish is a replica that the idle instances of a domain could form once some of them are staged with its model.
type wish struct {
	model    route.Model
	unstaged []ID
	gain     float64 // pressure that is relieved for each load
}

// stage loads models onto the hosts of idle instances, so that they can form replicas: those first that bring most for
// each load, since the weight store bears few at once.
func (s *State) stage(now time.Time) {
	d := &draft{State: s, now: now, next: s.record, taken: map[ID]bool{}}
	for _, g := range s.record.groups {
		if !d.isKnown(g) || !d.isFar(g) {
			d.take(g)
		}
	}
	var wishes []wish
	for _, domain := range d.domains() {
		wishes = append(wishes, d.wishes(domain)...)
	}
	slices.SortStableFunc(wishes, func(a, b wish) int { return cmp.Compare(b.gain, a.gain) })
	for _, w := range wishes {
		for _, id := range w.unstaged {
			o := Order{verb: VerbStage, model: w.model.Name()}
			if !s.isUnderway(now, s.nodes[id], o) && s.mayLoad(now, 1) {
				s.send(now, s.nodes[id], o, w.model.LoadTime())
			}
		}
	}
}

// isKnown reports whether all members of g are listed.
func (d *draft) isKnown(g group) bool {
	return !slices.ContainsFunc(g.members, func(m member) bool { return d.nodes[m.id] == nil })
}

// wishes divides the idle instances of a domain among replicas that they could form.
func (d *draft) wishes(domain string) []wish {
	var wishes []wish
	for {
		best, bestIDs := wish{gain: -1}, []ID(nil)
		for _, m := range d.engine.Models() {
			free := d.idle(domain, m)
			if len(free) < m.ReplicaSize() {
				continue
			}
			ids := free[:m.ReplicaSize()]
			unstaged := ids[min(d.readyOf(free, m), m.ReplicaSize()):]
			gain := d.pressure(m, d.replicas(m)) / float64(max(len(unstaged), 1))
			if gain > best.gain {
				best, bestIDs = wish{m, unstaged, gain}, ids
			}
		}
		if bestIDs == nil {
			return append(wishes, d.spare(domain)...)
		}
		wishes = append(wishes, best)
		for _, id := range bestIDs {
			d.taken[id] = true
		}
	}
}

// spare returns the wish that the instances left over in a domain are ready to repair its largest replicas.
func (d *draft) spare(domain string) []wish {
	model := d.largest()
	left := d.idle(domain, model)
	unstaged := left[d.readyOf(left, model):]
	if len(unstaged) == 0 {
		return nil
	}
	return []wish{{model, unstaged, 0}}
}
