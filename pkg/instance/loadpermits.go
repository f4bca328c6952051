package instance

import "sort"

// releaseLoadPermits removes the permits of loads that have certainly ended.
func (d *draft) releaseLoadPermits() {
	var kept []loadPermit
	for _, l := range d.record.loadPermits {
		if !d.loadEnded(l) {
			kept = append(kept, l)
		}
	}
	if len(kept) == len(d.record.loadPermits) {
		return
	}
	d.changed = true
	d.record.loadPermits = kept
}

// loadEnded reports whether the boot of an instance no longer loads and no order in flight can make it load.
func (d *draft) loadEnded(l loadPermit) bool {
	n := d.state.nodes[l.id]
	if n == nil || n.delisted {
		return true
	}
	if !d.fresh(n) {
		return n.sinceProbe(d.now) > d.state.settings.silentLoadTimeout
	}
	if n.lastProbe.boot != l.boot {
		return true
	}
	at, recorded := d.positions[l.id]
	if recorded {
		e := &d.record.entries[at.entry]
		return n.lastProbe.phase == PhaseReady && n.lastProbe.assignment.replica == e.replica
	}
	return n.free() && d.now.After(n.orderDeadline)
}

// loadRequest is a missing permit and its urgency.
type loadRequest struct {
	permit  loadPermit
	urgency urgency
}

// urgency orders loads by class, then by their bytes per weight of downtime, so that replicas that become available soonest
// for their weight load first.
type urgency struct {
	class int
	cost  float64
}

// Classes of urgency, the most urgent first.
const (
	urgencyWanted  = iota // for an unavailable wanted replica
	urgencySurplus        // for an unavailable surplus replica
	urgencyPreload        // for a replica that is still available
	urgencyBlocked        // for a replica that other open ranks keep unavailable
)

func (u urgency) before(v urgency) bool {
	if u.class != v.class {
		return u.class < v.class
	}
	return u.cost < v.cost
}

// grantLoadPermits grants as many permits as the weight store's rate allows.
func (d *draft) grantLoadPermits(byUrgency bool) {
	room := d.pool.maxLoads - len(d.record.loadPermits)
	if room <= 0 {
		return
	}
	requests := d.loadRequests()
	if byUrgency {
		sort.SliceStable(requests, func(i, j int) bool { return requests[i].urgency.before(requests[j].urgency) })
	}
	for _, r := range requests[:min(room, len(requests))] {
		d.changed = true
		d.record.loadPermits = append(d.record.loadPermits, r.permit)
	}
}

// loadRequests returns the missing permits in the order of the record.
func (d *draft) loadRequests() []loadRequest {
	var requests []loadRequest
	for i := range d.record.entries {
		e := &d.record.entries[i]
		if e.retiring {
			continue
		}
		first := len(requests)
		for rank := range e.slots {
			for _, isSubstitute := range []bool{false, true} {
				if l, needed := d.neededPermit(position{i, rank, isSubstitute}); needed {
					requests = append(requests, loadRequest{permit: l})
				}
			}
		}
		u := d.urgency(e, len(requests)-first)
		for j := range requests[first:] {
			requests[first+j].urgency = u
		}
	}
	return requests
}

// neededPermit returns the permit that the instance at p needs and doesn't have, if any.
func (d *draft) neededPermit(p position) (loadPermit, bool) {
	s := d.record.entries[p.entry].slots[p.rank]
	id, boot := s.id, s.boot
	if p.isSubstitute {
		id, boot = s.substitute.id, s.substitute.boot
	}
	n := d.state.nodes[id]
	if id == "" || !d.fresh(n) || n.lastProbe.boot != boot {
		return loadPermit{}, false
	}
	if !needsLoad(n, d.record.assignment(p)) || d.record.mayLoad(id, boot) {
		return loadPermit{}, false
	}
	return loadPermit{id, boot}, true
}

func (d *draft) urgency(e *entry, loads int) urgency {
	m, _ := d.model(e)
	cost := float64(loads) * float64(max(m.bytes, 1)) / max(m.downtimeWeight, 1)
	rs := d.replicaState(e)
	switch {
	case d.blocked(e):
		return urgency{urgencyBlocked, cost}
	case rs != nil && rs.available:
		return urgency{urgencyPreload, cost}
	case d.surplus(e):
		return urgency{urgencySurplus, cost}
	}
	return urgency{urgencyWanted, cost}
}

// blocked reports whether some rank of the replica has neither a healthy member nor a substitute.
func (d *draft) blocked(e *entry) bool {
	for rank := range e.slots {
		switch d.condition(e, rank) {
		case vacant, lost, stuck, evicted:
			if e.slots[rank].substitute.id == "" {
				return true
			}
		}
	}
	return false
}
