package replica

import (
	"strings"
	"time"

	"github.com/azurepond/azurepond/pkg/object"
)

// planPeriod is the time between two looks at the record while nothing happens: the fabric settles, or a pause is over.
const planPeriod = 250 * time.Millisecond // an eighth of a repair

// led takes over or gives up the formation of replicas.
func (s *State) led(now time.Time, leads bool) {
	if s.leading == leads {
		return
	}
	s.leading, s.read, s.claims = leads, false, false
	s.since = now
	s.sent = map[ID]map[Verb]*errand{}
	if leads {
		s.writer.Reset()
	}
}

// Leading reports whether this daemon forms the replicas.
func (s *State) Leading() bool { return s.leading }

// Recorded returns the number of the last decision that this daemon knows, and how many replicas it holds.
func (s *State) Recorded() (fence uint64, replicas int) { return s.record.fence, len(s.record.groups) }

// lead takes the next step of the formation: first the record, then orders by what is recorded.
func (s *State) lead(now time.Time) {
	if !s.leading || len(s.engine.Models()) == 0 {
		return
	}
	if s.read && s.writer.Synced() {
		if s.claims {
			s.order(now)
		}
		if now.Sub(s.planned) >= planPeriod {
			s.planned = now
			s.decide(now)
		}
		s.count(now)
	}
	for _, request := range s.writer.Tick(now, &s.refs) {
		s.emit(Store{request})
	}
}

// decide records what has to change; a new leader records its takeover first, so that its orders carry a higher number.
func (s *State) decide(now time.Time) {
	next, isOther := s.plan(now)
	if !isOther && s.claims {
		return
	}
	next.fence = s.record.fence + 1
	for i := range next.groups {
		if next.groups[i].epoch == 0 {
			next.groups[i].epoch = next.fence
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
func (s *State) resulted(now time.Time, result object.Result) {
	outcome := s.writer.Apply(now, result)
	switch outcome.(type) {
	case object.ReadCompleted:
		s.adopt(false)
	case object.Written:
		s.adopt(true)
	case object.Superseded:
		s.adopt(false)
	case object.Unreadable:
		s.emit(LogEntry{message: "record unreadable", reason: "another writer holds the object"})
	}
}

// adopt takes over the record that the writer holds; own tells whether this daemon wrote it.
func (s *State) adopt(own bool) {
	r, err := decodeRecord(s.writer.Value())
	if err != nil {
		s.emit(LogEntry{message: "record unreadable", reason: err.Error()})
		return
	}
	s.tellChanges(r)
	s.depart(r)
	s.record, s.read, s.claims = r, true, own
}

// tellChanges says which replicas a record forms anew or gives up.
func (s *State) tellChanges(next record) {
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
const countPeriod = 2 * time.Second

// count tells the log how the instances are used.
func (s *State) count(now time.Time) {
	if now.Sub(s.counted) < countPeriod {
		return
	}
	s.counted = now
	c := Counts{recorded: map[string]int{}, open: map[string]int{}, demand: map[string]float64{}}
	for id, n := range s.nodes {
		if !n.lives() {
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
		if head := s.nodes[g.members[0].id]; head == nil || !head.member.isOf(g.name, g.epoch) || head.member.phase != PhaseOpen {
			c.notOpen = append(c.notOpen, g.name+":"+s.describe(g))
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
func (s *State) describe(g group) string {
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
		case !n.member.isOf(g.name, g.epoch):
			words = append(words, "elsewhere")
		default:
			words = append(words, n.member.phase.String())
		}
	}
	return strings.Join(words, ",")
}
