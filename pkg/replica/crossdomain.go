package replica

import (
	"slices"

	"github.com/azurepond/azurepond/pkg/route"
)

// When many instances are lost at once, the remaining ones are idle in domains that have too few of them for a replica,
// until others have loaded from the weight store. Until then they form replicas across domains, which are slow but
// serve calls.

// isCrossDomain reports whether the members of g belong to several domains.
func (d *draft) isCrossDomain(g group) bool {
	return slices.ContainsFunc(g.members, func(m member) bool {
		return d.nodes[m.id].domain != d.nodes[g.members[0].id].domain
	})
}

// removeCrossDomain removes the cross-domain replicas from the draft, so that their members can form others within a domain.
func (d *draft) removeCrossDomain() []group {
	var removed []group
	d.next.groups = slices.DeleteFunc(d.next.groups, func(g group) bool {
		crossDomain := d.isCrossDomain(g) && !d.hasEvacuated(g)
		if crossDomain {
			removed = append(removed, g)
			d.release(g.members)
		}
		return crossDomain
	})
	return removed
}

// restoreCrossDomain adds the replicas back whose members were not needed.
func (d *draft) restoreCrossDomain(removed []group) {
	for _, g := range removed {
		if slices.ContainsFunc(g.members, func(m member) bool { return d.assigned[m.id] }) {
			d.changed = true
			continue
		}
		d.next.groups = append(d.next.groups, g)
		d.assign(g)
	}
}

// formCrossDomain forms cross-domain replicas of warm instances.
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

// warmAcrossDomains returns the idle instances of all domains that are warm for model. Domains with the most of them come
// first, so that a replica spans few domains.
func (d *draft) warmAcrossDomains(model route.Model) []ID {
	byDomain := [][]ID{}
	for _, domain := range d.domains() {
		free := d.idle(domain, model)
		byDomain = append(byDomain, free[:d.countWarm(free, model)])
	}
	slices.SortStableFunc(byDomain, func(a, b []ID) int { return len(b) - len(a) })
	return slices.Concat(byDomain...)
}
