package instance

import "time"

// findExpected finds the instances that a rolling replacement will take next and excludes them from the spares.
func (d *draft) findExpected() {
	d.expectedToLeave = map[ID]bool{}
	for _, n := range d.expectedDepartures(d.maxLoadTime()) {
		d.expectedToLeave[n.id] = true
	}
	if len(d.expectedToLeave) == 0 {
		return
	}
	var kept []*node
	for _, n := range d.spares {
		if !d.expectedToLeave[n.id] {
			kept = append(kept, n)
		}
	}
	d.spares = kept
}

// maxLoadTime returns the longest load time of the pool's models.
func (d *draft) maxLoadTime() time.Duration {
	longest := time.Duration(0)
	for _, m := range d.pool.models {
		longest = max(longest, d.state.settings.loadTime(m))
	}
	return longest
}

// preload assigns spares as substitutes of members that are expected to leave, so that their replica is unavailable for
// a drain only, not for a load. Without a spare it retires a surplus replica if that costs less than the downtime.
func (d *draft) preload() {
	if len(d.expectedToLeave) == 0 {
		return
	}
	soonFree := d.soonFree()
	for i := range d.record.entries {
		e := &d.record.entries[i]
		if e.retiring || d.surplus(e) {
			continue
		}
		for rank := range e.slots {
			d.preloadRank(i, rank, soonFree)
		}
	}
}

func (d *draft) preloadRank(i, rank int, soonFree map[string]int) {
	e := &d.record.entries[i]
	if !d.expectedToLeave[e.slots[rank].id] || e.slots[rank].substitute.id != "" || d.condition(e, rank) != healthy {
		return
	}
	m, _ := d.model(e)
	if spare := d.findSpare(e, m, false); spare >= 0 {
		d.assignSubstitute(i, rank, d.takeSpare(spare))
		return
	}
	dataCentre := d.dataCentre(d.domain(e))
	if soonFree[dataCentre] > 0 {
		soonFree[dataCentre]--
		return
	}
	if d.preloadWorthwhile(m) {
		soonFree[dataCentre] += max(d.retireSurplus(e, dataCentre)-1, 0)
	}
}

// preloadWorthwhile reports whether the downtime that a loaded substitute saves costs more than its idle accelerators
// until the member leaves.
func (d *draft) preloadWorthwhile(m Model) bool {
	load := d.state.settings.loadTime(m).Seconds()
	idle := 2 * load * float64(m.accelerators)
	return m.downtimeWeight*load > m.strandingWeight*idle
}
