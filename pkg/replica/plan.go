package replica

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/azurepond/azurepond/pkg/route"
)

// rejoinTime is the time to join for an instance whose last replica served the same model.
const rejoinTime = 200 * time.Millisecond // the platform's figure

// settleTime is how long no new instance must have been listed before replicas are formed. Instances that start together are
// listed within one heartbeat of each other. Replicas that are formed earlier fragment a domain: the instances that are left
// in it may be too few for a large replica.
const settleTime = 700 * time.Millisecond

// minFleetToFormEarly is the number of listed instances from which replicas are formed before settleTime, since so many take
// longer to load than to list.
const minFleetToFormEarly = 400

// draft is a record that is being changed.
type draft struct {
	*State
	now      time.Time
	next     record
	assigned map[ID]bool
	changed  bool
	byDomain map[string][]ID // the instances that are alive, not leaving and not evacuated, sorted
}

// newDraft returns a draft that starts with the groups of next.
func (s *State) newDraft(now time.Time, next record) *draft {
	d := &draft{State: s, now: now, next: next, assigned: map[ID]bool{}, byDomain: map[string][]ID{}}
	for _, id := range s.ids() {
		if n := s.nodes[id]; n.isAlive() && !n.leaving && !s.isEvacuated(n) {
			d.byDomain[n.domain] = append(d.byDomain[n.domain], id)
		}
	}
	return d
}

// plan returns the record as it should be, and whether it differs from the current one.
func (s *State) plan(now time.Time) (record, bool) {
	d := s.newDraft(now, s.record.clone())
	d.removeUnknownModels()
	var broken []group
	kept := d.next.groups[:0]
	for _, g := range d.next.groups {
		if d.isIntact(g) && !d.mustMove(g) {
			if d.mustRejoin(g) {
				g.epoch, d.changed = 0, true
			}
			kept = append(kept, g)
			d.assign(g)
			continue
		}
		broken = append(broken, g)
	}
	d.next.groups = kept
	for _, g := range broken {
		d.changed = true
		d.assign(group{members: d.survivors(g)}) // so that no other repair takes them
	}
	for _, g := range broken {
		d.repair(g)
	}
	switch {
	case now.Sub(s.lastArrival) < settleTime && len(s.nodes) >= minFleetToFormEarly:
		d.formWhileListing()
	case now.Sub(s.lastArrival) >= settleTime:
		removed := d.removeCrossDomain()
		d.form()
		d.restoreCrossDomain(removed)
		d.formCrossDomain()
		d.convert()
	}
	return d.next, d.changed
}

// removeUnknownModels removes replicas of models that are no longer configured.
func (d *draft) removeUnknownModels() {
	d.next.groups = slices.DeleteFunc(d.next.groups, func(g group) bool {
		_, isKnown := d.engine.Model(g.model)
		d.changed = d.changed || !isKnown
		return !isKnown
	})
}

func (d *draft) assign(g group) {
	for _, m := range g.members {
		d.assigned[m.id] = true
	}
}

// isIntact reports whether all members of g run in the recorded incarnation, are alive and not leaving, and the head is not
// broken.
func (d *draft) isIntact(g group) bool {
	for _, m := range g.members {
		if !d.isUsable(m) {
			return false
		}
	}
	head := d.nodes[g.members[0].id]
	return !head.membership.isIn(g.name, g.epoch) || head.membership.phase != PhaseBroken
}

func (d *draft) isUsable(m member) bool {
	n := d.nodes[m.id]
	return n.isAlive() && n.incarnation == m.incarnation && !n.leaving
}

// survivors returns the members that another replica can use.
func (d *draft) survivors(g group) []member {
	var survivors []member
	for _, m := range g.members {
		if d.isUsable(m) && !d.isEvacuated(d.nodes[m.id]) {
			survivors = append(survivors, m)
		}
	}
	return survivors
}

// repair replaces the lost members of a replica with instances of the survivors' fabric domain. If too few instances
// are eligible, it dissolves replicas of models under lower pressure. If that fails, it releases the survivors for
// other replicas.
func (d *draft) repair(g group) {
	members := d.survivors(g)
	if len(members) == 0 {
		return
	}
	model, _ := d.engine.Model(g.model)
	domain := d.nodes[members[0].id].domain
	missing := model.ReplicaSize() - len(members)
	spares := d.eligible(domain, model)
	if len(spares) < missing && d.dissolve(domain, model, missing-len(spares), repairMargin) {
		spares = d.eligible(domain, model)
	}
	if len(spares) < missing {
		d.release(members)
		return
	}
	for _, id := range spares[:missing] {
		members = append(members, member{id, d.nodes[id].incarnation})
	}
	d.add(group{g.name, g.model, 0, members})
}

func (d *draft) release(members []member) {
	for _, m := range members {
		delete(d.assigned, m.id)
	}
}

func (d *draft) add(g group) {
	d.next.groups = append(d.next.groups, g)
	d.assign(g)
	d.changed = true
}

// eligible returns the idle instances of a fabric domain that may join a replica of model. These are the warm ones, since a
// load from the weight store takes so long that the other members are more useful in another replica. Before the first call
// and for a model without replicas, all idle instances are eligible.
func (d *draft) eligible(domain string, model route.Model) []ID {
	free := d.idle(domain, model)
	if !d.callsSeen || d.replicaCount(model) == 0 {
		return free
	}
	return free[:d.countWarm(free, model)]
}

// countWarm returns how many instances are warm for model: they can join without a load from the weight store.
func (d *draft) countWarm(ids []ID, model route.Model) int {
	count := 0
	for _, id := range ids {
		if d.nodes[id].loadTime(model) < model.LoadTime() {
			count++
		}
	}
	return count
}

// idle returns the unassigned instances of a fabric domain that are alive, not leaving and not evacuated, those that load model
// fastest first, and of these the ones that are cold for the shortest time.
func (d *draft) idle(domain string, model route.Model) []ID {
	var free []ID
	for _, id := range d.byDomain[domain] {
		if !d.assigned[id] {
			free = append(free, id)
		}
	}
	slices.SortStableFunc(free, func(a, b ID) int {
		return cmp.Or(
			cmp.Compare(d.nodes[a].loadTime(model), d.nodes[b].loadTime(model)),
			cmp.Compare(d.nodes[a].coldLeft(d.now), d.nodes[b].coldLeft(d.now)),
		)
	})
	return free
}

// loadTime returns how long the instance takes to join a replica of model.
func (n *node) loadTime(model route.Model) time.Duration {
	switch {
	case n.lastModel == model.Name():
		return rejoinTime
	case n.hasStaged(model.Name()):
		return model.WarmLoadTime()
	}
	return model.LoadTime()
}

// form creates new replicas of idle instances, first for the model under the highest pressure, in the domain where they
// load fastest.
func (d *draft) form() {
	for d.formOne() {
	}
}

// formWhileListing creates replicas of the model under the highest pressure only. Those of another model would take instances
// that the next replica of this one needs.
func (d *draft) formWhileListing() {
	for d.formOneOf(d.byPressure()[:1]) {
	}
}

func (d *draft) formOne() bool { return d.formOneOf(d.byPressure()) }

// formOneOf creates a replica of the first model for which there are enough instances, and reports whether there is one.
func (d *draft) formOneOf(models []route.Model) bool {
	for _, model := range models {
		if members := d.fastestMembers(model); members != nil {
			d.add(group{d.unusedName(), model.Name(), 0, members})
			return true
		}
	}
	return false
}

// fastestMembers returns the idle instances of the domain that can form a replica of model first, nil if there are too few.
// Of equal domains it chooses the one whose head is cold for the shortest time, then the one with the most idle instances, so
// that small replicas share domains with large ones and can give them members.
func (d *draft) fastestMembers(model route.Model) []member {
	var best []member
	var bestTime, bestCold time.Duration
	bestIdle := 0
	for _, domain := range d.domains() {
		free := d.eligible(domain, model)
		if len(free) < model.ReplicaSize() {
			continue
		}
		slowest := d.nodes[free[model.ReplicaSize()-1]].loadTime(model)
		cold := d.nodes[free[0]].coldLeft(d.now) // of the head, which gets the requests
		order := cmp.Or(cmp.Compare(slowest, bestTime), cmp.Compare(cold, bestCold), cmp.Compare(bestIdle, len(free)))
		if best != nil && order >= 0 {
			continue
		}
		best, bestTime, bestCold, bestIdle = nil, slowest, cold, len(free)
		for _, id := range free[:model.ReplicaSize()] {
			best = append(best, member{id, d.nodes[id].incarnation})
		}
	}
	return best
}

// domains returns the sorted fabric domains that have instances to use.
func (d *draft) domains() []string { return slices.Sorted(maps.Keys(d.byDomain)) }

// unusedName returns a replica name that is not in the draft. It contains the next epoch, so no earlier record used it.
func (d *draft) unusedName() string {
	for i := 1; ; i++ {
		name := "r" + strconv.FormatUint(d.nextEpoch(), 10) + "-" + strconv.Itoa(i)
		if !slices.ContainsFunc(d.next.groups, func(g group) bool { return g.name == name }) {
			return name
		}
	}
}
