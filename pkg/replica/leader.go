package replica

import (
	"strings"
	"time"

	"github.com/azurepond/azurepond/pkg/object"
)

// planPeriod is the time between two looks at the record while nothing happens: the fabric settles, or a pause is over.
const planInterval = 250 * time.Millisecond // an eighth of a repair

// led takes over or gives up the formation of replicas.
func (s *State) setLeading(now time.Time, leads bool) {
	if s.leading == leads {
		return
	}
	s.leading, s.recordRead, s.takeoverRecorded = leads, false, false
	s.leadingSince = now
	s.lastOrders = map[ID]map[Verb]*sentOrder{}
	if leads {
		s.writer.Reset()
	}
}

// Leading reports whether this daemon forms the replicas.
func (s *State) Leading() bool { return s.leading }

// Recorded returns the number of the last decision that this daemon knows, and how many replicas it holds.
func (s *State) Recorded() (fence uint64, replicas int) { return s.record.epoch, len(s.record.groups) }

// lead takes the next step of the formation: first the record, then orders by what is recorded.
func (s *State) reconcile(now time.Time) {
	if !s.leading || len(s.engine.Models()) == 0 {
		return
	}
	if s.recordRead && s.writer.Synced() {
		if s.takeoverRecorded {
			s.sendOrders(now)
		}
		if now.Sub(s.lastPlan) >= planInterval {
			s.lastPlan = now
			s.writePlan(now)
		}
		s.emitCounts(now)
	}
	for _, request := range s.writer.Tick(now, &s.refs) {
		s.emit(Store{request})
	}
}

// decide records what has to change; a new leader records its takeover first, so that its orders carry a higher number.
func (s *State) writePlan(now time.Time) {
	next, isOther := s.plan(now)
	if !isOther && s.takeoverRecorded {
		return
	}
	next.epoch = s.record.epoch + 1
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

// resulted takes in what the store answered.
func (s *State) applyStoreResult(now time.Time, result object.Result) {
	outcome := s.writer.Apply(now, result)
	switch outcome.(type) {
	case object.ReadCompleted:
		s.adoptRecord(false)
	case object.Written:
		s.adoptRecord(true)
	case object.Superseded:
		s.adoptRecord(false)
	case object.Unreadable:
		s.emit(LogEntry{message: "record unreadable", reason: "another writer holds the object"})
	}
}

// adopt takes over the record that the writer holds; own tells whether this daemon wrote it.
func (s *State) adoptRecord(own bool) {
	r, err := decodeRecord(s.writer.Value())
	if err != nil {
		s.emit(LogEntry{message: "record unreadable", reason: err.Error()})
		return
	}
	s.logChanges(r)
	s.noteRemovals(r)
	s.record, s.recordRead, s.takeoverRecorded = r, true, own
}

// tellChanges says which replicas a record forms anew or gives up.
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
		s.emit(LogEntry{message: "replica given up", replica: name, epoch: epoch, reason: "recorded"})
	}
}

// countPeriod is the time between two counts in the log.
const countsInterval = 2 * time.Second

// count tells the log how the instances are used.
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
		if n.leaving {
			c.leaving++
		} else if !s.record.holds(id) {
			c.idle++
		}
	}
	for _, g := range s.record.groups {
		c.recorded[g.model]++
		if head := s.nodes[g.members[0].id]; head == nil || !head.member.isIn(g.name, g.epoch) || head.member.phase != PhaseOpen {
			c.notOpen = append(c.notOpen, g.name+":"+s.memberStates(g))
		}
	}
	for model, heads := range s.heads {
		c.open[model] = len(heads)
	}
	for model, need := range s.demand {
		c.demand[model] = need
	}
	s.emit(c)
}

// describe tells what the members of a replica do.
func (s *State) memberStates(g group) string {
	words := make([]string, 0, len(g.members))
	for _, m := range g.members {
		n := s.nodes[m.id]
		switch {
		case n == nil:
			words = append(words, "gone")
		case n.dead:
			words = append(words, "dead")
		case n.leaving:
			words = append(words, "leaving")
		case !n.member.isIn(g.name, g.epoch):
			words = append(words, "elsewhere")
		default:
			words = append(words, n.member.phase.String())
		}
	}
	return strings.Join(words, ",")
}
