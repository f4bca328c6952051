package replica

import "time"

// The pauses between orders to one instance.
const (
	orderRetryInterval = 300 * time.Millisecond // an order takes a round trip of a few ms; what was lost is sent again
	orderProbeInterval = 250 * time.Millisecond // an instance reports a change at once; the list is late if it takes longer
	orderEffectSlack   = 2 * time.Second        // beyond the time that a load takes, for loads that share the weight store
)

// drainLimit is how long the calls of a replica may go on that is closed for a member that is about to end; an instance
// stays for at least the drain time that the platform announces, two seconds.
const drainTimeout = 1500 * time.Millisecond

// tokenBits is the place that fencing numbers keep for the orders of one decision.
const orderCountBits = 20

// errand is the last order of one verb to one instance.
type sentOrder struct {
	order     Order
	sentAt    time.Time
	pending   bool
	isLoad    bool // a join that loads from the weight store
	reply     Reply
	effectDue time.Time // when the effect should show
	lastProbe time.Time
}

// order gives the orders that bring the replicas to what is recorded.
func (s *State) sendOrders(now time.Time) {
	for _, g := range s.record.groups {
		s.advance(now, g)
	}
	s.closeUnrecorded(now)
	if now.Sub(s.lastArrival) < settleTime || s.callsSeen && now.Sub(s.leadingSince) < stagingDelay || now.Sub(s.lastStaging) < planInterval {
		return
	}
	s.lastStaging = now
	s.stage(now)
	s.stageMembers(now)
}

// advance brings one replica a step further: all join, then the head opens.
func (s *State) advance(now time.Time, g group) {
	ready := true
	for _, m := range g.members {
		n := s.nodes[m.id]
		if !n.isAlive() || n.incarnation != m.incarnation || n.leaving {
			return
		}
		if !n.member.isIn(g.name, g.epoch) {
			ready = false
			s.sendJoin(now, g, n)
			continue
		}
		ready = ready && (n.member.phase == PhaseReady || n.member.phase == PhaseOpen)
	}
	head := s.nodes[g.members[0].id]
	if ready && head.member.phase == PhaseReady {
		delete(s.closed, replicaEpoch{g.name, g.epoch}) // the order may be carried out though it is not answered
		s.send(now, head, Order{verb: VerbOpen, replica: g.name, epoch: g.epoch}, s.engine.FormationTime())
	}
}

// join orders an instance into g once its present replica has ended.
func (s *State) sendJoin(now time.Time, g group, n *node) {
	if !s.isReleased(now, n, replicaEpoch{g.name, g.epoch}) {
		return
	}
	model, _ := s.engine.Model(g.model)
	takes := n.loadTime(model)
	o := Order{verb: VerbJoin, replica: g.name, epoch: g.epoch, model: g.model, members: g.ids()}
	isLoad := takes == model.LoadTime()
	if s.isPending(now, n, o) || isLoad && !s.tryLoad(now, 1) {
		return
	}
	s.send(now, n, o, takes)
	s.lastOrders[n.id][VerbJoin].isLoad = isLoad
}

// isComplete reports whether all members of the replica that head leads are alive.
func (s *State) isComplete(head *node) bool {
	model, isKnown := s.engine.Model(head.loadedModel)
	count := 0
	for _, n := range s.nodes {
		if n.isAlive() && n.member.isIn(head.member.replica, head.member.epoch) {
			count++
		}
	}
	return isKnown && count == model.ReplicaSize()
}

// closeStrays closes replicas that are not recorded as they are.
func (s *State) closeUnrecorded(now time.Time) {
	recorded := map[string]uint64{}
	for _, g := range s.record.groups {
		recorded[g.name] = g.epoch
	}
	for _, id := range s.ids() {
		n := s.nodes[id]
		if n.isAlive() && n.member.isServing() && recorded[n.member.replica] != n.member.epoch {
			s.closeReplica(now, n, n.member.replicaEpoch())
		}
	}
	for name := range s.closingSince {
		if !s.hasServingHead(name) {
			delete(s.closingSince, name)
		}
	}
}

func (s *State) hasServingHead(name string) bool {
	for _, n := range s.nodes {
		if n.member.replica == name && n.member.isServing() {
			return true
		}
	}
	return false
}

// isUnderway reports whether an order must wait: any other one to the instance is not answered yet, since orders on two
// connections may arrive the other way round, or the same one was answered and its effect may still show.
func (s *State) isPending(now time.Time, n *node, o Order) bool {
	given := s.lastOrders[n.id]
	for _, e := range given {
		if e.pending {
			return true
		}
	}
	last := given[o.verb]
	return last != nil && last.isSameOrder(o) && !s.mustResend(now, n, last)
}

// send gives an order whose effect takes that long, unless it is under way.
func (s *State) send(now time.Time, n *node, o Order, takes time.Duration) {
	if s.isPending(now, n, o) {
		return
	}
	s.orderCount++
	o.id, o.address = n.id, n.address
	o.token = s.record.epoch<<orderCountBits | s.orderCount
	if s.lastOrders[n.id] == nil {
		s.lastOrders[n.id] = map[Verb]*sentOrder{}
	}
	s.lastOrders[n.id][o.verb] = &sentOrder{order: o, sentAt: now, pending: true, effectDue: now.Add(takes + orderEffectSlack)}
	s.emit(o)
}

// isOverdue reports whether an order that was answered has to be given again; while its effect is awaited, the instance
// is looked at, since the list may be late.
func (s *State) mustResend(now time.Time, n *node, e *sentOrder) bool {
	switch e.reply {
	case ReplyBegun, ReplyDone:
		if now.Sub(e.sentAt) >= orderProbeInterval && now.Sub(e.lastProbe) >= orderProbeInterval && !n.probing {
			e.lastProbe = now
			s.probe(now, n.id, n)
		}
		return now.After(e.effectDue)
	}
	return now.Sub(e.sentAt) >= orderRetryInterval
}

func (e *sentOrder) isSameOrder(o Order) bool {
	return e.order.verb == o.verb && e.order.replica == o.replica && e.order.epoch == o.epoch && e.order.model == o.model
}

// ordered takes in how an order was answered.
func (s *State) applyReply(now time.Time, e OrderAnswered) {
	last := s.lastOrders[e.order.id][e.order.verb]
	if last == nil || last.order.token != e.order.token {
		return
	}
	last.pending, last.reply = false, e.reply
	n := s.nodes[e.order.id]
	if n != nil {
		s.applyEffect(now, n, e)
	}
	switch e.reply {
	case ReplyStale:
		s.takeoverRecorded, s.recordRead = false, false
		s.writer.Reset()
	case ReplyUnanswered, ReplyUnfit, ReplyMisdirected:
		if n != nil {
			s.suspect(now, e.order.id)
		}
	}
}
