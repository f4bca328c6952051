package instance

import (
	"sort"
	"time"
)

// formWanted forms the wanted replicas that are not recorded, those of the highest weight first. If a model has lacked
// replicas for one load time, its replicas may span the domains of one data centre.
func (d *draft) formWanted() {
	d.formLargestFirst()
	for _, m := range d.byWeight() {
		missing := m.replicas - d.countReplicas(m)
		d.markShort(m, missing > 0)
		for range max(missing, 0) {
			members := d.pickSpares(m, 0, 0)
			if members == nil && d.shortFor(m) >= d.state.settings.loadTime(m) {
				members = d.pickAcrossDomains(m)
			}
			if members == nil {
				break
			}
			d.form(m, members)
		}
	}
}

// formLargestFirst forms the wanted replicas in descending order of span if all of them fit, so that small replicas
// don't fragment the domains that large ones need.
func (d *draft) formLargestFirst() {
	spares := d.spares
	var packed [][]*node
	wanted := d.bySpan()
	for _, m := range wanted {
		members := d.pickSpares(m, 0, 0)
		if members == nil {
			d.spares = spares
			return
		}
		packed = append(packed, members)
	}
	for i, members := range packed {
		d.form(wanted[i], members)
	}
}

// bySpan returns the model of each wanted replica that is not recorded, the largest span first.
func (d *draft) bySpan() []Model {
	var wanted []Model
	for _, m := range d.byWeight() {
		for range max(m.replicas-d.countReplicas(m), 0) {
			wanted = append(wanted, m)
		}
	}
	sort.SliceStable(wanted, func(i, j int) bool { return wanted[i].span > wanted[j].span })
	return wanted
}

// formSurplus forms surplus replicas from instances that would otherwise stay idle.
func (d *draft) formSurplus() {
	for _, m := range d.byWeight() {
		for extra := d.countReplicas(m) - m.replicas; extra >= 0 && extra < m.surplus; extra++ {
			members := d.pickSpares(m, d.reservedSpares(m), d.state.settings.loadTime(m))
			if members == nil {
				break
			}
			d.form(m, members)
		}
	}
}

// retireExcess retires a replica of each model that has more than its wanted and surplus ones.
func (d *draft) retireExcess() {
	for _, m := range d.pool.models {
		if d.countReplicas(m) <= m.replicas+m.surplus {
			continue
		}
		if i := d.leastUseful(m); i >= 0 {
			d.retire(i)
		}
	}
}

// leastUseful returns the entry of m to retire first: one that is not available, then the newest.
func (d *draft) leastUseful(m Model) int {
	best, bestAvailable := -1, true
	for i := range d.record.entries {
		e := &d.record.entries[i]
		if e.model != m.name || e.retiring {
			continue
		}
		rs := d.replicaState(e)
		available := rs != nil && rs.available
		if best < 0 || !available || bestAvailable {
			best, bestAvailable = i, available
		}
	}
	return best
}

// byWeight returns the models of the pool in descending order of downtime weight per instance.
func (d *draft) byWeight() []Model {
	models := append([]Model(nil), d.pool.models...)
	sort.SliceStable(models, func(i, j int) bool {
		return models[i].downtimeWeight*float64(models[j].span) > models[j].downtimeWeight*float64(models[i].span)
	})
	return models
}

// countReplicas returns how many replicas of m the record holds, without retiring ones and those with an expired
// outage.
func (d *draft) countReplicas(m Model) int {
	count := 0
	for i := range d.record.entries {
		e := &d.record.entries[i]
		if e.model == m.name && !e.retiring && !d.outageExpired(e, m) {
			count++
		}
	}
	return count
}

// outageExpired reports whether the outage of the replica has lasted as long as forming it again takes.
func (d *draft) outageExpired(e *entry, m Model) bool {
	rs := d.replicaState(e)
	if rs == nil || !d.inOutage(e) {
		return false
	}
	waves := (m.span + max(d.pool.maxLoads, 1) - 1) / max(d.pool.maxLoads, 1)
	return d.now.Sub(rs.unavailableSince) >= time.Duration(waves)*d.state.settings.loadTime(m)
}

// surplus reports whether the replica exceeds the wanted number of its model.
func (d *draft) surplus(e *entry) bool {
	m, ok := d.model(e)
	if !ok {
		return true
	}
	before := 0
	for i := range d.record.entries {
		o := &d.record.entries[i]
		if o.replica == e.replica {
			break
		}
		if o.model == e.model && !o.retiring && !d.outageExpired(o, m) {
			before++
		}
	}
	return before >= m.replicas
}

// pickSpares returns spares of one domain for a replica of m, nil if no domain has enough beyond reserve that were idle
// for that long. It takes the domain with the most, so that the remaining spares are spread over the domains.
func (d *draft) pickSpares(m Model, reserve int, idle time.Duration) []*node {
	counts := map[string]int{}
	for _, n := range d.spares {
		if d.fitsAndIdle(n, m, idle) {
			counts[n.listing.domain]++
		}
	}
	var best *node
	for _, n := range d.spares {
		count := counts[n.listing.domain]
		if count >= m.span+reserve && (best == nil || count > counts[best.listing.domain]) {
			best = n
		}
	}
	if best == nil {
		return nil
	}
	return d.takeSpares(m, idle, func(n *node) bool { return n.listing.domain == best.listing.domain })
}

// pickAcrossDomains returns spares of one data centre for a replica of m, nil if none has enough.
func (d *draft) pickAcrossDomains(m Model) []*node {
	counts := map[string]int{}
	for _, n := range d.spares {
		if fits(n, m) {
			counts[n.listing.dataCentre]++
		}
	}
	for _, n := range d.spares {
		dataCentre := n.listing.dataCentre
		if counts[dataCentre] >= m.span {
			return d.takeSpares(m, 0, func(n *node) bool { return n.listing.dataCentre == dataCentre })
		}
	}
	return nil
}

func (d *draft) takeSpares(m Model, idle time.Duration, include func(*node) bool) []*node {
	var taken, kept []*node
	for _, n := range d.spares {
		if len(taken) < m.span && include(n) && d.fitsAndIdle(n, m, idle) {
			taken = append(taken, n)
			continue
		}
		kept = append(kept, n)
	}
	d.spares = kept
	return taken
}

func (d *draft) fitsAndIdle(n *node, m Model, idle time.Duration) bool {
	return fits(n, m) && d.now.Sub(n.changedAt) >= idle
}

func (d *draft) markShort(m Model, short bool) {
	if !short {
		delete(d.pool.shortSince, m.name)
		return
	}
	if _, isShort := d.pool.shortSince[m.name]; !isShort {
		d.pool.shortSince[m.name] = d.now
	}
}

func (d *draft) shortFor(m Model) time.Duration { return d.now.Sub(d.pool.shortSince[m.name]) }
