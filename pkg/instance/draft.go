package instance

import "time"

// planner decides the next record of a pool by changing a draft.
type planner interface{ plan(d *draft) }

// draft is the next record of a pool while a planner changes it.
//
// Its methods keep the record safe whatever the planner chooses: an instance is in it at most once, and leaves a
// replica that may receive requests only after that replica has drained.
type draft struct {
	state     *State
	pool      *pool
	now       time.Time
	revision  FencingToken // of the next record
	record    *record
	positions map[ID]position
	spares    []*node
	changed   bool

	expectedToLeave map[ID]bool // next in a rolling replacement
}

func newDraft(s *State, p *pool, now time.Time) *draft {
	d := &draft{state: s, pool: p, now: now, revision: p.record.revision + 1}
	d.record = &record{
		pool: p.name, revision: p.record.revision,
		loadPermits: append([]loadPermit(nil), p.record.loadPermits...),
	}
	for _, e := range p.record.entries {
		e.slots, e.assessment = append([]slot(nil), e.slots...), nil
		d.record.entries = append(d.record.entries, e)
	}
	d.positions = p.record.positions()
	d.collectSpares()
	return d
}

// collectSpares lists the instances that may take any rank: alive, idle and in no record.
func (d *draft) collectSpares() {
	for _, id := range d.state.listedIDs {
		n := d.state.nodes[id]
		_, recorded := d.positions[id]
		if recorded || !d.usable(n) || !n.free() {
			continue
		}
		d.spares = append(d.spares, n)
	}
}

// usable reports whether the instance belongs to the pool, is alive, is not about to leave and was not given up as
// stuck in its current boot.
func (d *draft) usable(n *node) bool {
	return d.state.owns(d.pool, n) && d.fresh(n) && !d.departing(n) && n.stuckBoot != n.lastProbe.boot
}

func (d *draft) fresh(n *node) bool {
	return n != nil && n.fresh(d.now, d.state.trustedSince, d.state.settings.maxProbeAge)
}

// departing reports whether the instance is about to leave: it leaves, is no longer listed or is drained by an
// operator.
func (d *draft) departing(n *node) bool {
	return d.evicted(n) || d.operatorDrains(n.id)
}

func (d *draft) operatorDrains(id ID) bool {
	_, drained := d.state.drainedInstances[id]
	return drained
}

// evicted reports whether the platform removes the instance.
func (d *draft) evicted(n *node) bool { return n.listing.leaving || n.delisted }

// silent reports whether the instance has not answered probes for so long that its work counts as lost. Without a
// failed probe, the results may only be delayed, so the limit grows by the maximum age of a result.
func (d *draft) silent(n *node) bool {
	answered := n.lastProbe.at
	for _, start := range []time.Time{d.pool.quietUntil, d.state.trustedSince} {
		if start.After(answered) {
			answered = start
		}
	}
	limit := d.state.settings.repairDelay
	if !n.probeFailedAt.After(n.lastProbe.at) {
		limit += d.state.settings.maxProbeAge
	}
	return d.now.Sub(answered) > limit
}

// replicaState returns the state of the replica in the current record.
func (d *draft) replicaState(e *entry) *replicaState { return d.state.replicas[e.replica] }

func (d *draft) mainDomain(e *entry) string {
	counts := map[string]int{}
	best := ""
	for _, s := range e.slots {
		n := d.state.nodes[s.id]
		if n == nil {
			continue
		}
		domain := n.listing.domain
		counts[domain]++
		if counts[domain] > counts[best] || counts[domain] == counts[best] && domain < best {
			best = domain
		}
	}
	return best
}

// dataCentre returns the data centre of a domain.
func (d *draft) dataCentre(domain string) string {
	for _, id := range d.state.listedIDs {
		if listing := d.state.nodes[id].listing; listing.domain == domain {
			return listing.dataCentre
		}
	}
	return ""
}

// model returns the model of an entry; ok is false if the settings don't name it.
func (d *draft) model(e *entry) (m Model, ok bool) {
	return d.state.settings.model(d.pool.name, e.model)
}

// isolated reports whether most listed instances are silent at once, which suggests that this daemon itself is cut off.
func (d *draft) isolated() bool {
	listed, silent := 0, 0
	for _, id := range d.state.listedIDs {
		n := d.state.nodes[id]
		if !d.state.owns(d.pool, n) {
			continue
		}
		listed++
		if d.silent(n) {
			silent++
		}
	}
	return silent*2 > listed
}
