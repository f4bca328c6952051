package replica

import (
	"cmp"
	"slices"
	"time"

	"github.com/azurepond/azurepond/pkg/route"
)

// loadWindow is the window of the rate limit on loads from the weight store, the same as the platform's.
const loadWindow = 5 * time.Second

// The limits of staging. A new leader delays it, as it does not know which loads the previous leader started.
const (
	maxStagingShare = 0.5 // of the concurrent loads; the rest is for replicas that can't serve without a load
	stagingDelay    = 2 * time.Second
)

// tryLoad reports whether another load may start now, and counts it. The load may not start while share of the allowed
// concurrent loads run. Before the first call of a system that starts for the first time, loads are not limited.
func (s *State) tryLoad(now time.Time, share float64) bool {
	if !s.callsSeen && s.settings.bootstrap {
		return true
	}
	if limit := s.engine.MaxConcurrentLoads(); limit > 0 && float64(s.runningLoads(now)) >= share*float64(limit) {
		return false
	}
	s.loadStarts = slices.DeleteFunc(s.loadStarts, func(start time.Time) bool { return now.Sub(start) >= loadWindow })
	if rate := s.engine.MaxLoadRate(); rate > 0 && float64(len(s.loadStarts)) >= rate*loadWindow.Seconds() {
		return false
	}
	s.loadStarts = append(s.loadStarts, now)
	return true
}

// runningLoads returns how many loads run as far as is known: joins that load from the weight store, joins that this
// leader has not ordered itself, and orders to stage whose effect is not visible yet.
func (s *State) runningLoads(now time.Time) int {
	count := 0
	for id, n := range s.nodes {
		orders := s.lastOrders[id]
		if join := orders[VerbJoin]; n.membership.phase == PhaseJoining && (join == nil || join.isLoad) {
			count++
			continue
		}
		if stage := orders[VerbStage]; stage != nil && !n.hasStaged(stage.order.model) && now.Before(stage.effectDue) {
			count++
		}
	}
	return count
}

// largestModel returns the model with the most members in a replica. Its replicas lose members most often and are the
// hardest to fill.
func (s *State) largestModel() route.Model {
	best := s.engine.Models()[0]
	for _, m := range s.engine.Models()[1:] {
		if m.ReplicaSize() > best.ReplicaSize() {
			best = m
		}
	}
	return best
}

// stageMembers stages the largest model on the hosts of members of other replicas, so that they can join one of its replicas
// within seconds. The members serve calls meanwhile.
func (s *State) stageMembers(now time.Time) {
	model := s.largestModel()
	for _, g := range s.record.groups {
		if g.model == model.Name() || s.hasEvacuated(g) {
			continue
		}
		for _, m := range g.members {
			n := s.nodes[m.id]
			o := Order{verb: VerbStage, model: model.Name()}
			if n.isAlive() && n.membership.isIn(g.name, g.epoch) && n.membership.phase != PhaseJoining &&
				!n.hasStaged(model.Name()) &&
				n.lastModel != model.Name() && !s.mustDefer(now, n, o) && s.tryLoad(now, maxStagingShare) {
				s.send(now, n, o, model.LoadTime())
			}
		}
	}
}

// stagingOption is a replica that idle instances of a domain could form once its model is staged on some of their hosts.
type stagingOption struct {
	model    route.Model
	unstaged []ID
	gain     float64 // pressure relieved by each load
}

// stage stages models on the hosts of idle instances, so that they can form replicas. Members of cross-domain replicas count
// as idle, so that they can form replicas within a domain. Options with the highest gain for each load come first, since the
// weight store supports few loads at once.
func (s *State) stage(now time.Time) {
	d := s.newDraft(now, s.record)
	for _, g := range s.record.groups {
		if !d.isListed(g) || !d.isCrossDomain(g) {
			d.assign(g)
		}
	}
	var options []stagingOption
	for _, domain := range d.domains() {
		options = append(options, d.stagingOptions(domain)...)
	}
	slices.SortStableFunc(options, func(a, b stagingOption) int { return cmp.Compare(b.gain, a.gain) })
	for _, option := range options {
		for _, id := range option.unstaged {
			o := Order{verb: VerbStage, model: option.model.Name()}
			if !s.mustDefer(now, s.nodes[id], o) && s.tryLoad(now, 1) {
				s.send(now, s.nodes[id], o, option.model.LoadTime())
			}
		}
	}
}

// isListed reports whether all members of g are listed.
func (d *draft) isListed(g group) bool {
	return !slices.ContainsFunc(g.members, func(m member) bool { return d.nodes[m.id] == nil })
}

// stagingOptions divides the idle instances of a domain among replicas that they could form.
func (d *draft) stagingOptions(domain string) []stagingOption {
	var options []stagingOption
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
			return append(options, d.spareStaging(domain)...)
		}
		options = append(options, best)
		for _, id := range bestIDs {
			d.assigned[id] = true
		}
	}
}

// spareStaging returns the option to stage the largest model for the remaining instances of a domain, so that they can
// repair its replicas.
func (d *draft) spareStaging(domain string) []stagingOption {
	model := d.largestModel()
	remaining := d.idle(domain, model)
	unstaged := remaining[d.countWarm(remaining, model):]
	if len(unstaged) == 0 {
		return nil
	}
	return []stagingOption{{model, unstaged, 0}}
}
