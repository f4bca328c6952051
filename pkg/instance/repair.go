package instance

import "sort"

// openRank is a rank that needs another instance.
type openRank struct {
	entry int
	rank  int
}

// repair assigns a substitute to each open rank and returns the ranks that remain open. Replicas that become available
// soonest for their weight choose first. A replaced member remains in place until its substitute has loaded, so that
// one that only paused returns at no cost.
func (d *draft) repair() []openRank {
	var open []openRank
	for _, i := range d.repairOrder() {
		e := &d.record.entries[i]
		m, _ := d.model(e)
		for rank := range e.slots {
			if !d.replaceable(e, rank) {
				continue
			}
			spare := d.findSpare(e, m, d.canWaitForDomain(e, rank))
			if spare < 0 {
				open = append(open, openRank{i, rank})
				continue
			}
			d.assignSubstitute(i, rank, d.takeSpare(spare))
		}
	}
	return open
}

// replaceable reports whether rank needs a substitute and has none.
func (d *draft) replaceable(e *entry, rank int) bool {
	if e.slots[rank].substitute.id != "" {
		return false
	}
	switch d.condition(e, rank) {
	case vacant, lost, stuck, evicted, drained:
		return true
	}
	return false
}

// repairOrder returns the entries to repair, the most urgent first.
func (d *draft) repairOrder() []int {
	type candidate struct {
		entry   int
		urgency urgency
	}
	var candidates []candidate
	for i := range d.record.entries {
		e := &d.record.entries[i]
		open := d.conditionCounts(e).openRanks()
		if e.retiring || open == 0 || d.inOutage(e) {
			continue
		}
		candidates = append(candidates, candidate{i, d.repairUrgency(e, open)})
	}
	sort.SliceStable(candidates, func(i, j int) bool { return candidates[i].urgency.before(candidates[j].urgency) })
	order := make([]int, len(candidates))
	for k, c := range candidates {
		order[k] = c.entry
	}
	return order
}

func (d *draft) repairUrgency(e *entry, open int) urgency {
	m, _ := d.model(e)
	u := urgency{urgencyWanted, float64(open) * float64(max(m.bytes, 1)) / max(m.downtimeWeight, 1)}
	if d.surplus(e) {
		u.class = urgencySurplus
	}
	return u
}

// inOutage reports whether most members of the replica are silent at once though they are still listed, as in the
// outage of a domain. Such a replica is not repaired member by member: it recovers with its domain or is formed again
// elsewhere.
func (d *draft) inOutage(e *entry) bool {
	silent := 0
	for rank, s := range e.slots {
		n := d.state.nodes[s.id]
		if d.condition(e, rank) == lost && s.substitute.id == "" && n != nil && n.listed {
			silent++
		}
	}
	return silent >= 2 && silent*2 > len(e.slots)
}

// canWaitForDomain reports whether rank can wait for an instance of its own domain: its drained member still serves,
// and a surplus replica of the domain is retiring or can be retired.
func (d *draft) canWaitForDomain(e *entry, rank int) bool {
	if d.condition(e, rank) != drained {
		return false
	}
	domain := d.domain(e)
	for i := range d.record.entries {
		o := &d.record.entries[i]
		if d.domain(o) == domain && (o.retiring || d.dispensable(o)) {
			return true
		}
	}
	return false
}

// findSpare returns the index of the best spare for the replica, -1 for none. It prefers the replica's domain, then its
// data centre unless sameDomainOnly is set. It never takes another data centre, since the latency between data centres
// would make the replica useless.
func (d *draft) findSpare(e *entry, m Model, sameDomainOnly bool) int {
	domain := d.domain(e)
	dataCentre := d.dataCentre(domain)
	found := -1
	for i, n := range d.spares {
		if !fits(n, m) {
			continue
		}
		if n.listing.domain == domain {
			return i
		}
		if found < 0 && !sameDomainOnly && n.listing.dataCentre == dataCentre {
			found = i
		}
	}
	return found
}
