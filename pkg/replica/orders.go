package replica

import "time"

// The pauses between orders to one instance.
const (
	orderAgain = 300 * time.Millisecond // an order takes a round trip of a few ms; what was lost is sent again
	orderLook  = 250 * time.Millisecond // an instance reports a change at once; the list is late if it takes longer
	orderSlack = 2 * time.Second        // beyond the time that a load takes, for loads that share the weight store
)

// drainLimit is how long the calls of a replica may go on that is closed for a member that is about to end; an instance
// stays for at least the drain time that the platform announces, two seconds.
const drainLimit = 1500 * time.Millisecond

// tokenBits is the place that fencing numbers keep for the orders of one decision.
const tokenBits = 20

// errand is the last order of one verb to one instance.
type errand struct {
	order   Order
	at      time.Time
	pending bool
	isLoad  bool // a join that loads from the weight store
	reply   Reply
	due     time.Time // when the effect should show
	looked  time.Time
}

// order gives the orders that bring the replicas to what is recorded.
func (s *State) order(now time.Time) {
	for _, g := range s.record.groups {
		s.advance(now, g)
	}
	s.closeStrays(now)
	if now.Sub(s.arrived) < settleTime || s.serving && now.Sub(s.since) < stagePause || now.Sub(s.staged) < planPeriod {
		return
	}
	s.staged = now
	s.stage(now)
	s.stageMembers(now)
}

// advance brings one replica a step further: all join, then the head opens.
func (s *State) advance(now time.Time, g group) {
	ready := true
	for _, m := range g.members {
		n := s.nodes[m.id]
		if !n.lives() || n.incarnation != m.born || n.leaving {
			return
		}
		if !n.member.isOf(g.name, g.epoch) {
			ready = false
			s.join(now, g, n)
			continue
		}
		ready = ready && (n.member.phase == PhaseReady || n.member.phase == PhaseOpen)
	}
	head := s.nodes[g.members[0].id]
	if ready && head.member.phase == PhaseReady {
		delete(s.ended, formation{g.name, g.epoch}) // the order may be carried out though it is not answered
		s.send(now, head, Order{verb: VerbOpen, replica: g.name, epoch: g.epoch}, s.engine.FormationTime())
	}
}

// join orders an instance into g once its present replica has ended.
func (s *State) join(now time.Time, g group, n *node) {
	if !s.isReleased(now, n, formation{g.name, g.epoch}) {
		return
	}
	model, _ := s.engine.Model(g.model)
	takes := n.loadTime(model)
	o := Order{verb: VerbJoin, replica: g.name, epoch: g.epoch, model: g.model, members: g.ids()}
	isLoad := takes == model.LoadTime()
	if s.isUnderway(now, n, o) || isLoad && !s.mayLoad(now, 1) {
		return
	}
	s.send(now, n, o, takes)
	s.sent[n.id][VerbJoin].isLoad = isLoad
}

// isComplete reports whether all members of the replica that head leads are alive.
func (s *State) isComplete(head *node) bool {
	model, isKnown := s.engine.Model(head.loadedModel)
	count := 0
	for _, n := range s.nodes {
		if n.lives() && n.member.isOf(head.member.replica, head.member.epoch) {
			count++
		}
	}
	return isKnown && count == model.ReplicaSize()
}

// closeStrays closes replicas that are not recorded as they are.
func (s *State) closeStrays(now time.Time) {
	recorded := map[string]uint64{}
	for _, g := range s.record.groups {
		recorded[g.name] = g.epoch
	}
	for _, id := range s.ids() {
		n := s.nodes[id]
		if n.lives() && n.member.serves() && recorded[n.member.replica] != n.member.epoch {
			s.close(now, n, n.member.formation())
		}
	}
	for name := range s.drains {
		if !s.isServed(name) {
			delete(s.drains, name)
		}
	}
}

func (s *State) isServed(name string) bool {
	for _, n := range s.nodes {
		if n.member.replica == name && n.member.serves() {
			return true
		}
	}
	return false
}

// isUnderway reports whether an order must wait: any other one to the instance is not answered yet, since orders on two
// connections may arrive the other way round, or the same one was answered and its effect may still show.
func (s *State) isUnderway(now time.Time, n *node, o Order) bool {
	given := s.sent[n.id]
	for _, e := range given {
		if e.pending {
			return true
		}
	}
	last := given[o.verb]
	return last != nil && last.isAbout(o) && !s.isOverdue(now, n, last)
}

// send gives an order whose effect takes that long, unless it is under way.
func (s *State) send(now time.Time, n *node, o Order, takes time.Duration) {
	if s.isUnderway(now, n, o) {
		return
	}
	s.tokens++
	o.id, o.address = n.id, n.address
	o.token = s.record.fence<<tokenBits | s.tokens
	if s.sent[n.id] == nil {
		s.sent[n.id] = map[Verb]*errand{}
	}
	s.sent[n.id][o.verb] = &errand{order: o, at: now, pending: true, due: now.Add(takes + orderSlack)}
	s.emit(o)
}

// isOverdue reports whether an order that was answered has to be given again; while its effect is awaited, the instance
// is looked at, since the list may be late.
func (s *State) isOverdue(now time.Time, n *node, e *errand) bool {
	switch e.reply {
	case ReplyBegun, ReplyDone:
		if now.Sub(e.at) >= orderLook && now.Sub(e.looked) >= orderLook && !n.looking {
			e.looked = now
			s.look(now, n.id, n)
		}
		return now.After(e.due)
	}
	return now.Sub(e.at) >= orderAgain
}

func (e *errand) isAbout(o Order) bool {
	return e.order.verb == o.verb && e.order.replica == o.replica && e.order.epoch == o.epoch && e.order.model == o.model
}

// ordered takes in how an order was answered.
func (s *State) ordered(now time.Time, e OrderAnswered) {
	last := s.sent[e.order.id][e.order.verb]
	if last == nil || last.order.token != e.order.token {
		return
	}
	last.pending, last.reply = false, e.reply
	n := s.nodes[e.order.id]
	if n != nil {
		s.answeredOrder(now, n, e)
	}
	switch e.reply {
	case ReplyStale:
		s.claims, s.read = false, false
		s.writer.Reset()
	case ReplyUnanswered, ReplyUnfit, ReplyMisdirected:
		if n != nil {
			s.suspect(now, e.order.id)
		}
	}
}
