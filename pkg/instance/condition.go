package instance

import "time"

// condition is what a planner thinks of one rank of a replica.
type condition uint8

const (
	sound condition = iota
	vacant
	lost
	stuck
	restarted
	evicted
	drained
)

// facts are what a planner asks of one entry again and again; a change of its members makes them void.
type facts struct {
	domain     string
	conditions []condition
	counts     conditions
}

func (d *draft) facts(e *entry) *facts {
	if e.facts != nil {
		return e.facts
	}
	f := &facts{domain: d.mainDomain(e), conditions: make([]condition, len(e.slots))}
	for rank := range e.slots {
		c := d.examine(e, rank)
		f.conditions[rank] = c
		f.counts[c]++
	}
	e.facts = f
	return f
}

// condition returns the condition of rank of e.
func (d *draft) condition(e *entry, rank int) condition { return d.facts(e).conditions[rank] }

// conditions counts the ranks of e by their condition.
func (d *draft) conditions(e *entry) conditions { return d.facts(e).counts }

// domain returns the fabric domain of most members of e, the first by name if several have as many.
func (d *draft) domain(e *entry) string { return d.facts(e).domain }

func (d *draft) examine(e *entry, rank int) condition {
	s := &e.slots[rank]
	n := d.state.nodes[s.id]
	switch {
	case s.id == "":
		return vacant
	case n == nil || n.gone || d.silent(n):
		return lost
	case n.row.leaving:
		return evicted
	case n.seen && n.sighting.boot != s.boot:
		return restarted
	case d.stuck(n, NewAssignment(e.replica, e.fence), d.loadTimeOf(e)):
		return stuck
	case d.operatorDrains(s.id):
		return drained
	}
	return sound
}

// Time that an instance gets to do what it was ordered, beyond a multiple of the time that a load takes.
const (
	stuckLoads = 4
	stuckGrace = time.Minute
)

// stuck reports whether the instance answers but has not come to where it was ordered for far longer than a load takes.
func (d *draft) stuck(n *node, want Assignment, load time.Duration) bool {
	if n.wanted != want || n.sighting.assignment == want && n.sighting.phase == Ready {
		return false
	}
	began := n.first
	if n.since.After(began) {
		began = n.since
	}
	return d.now.Sub(began) > stuckLoads*load+stuckGrace
}

func (d *draft) loadTimeOf(e *entry) time.Duration {
	m, _ := d.model(e)
	return d.state.settings.loadTime(m)
}

// conditions counts the ranks of an entry by their condition.
type conditions [drained + 1]int

// broken reports whether the replica cannot work: a member is absent, stuck or started anew.
func (c conditions) broken() bool { return c[vacant]+c[lost]+c[stuck]+c[restarted] > 0 }

// holes returns the number of ranks that need another instance.
func (c conditions) holes() int { return c[vacant] + c[lost] + c[stuck] + c[evicted] + c[drained] }

// prepared reports whether the substitute of rank has loaded.
func (d *draft) prepared(e *entry, rank int) bool {
	next := e.slots[rank].next
	n := d.state.nodes[next.id]
	if next.id == "" || !d.fresh(n) {
		return false
	}
	return n.sighting.boot == next.boot && n.sighting.phase == Ready &&
		n.sighting.assignment == NewAssignment(e.replica, next.fence)
}

// quiescent reports whether no work runs in the replica any more: all daemons had time to learn that it drains, and its
// members say that nothing runs, or it is broken, or the limit has passed.
func (d *draft) quiescent(e *entry) bool {
	g := d.group(e)
	if g == nil || g.draining.IsZero() {
		return false
	}
	settled := g.draining.Add(d.state.settings.maxProbeAge)
	if d.now.Before(settled) {
		return false
	}
	if d.now.Sub(g.draining) >= d.state.settings.drain || d.conditions(e).broken() {
		return true
	}
	for _, s := range e.slots {
		n := d.state.nodes[s.id]
		if !d.fresh(n) || n.sighting.at.Before(settled) {
			return false
		}
		if n.sighting.load.running+n.sighting.load.queued > 0 {
			return false
		}
	}
	return true
}
