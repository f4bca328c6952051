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
	maxStagingShare = 0.5 // the rest is for replicas that can't serve without it
	stagingDelay    = 2 * time.Second
)

// mayLoad reports whether one more load may begin now, and counts it; before any call came, loads are free.
func (s *State) tryLoad(now time.Time, part float64) bool {
	if !s.callsSeen && s.settings.bootstrap {
		return true
	}
	if most := s.engine.MaxConcurrentLoads(); most > 0 && float64(s.runningLoads(now)) >= part*float64(most) {
		return false
	}
	s.loadStarts = slices.DeleteFunc(s.loadStarts, func(at time.Time) bool { return now.Sub(at) >= loadWindow })
	if rate := s.engine.MaxLoadRate(); rate > 0 && float64(len(s.loadStarts)) >= rate*loadWindow.Seconds() {
		return false
	}
	s.loadStarts = append(s.loadStarts, now)
	return true
}

// loading returns how many loads run as far as is known: joins that take longer than from the host, and orders to stage
// that have not shown yet.
func (s *State) runningLoads(now time.Time) int {
	count := 0
	for id, n := range s.nodes {
		given := s.lastOrders[id]
		if join := given[VerbJoin]; n.member.phase == PhaseJoining && (join == nil || join.isLoad) {
			count++
			continue
		}
		if stage := given[VerbStage]; stage != nil && !n.hasStaged(stage.order.model) && now.Before(stage.effectDue) {
			count++
		}
	}
	return count
}

// largest returns the model with the largest span: its replicas lose members most often and are the hardest to fill.
func (s *State) largestModel() route.Model {
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
	model := s.largestModel()
	for _, g := range s.record.groups {
		if g.model == model.Name() {
			continue
		}
		for _, m := range g.members {
			n := s.nodes[m.id]
			o := Order{verb: VerbStage, model: model.Name()}
			if n.isAlive() && n.member.isIn(g.name, g.epoch) && n.member.phase != PhaseJoining && !n.hasStaged(model.Name()) &&
				n.lastModel != model.Name() && !s.isPending(now, n, o) && s.tryLoad(now, maxStagingShare) {
				s.send(now, n, o, model.LoadTime())
			}
		}
	}
}

// wish is a replica that the idle instances of a domain could form once some of them are staged with its model.
type stagingOption struct {
	model    route.Model
	unstaged []ID
	gain     float64 // pressure that is relieved for each load
}

// stage loads models onto the hosts of idle instances, so that they can form replicas: those first that bring most for
// each load, since the weight store bears few at once.
func (s *State) stage(now time.Time) {
	d := &draft{State: s, now: now, next: s.record, assigned: map[ID]bool{}}
	for _, g := range s.record.groups {
		if !d.isListed(g) || !d.isCrossDomain(g) {
			d.assign(g)
		}
	}
	var wishes []stagingOption
	for _, domain := range d.domains() {
		wishes = append(wishes, d.stagingOptions(domain)...)
	}
	slices.SortStableFunc(wishes, func(a, b stagingOption) int { return cmp.Compare(b.gain, a.gain) })
	for _, w := range wishes {
		for _, id := range w.unstaged {
			o := Order{verb: VerbStage, model: w.model.Name()}
			if !s.isPending(now, s.nodes[id], o) && s.tryLoad(now, 1) {
				s.send(now, s.nodes[id], o, w.model.LoadTime())
			}
		}
	}
}

// isKnown reports whether all members of g are listed.
func (d *draft) isListed(g group) bool {
	return !slices.ContainsFunc(g.members, func(m member) bool { return d.nodes[m.id] == nil })
}

// wishes divides the idle instances of a domain among replicas that they could form.
func (d *draft) stagingOptions(domain string) []stagingOption {
	var wishes []stagingOption
	for {
		best, bestIDs := stagingOption{gain: -1}, []ID(nil)
		for _, m := range d.engine.Models() {
			free := d.idle(domain, m)
			if len(free) < m.ReplicaSize() {
				continue
			}
			ids := free[:m.ReplicaSize()]
			unstaged := ids[min(d.countWarm(free, m), m.ReplicaSize()):]
			gain := d.pressure(m, d.replicaCount(m)) / float64(max(len(unstaged), 1))
			if gain > best.gain {
				best, bestIDs = stagingOption{m, unstaged, gain}, ids
			}
		}
		if bestIDs == nil {
			return append(wishes, d.spareStaging(domain)...)
		}
		wishes = append(wishes, best)
		for _, id := range bestIDs {
			d.assigned[id] = true
		}
	}
}

// spare returns the wish that the instances left over in a domain are ready to repair its largest replicas.
func (d *draft) spareStaging(domain string) []stagingOption {
	model := d.largestModel()
	left := d.idle(domain, model)
	unstaged := left[d.countWarm(left, model):]
	if len(unstaged) == 0 {
		return nil
	}
	return []stagingOption{{model, unstaged, 0}}
}
