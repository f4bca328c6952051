package replica

import (
	"strings"
	"time"

	"github.com/azurepond/azurepond/pkg/object"
)

// The leader sends orders and plans after each event in a small fleet. Both take longer the more instances there are, and
// hundreds of instances cause hundreds of events a second. In a large fleet, the leader therefore handles the events of an
// interval together, which grows with the number of instances.
const (
	orderIntervalPerInstance = 50 * time.Microsecond
	planIntervalPerInstance  = 250 * time.Microsecond // not for a plan that replaces a lost instance
	minEventInterval         = 25 * time.Millisecond  // shorter intervals are none: the next tick may be as late
	planInterval             = 250 * time.Millisecond // between plans without an event; an eighth of the time of a repair
)

// eventInterval returns for how long the events of all instances are handled together.
func (s *State) eventInterval(perInstance time.Duration) time.Duration {
	interval := min(time.Duration(len(s.nodes))*perInstance, planInterval)
	if interval < minEventInterval {
		return 0
	}
	return interval
}

// isPlanDue reports whether the record must be compared with the state.
func (s *State) isPlanDue(now time.Time) bool {
	elapsed := now.Sub(s.lastPlan)
	return s.isPlanUrgent || elapsed >= planInterval ||
		s.hasEventSincePlan && elapsed >= s.eventInterval(planIntervalPerInstance)
}

// setLeading starts or stops the formation of replicas by this daemon.
func (s *State) setLeading(now time.Time, leading bool) {
	if s.leading == leading {
		return
	}
	s.leading, s.recordRead, s.takeoverRecorded = leading, false, false
	s.leadingSince, s.refusals = now, 0
	s.lastOrders = map[ID]map[Verb]*sentOrder{}
	s.forgetReleases()
	clear(s.closings)
	if leading {
		s.writer.Reset()
	}
}

// Leading reports whether this daemon is the leader, which forms the replicas.
func (s *State) Leading() bool { return s.leading }

// Recorded returns the epoch of the record that this daemon knows, and its number of replicas.
func (s *State) Recorded() (epoch uint64, replicas int) { return s.record.epoch, len(s.record.groups) }

// reconcile takes the next step of the leader: it reads and writes the record, and sends orders that follow the record.
func (s *State) reconcile(now time.Time) {
	if !s.leading || len(s.engine.Models()) == 0 {
		return
	}
	if s.recordRead && s.writer.Synced() && now.Sub(s.lastReconcile) >= s.eventInterval(orderIntervalPerInstance) {
		s.lastReconcile = now
		if s.takeoverRecorded {
			s.sendOrders(now)
		}
		if s.isPlanDue(now) && s.recoverRecord(now) {
			s.lastPlan, s.isPlanUrgent, s.hasEventSincePlan = now, false, false
			s.writePlan(now)
		}
		s.emitCounts(now)
	}
	for _, request := range s.writer.Tick(now, &s.refs) {
		s.emit(Store{request})
	}
}

// writePlan writes the plan if it differs from the record. A new leader writes the record in any case before it sends
// orders, so that its orders have higher fencing tokens.
func (s *State) writePlan(now time.Time) {
	next, isChanged := s.plan(now)
	if !isChanged && s.takeoverRecorded {
		return
	}
	next.epoch, next.era = s.nextEpoch(), max(s.record.era, s.storeEra)
	for i := range next.groups {
		if next.groups[i].epoch == 0 {
			next.groups[i].epoch = next.epoch
		}
	}
	data, err := next.encode()
	if err != nil {
		s.emit(LogEntry{message: "record not written", reason: err.Error()})
		return
	}
	s.writer.Write(data)
}

func (s *State) applyStoreResult(now time.Time, result object.Result) {
	outcome := s.writer.Apply(now, result)
	switch outcome.(type) {
	case object.ReadCompleted:
		s.adoptRecord(now, false)
	case object.Written:
		s.adoptRecord(now, true)
	case object.Superseded:
		s.adoptRecord(now, false)
	case object.Unreadable:
		s.emit(LogEntry{message: "record unreadable", reason: "stored object is not a replica record and is not overwritten"})
	}
}

// adoptRecord applies the record that the writer holds. own says whether this daemon wrote it.
func (s *State) adoptRecord(now time.Time, own bool) {
	r, err := decodeRecord(s.writer.Value())
	if err != nil {
		s.emit(LogEntry{message: "record unreadable", reason: err.Error()})
		return
	}
	s.logChanges(r)
	s.noteRemovals(now, r)
	s.record, s.recordRead, s.takeoverRecorded, s.isRecordRecovered = r, true, own, false
	s.noteEpoch(r.epoch)
	switch {
	case own:
		s.orderCount, s.ownEpoch = 0, r.epoch
	case r.epoch != s.ownEpoch: // another leader has sent orders, which it does after it has written a record only
		s.inheritedEpoch, s.inheritedAt = r.epoch, now
	}
	s.lastReconcile = time.Time{}
}

// logChanges logs which replicas a record forms and removes.
func (s *State) logChanges(next record) {
	before := map[string]uint64{}
	for _, g := range s.record.groups {
		before[g.name] = g.epoch
	}
	for _, g := range next.groups {
		if before[g.name] != g.epoch {
			s.emit(LogEntry{"replica formed", g.name, g.model, g.epoch, g.ids(), "recorded"})
		}
		delete(before, g.name)
	}
	for name, epoch := range before {
		s.emit(LogEntry{message: "replica removed", replica: name, epoch: epoch, reason: "recorded"})
	}
}

// countsInterval is the time between two Counts in the log.
const countsInterval = 2 * time.Second

func (s *State) emitCounts(now time.Time) {
	if now.Sub(s.lastCounts) < countsInterval {
		return
	}
	s.lastCounts = now
	c := Counts{recorded: map[string]int{}, open: map[string]int{}, demand: map[string]float64{}}
	for id, n := range s.nodes {
		if !n.isAlive() {
			continue
		}
		c.alive++
		if n.leaving || s.isEvacuated(n) {
			c.leaving++
		} else if !s.record.holds(id) {
			c.idle++
		}
	}
	for _, g := range s.record.groups {
		c.recorded[g.model]++
		if head := s.nodes[g.members[0].id]; head == nil || !head.membership.isIn(g.name, g.epoch) ||
			head.membership.phase != PhaseOpen {
			c.notOpen = append(c.notOpen, g.name+":"+s.memberStates(g))
		}
	}
	for model, heads := range s.heads {
		c.open[model] = len(heads)
	}
	for model, replicas := range s.demand {
		c.demand[model] = replicas
	}
	s.emit(c)
}

// memberStates returns the states of the members of a replica, for the log.
func (s *State) memberStates(g group) string {
	states := make([]string, 0, len(g.members))
	for _, m := range g.members {
		n := s.nodes[m.id]
		switch {
		case n == nil:
			states = append(states, "gone")
		case n.dead:
			states = append(states, "dead")
		case n.leaving:
			states = append(states, "leaving")
		case s.isEvacuated(n):
			states = append(states, "evacuated")
		case !n.membership.isIn(g.name, g.epoch):
			states = append(states, "elsewhere")
		default:
			states = append(states, n.membership.phase.String())
		}
	}
	return strings.Join(states, ",")
}
