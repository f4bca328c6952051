package instance

import "time"

// condition is the planner's view of one rank of a replica.
type condition uint8

const (
	healthy   condition = iota // none of the others; it may still load
	vacant                     // no member
	lost                       // the member is silent or no longer listed
	stuck                      // the member does not reach its assignment
	restarted                  // the member runs another boot than the recorded one
	evicted                    // the platform removes the member
	drained                    // an operator drains the member
)

// assessment caches what a planner reads of one entry many times. A change of the members invalidates it.
type assessment struct {
	domain     string
	conditions []condition
	counts     conditionCounts
}

func (d *draft) assess(e *entry) *assessment {
	if e.assessment != nil {
		return e.assessment
	}
	a := &assessment{domain: d.mainDomain(e), conditions: make([]condition, len(e.slots))}
	for rank := range e.slots {
		c := d.assessRank(e, rank)
		a.conditions[rank] = c
		a.counts[c]++
	}
	e.assessment = a
	return a
}

func (d *draft) condition(e *entry, rank int) condition { return d.assess(e).conditions[rank] }

// conditionCounts returns the number of ranks of e in each condition.
func (d *draft) conditionCounts(e *entry) conditionCounts { return d.assess(e).counts }

// domain returns the fabric domain of most members of e, on a tie the first by name.
func (d *draft) domain(e *entry) string { return d.assess(e).domain }

func (d *draft) assessRank(e *entry, rank int) condition {
	s := &e.slots[rank]
	n := d.state.nodes[s.id]
	switch {
	case s.id == "":
		return vacant
	case n == nil || n.delisted || d.silent(n):
		return lost
	case n.listing.leaving:
		return evicted
	case n.probed && n.lastProbe.boot != s.boot:
		return restarted
	case d.stuck(n, NewAssignment(e.replica, e.fencingToken), d.loadTimeOf(e)):
		return stuck
	case d.operatorDrains(s.id):
		return drained
	}
	return healthy
}

// An instance is stuck after stuckLoadFactor load times plus stuckGracePeriod without progress.
const (
	stuckLoadFactor  = 4
	stuckGracePeriod = time.Minute
)

// stuck reports whether the instance is alive but has not reached its ordered assignment for far longer than a load
// takes.
func (d *draft) stuck(n *node, ordered Assignment, load time.Duration) bool {
	if n.orderedAssignment != ordered || n.lastProbe.assignment == ordered && n.lastProbe.phase == PhaseReady {
		return false
	}
	start := n.firstOrdered
	if n.changedAt.After(start) {
		start = n.changedAt
	}
	return d.now.Sub(start) > stuckLoadFactor*load+stuckGracePeriod
}

func (d *draft) loadTimeOf(e *entry) time.Duration {
	m, _ := d.model(e)
	return d.state.settings.loadTime(m)
}

// conditionCounts is the number of ranks of an entry in each condition.
type conditionCounts [drained + 1]int

// broken reports whether the replica cannot work because a member is absent, stuck or restarted.
func (c conditionCounts) broken() bool { return c[vacant]+c[lost]+c[stuck]+c[restarted] > 0 }

// openRanks returns the number of ranks that need another instance.
func (c conditionCounts) openRanks() int {
	return c[vacant] + c[lost] + c[stuck] + c[evicted] + c[drained]
}

// substituteReady reports whether the substitute of rank has loaded.
func (d *draft) substituteReady(e *entry, rank int) bool {
	next := e.slots[rank].substitute
	n := d.state.nodes[next.id]
	if next.id == "" || !d.fresh(n) {
		return false
	}
	return n.lastProbe.boot == next.boot && n.lastProbe.phase == PhaseReady &&
		n.lastProbe.assignment == NewAssignment(e.replica, next.fencingToken)
}

// quiescent reports whether no request runs in the replica any more. All daemons must have had time to receive the
// drain, and either the members report no requests, the replica is broken, or the drain timeout has passed.
func (d *draft) quiescent(e *entry) bool {
	rs := d.replicaState(e)
	if rs == nil || rs.drainingSince.IsZero() {
		return false
	}
	drainKnown := rs.drainingSince.Add(d.state.settings.maxProbeAge)
	if d.now.Before(drainKnown) {
		return false
	}
	if d.now.Sub(rs.drainingSince) >= d.state.settings.drainTimeout || d.conditionCounts(e).broken() {
		return true
	}
	for _, s := range e.slots {
		n := d.state.nodes[s.id]
		if !d.fresh(n) || n.lastProbe.at.Before(drainKnown) {
			return false
		}
		if n.lastProbe.load.running+n.lastProbe.load.queued > 0 {
			return false
		}
	}
	return true
}
