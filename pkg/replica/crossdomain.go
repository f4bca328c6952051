package replica

import (
	"slices"

	"github.com/azurepond/azurepond/pkg/route"
)

// When many instances are lost at once, those that are left stand idle in domains that have too few of them for a replica,
// until the weight store has loaded others. Across domains they form replicas that are slow, but serve meanwhile.

// isFar reports whether the members of g lie in several domains.
func (d *draft) isCrossDomain(g group) bool {
	return slices.ContainsFunc(g.members, func(m member) bool {
		return d.nodes[m.id].domain != d.nodes[g.members[0].id].domain
	})
}

// liftFar takes the replicas across domains out of the draft, so that their members can form others within a domain.
func (d *draft) removeCrossDomain() []group {
	var far []group
	d.next.groups = slices.DeleteFunc(d.next.groups, func(g group) bool {
		isFar := d.isCrossDomain(g)
		if isFar {
			far = append(far, g)
			d.release(g.members)
		}
		return isFar
	})
	return far
}

// restoreFar puts those back whose members were not needed.
func (d *draft) restoreCrossDomain(far []group) {
	for _, g := range far {
		if slices.ContainsFunc(g.members, func(m member) bool { return d.assigned[m.id] }) {
			d.changed = true
			continue
		}
		d.next.groups = append(d.next.groups, g)
		d.assign(g)
	}
}

// formFar forms replicas across domains of instances that can join without the weight store.
func (d *draft) formCrossDomain() {
	if !d.callsSeen {
		return
	}
	for _, model := range d.byPressure() {
		free := d.warmAcrossDomains(model)
		for len(free) >= model.ReplicaSize() {
			var members []member
			for _, id := range free[:model.ReplicaSize()] {
				members = append(members, member{id, d.nodes[id].incarnation})
			}
			d.add(group{d.unusedName(), model.Name(), 0, members})
			free = free[model.ReplicaSize():]
		}
	}
}

// everywhere returns the idle instances of all domains that can join a replica of model without the weight store, those
// of the domains with the most of them first, so that few domains are mixed.
func (d *draft) warmAcrossDomains(model route.Model) []ID {
	byDomain := [][]ID{}
	for _, domain := range d.domains() {
		free := d.idle(domain, model)
		byDomain = append(byDomain, free[:d.countWarm(free, model)])
	}
	slices.SortStableFunc(byDomain, func(a, b []ID) int { return len(b) - len(a) })
	return slices.Concat(byDomain...)
}
