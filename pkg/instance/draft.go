package instance

import "time"

// planner decides the next record of a pool by changing a draft.
type planner interface{ plan(d *draft) }

// draft is the next record of a pool in the making, with what a planner may look at.
//
// Its verbs keep the record safe whatever the planner chooses: an instance stands at most once in it, and leaves a
// replica that may have work only after that replica is drained.
type draft struct {
	state   *State
	pool    *pool
	now     time.Time
	fence   FencingToken
	record  *record
	places  map[ID]place
	spares  []*node
	changed bool

	expected map[ID]bool
}

func newDraft(s *State, p *pool, now time.Time) *draft {
	d := &draft{state: s, pool: p, now: now, fence: p.record.fence + 1}
	d.record = &record{pool: p.name, fence: p.record.fence, loads: append([]load(nil), p.record.loads...)}
	for _, e := range p.record.entries {
		e.slots, e.facts = append([]slot(nil), e.slots...), nil
		d.record.entries = append(d.record.entries, e)
	}
	d.places = p.record.places()
	d.findSpares()
	return d
}

// findSpares lists the instances that may take any place: heard of lately, idle, and named in no record.
func (d *draft) findSpares() {
	for _, id := range d.state.listed {
		n := d.state.nodes[id]
		_, recorded := d.places[id]
		if recorded || !d.usable(n) || !n.free() {
			continue
		}
		d.spares = append(d.spares, n)
	}
}

// usable reports whether the instance belongs to the pool, was heard of lately, is not about to go, and was not given up
// as stuck in its present start.
func (d *draft) usable(n *node) bool {
	return d.state.owns(d.pool, n) && d.fresh(n) && !d.departing(n) && n.failed != n.sighting.boot
}

func (d *draft) fresh(n *node) bool {
	return n != nil && n.fresh(d.now, d.state.trusted, d.state.settings.maxProbeAge)
}

// departing reports whether the instance is about to go: it leaves, has left the list, or an operator drains it.
func (d *draft) departing(n *node) bool {
	return d.evicted(n) || d.operatorDrains(n.id)
}

func (d *draft) operatorDrains(id ID) bool {
	_, drained := d.state.drainedInstances[id]
	return drained
}

// evicted reports whether the platform takes the instance away.
func (d *draft) evicted(n *node) bool { return n.row.leaving || n.gone }

// silent reports whether the instance was not heard of for so long that its work counts as lost; where nobody saw it fail
// to answer, the news of it may just be late, which counts for as long as evidence does.
func (d *draft) silent(n *node) bool {
	heard := n.sighting.at
	for _, start := range []time.Time{d.pool.quiet, d.state.trusted} {
		if start.After(heard) {
			heard = start
		}
	}
	limit := d.state.settings.pause
	if !n.missed.After(n.sighting.at) {
		limit += d.state.settings.maxProbeAge
	}
	return d.now.Sub(heard) > limit
}

// group returns what is judged of the replica as the adopted record has it.
func (d *draft) group(e *entry) *group { return d.state.groups[e.replica] }

func (d *draft) mainDomain(e *entry) string {
	counts := map[string]int{}
	best := ""
	for _, s := range e.slots {
		n := d.state.nodes[s.id]
		if n == nil {
			continue
		}
		name := n.row.domain
		counts[name]++
		if counts[name] > counts[best] || counts[name] == counts[best] && name < best {
			best = name
		}
	}
	return best
}

// dataCentre returns the data centre of the domain called name.
func (d *draft) dataCentre(name string) string {
	for _, id := range d.state.listed {
		if row := d.state.nodes[id].row; row.domain == name {
			return row.dataCentre
		}
	}
	return ""
}

// model returns the model of an entry, ok is false if the settings no longer name it.
func (d *draft) model(e *entry) (m Model, ok bool) {
	return d.state.settings.model(d.pool.name, e.model)
}

// blind reports whether most listed instances are silent at once, which points at this daemon.
func (d *draft) blind() bool {
	listed, silent := 0, 0
	for _, id := range d.state.listed {
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
