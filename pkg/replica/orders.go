package replica

import "time"

// The times between orders to one instance.
const (
	orderRetryInterval = 300 * time.Millisecond // an order takes a round trip of a few ms; a lost one is sent again
	orderProbeInterval = 250 * time.Millisecond // an instance reports a change at once; the list lags if it takes longer
	orderProbeBackoff  = 0.5                    // as a fraction of the time since the effect was due
	orderEffectSlack   = 2 * time.Second        // on top of the load time, for loads that share the weight store
)

// maxOrdersInFlight limits the orders without a reply. More would take a small instance longer than their timeout to handle.
const maxOrdersInFlight = 32

// orderCountBits is the number of low bits of a fencing token that count the orders of an epoch; the higher bits hold the epoch.
const orderCountBits = 20

// maxOrderCount is the highest number of orders of one epoch. At most maxOrdersInFlight are sent at once.
const maxOrderCount = 1<<orderCountBits - 1

// sentOrder is the last order of one verb to one instance.
type sentOrder struct {
	order         Order
	sentAt        time.Time
	awaitingReply bool
	isLoad        bool // a join that loads from the weight store
	reply         Reply
	expectedAt    time.Time // when the effect should be visible
	effectDue     time.Time // when the order is sent again if the effect is not visible
	lastProbe     time.Time
}

// sendOrders sends the orders that bring the replicas to the recorded state.
func (s *State) sendOrders(now time.Time) {
	if s.orderCount > maxOrderCount-maxOrdersInFlight {
		s.takeoverRecorded, s.isPlanUrgent = false, true // the next epoch counts anew
		return
	}
	for _, g := range s.record.groups {
		s.advance(now, g)
	}
	s.closeUnrecorded(now)
	if now.Sub(s.lastArrival) < settleTime || s.callsSeen && now.Sub(s.leadingSince) < stagingDelay ||
		now.Sub(s.lastStaging) < planInterval || s.isBootstrapping() {
		return
	}
	s.lastStaging = now
	s.stage(now)
	s.stageMembers(now)
}

// isBootstrapping reports whether a system that starts for the first time still has recorded replicas to open. Loads are not
// limited before the first call, so stage orders would delay the loads of these replicas.
func (s *State) isBootstrapping() bool {
	return s.settings.bootstrap && !s.callsSeen && s.isForming(s.record.groups)
}

// advance sends the next orders for one replica: all members join, then the head opens. An evacuated replica stays as it is, and one that
// must be joined again waits for its next epoch.
func (s *State) advance(now time.Time, g group) {
	if s.hasEvacuated(g) || s.mustRejoin(g) {
		return
	}
	ready := true
	for _, m := range g.members {
		n := s.nodes[m.id]
		if !n.isAlive() || n.incarnation != m.incarnation || n.leaving {
			return
		}
		if !n.membership.isIn(g.name, g.epoch) {
			ready = false
			s.sendJoin(now, g, n)
			continue
		}
		ready = ready && (n.membership.phase == PhaseReady || n.membership.phase == PhaseOpen)
	}
	head := s.nodes[g.members[0].id]
	if ready && head.membership.phase == PhaseReady {
		delete(s.closed, replicaEpoch{g.name, g.epoch}) // the order may be carried out even if it is not answered
		delete(s.closings, replicaEpoch{g.name, g.epoch})
		s.send(now, head, Order{verb: VerbOpen, replica: g.name, epoch: g.epoch}, s.engine.FormationTime())
	}
}

// sendJoin orders an instance to join g once its current replica is closed.
func (s *State) sendJoin(now time.Time, g group, n *node) {
	if !s.isReleased(now, n, replicaEpoch{g.name, g.epoch}) {
		return
	}
	model, _ := s.engine.Model(g.model)
	duration := n.loadTime(model)
	o := Order{verb: VerbJoin, replica: g.name, epoch: g.epoch, model: g.model, members: g.ids()}
	isLoad := duration == model.LoadTime()
	if s.mustDefer(now, n, o) || isLoad && !s.tryLoad(now, 1) {
		return
	}
	s.send(now, n, o, duration)
	s.lastOrders[n.id][VerbJoin].isLoad = isLoad
}

// closeUnrecorded closes serving replicas that the record does not hold with the same epoch.
func (s *State) closeUnrecorded(now time.Time) {
	recorded := map[string]uint64{}
	for _, g := range s.record.groups {
		recorded[g.name] = g.epoch
	}
	for _, id := range s.ids() {
		n := s.nodes[id]
		if n.isAlive() && n.membership.isServing() && recorded[n.membership.replica] != n.membership.epoch {
			s.closeReplica(now, n, n.membership.replicaEpoch())
		}
	}
}

// mustDefer reports whether an order must not be sent yet. That is so while a reply of the instance is outstanding,
// since orders on two connections may be reordered. It is also so after the reply to the same order, while its effect
// may still become visible, while too many orders have no reply, and after one order to an instance that throttles this daemon.
func (s *State) mustDefer(now time.Time, n *node, o Order) bool {
	if s.ordersInFlight >= maxOrdersInFlight || n.orderedWhileThrottled && now.Before(n.probesPausedUntil) {
		return true
	}
	orders := s.lastOrders[n.id]
	for _, sent := range orders {
		if sent.awaitingReply {
			return true
		}
	}
	last := orders[o.verb]
	return last != nil && last.isSameOrder(o) && !s.mustResend(now, n, last)
}

// send sends an order whose effect takes this long, unless it must not be sent yet.
func (s *State) send(now time.Time, n *node, o Order, duration time.Duration) {
	if s.mustDefer(now, n, o) {
		return
	}
	n.orderedWhileThrottled = now.Before(n.probesPausedUntil)
	s.orderCount++
	o.id, o.address = n.id, n.address
	o.fencingToken = s.record.epoch<<orderCountBits | s.orderCount
	if s.lastOrders[n.id] == nil {
		s.lastOrders[n.id] = map[Verb]*sentOrder{}
	}
	s.lastOrders[n.id][o.verb] = &sentOrder{
		order: o, sentAt: now, awaitingReply: true,
		expectedAt: now.Add(duration), effectDue: now.Add(duration + orderEffectSlack),
	}
	s.ordersInFlight++
	s.noteSent(now, o)
	s.emit(o)
}

// mustResend reports whether an order must be sent again after its reply. Once the effect is overdue, it probes the
// instance, since the list may lag.
func (s *State) mustResend(now time.Time, n *node, sent *sentOrder) bool {
	switch {
	case sent.order.verb == VerbCloseWait && sent.reply == ReplyBegun && !n.membership.isServing():
		return true // it is reported to have finished its calls, which only its answer proves
	case sent.reply == ReplyBegun, sent.reply == ReplyDone:
		if now.Sub(sent.expectedAt) >= sent.probeDelay(now) && now.Sub(sent.lastProbe) >= sent.probeDelay(now) && !n.probing {
			sent.lastProbe = now
			s.probe(now, n.id, n)
		}
		return now.After(sent.effectDue)
	}
	return now.Sub(sent.sentAt) >= orderRetryInterval
}

// probeDelay returns the time until the first probe for an effect, and between two of them.
func (sent *sentOrder) probeDelay(now time.Time) time.Duration {
	return max(orderProbeInterval, time.Duration(orderProbeBackoff*float64(now.Sub(sent.expectedAt))))
}

func (sent *sentOrder) isSameOrder(o Order) bool {
	return sent.order.verb == o.verb && sent.order.replica == o.replica &&
		sent.order.epoch == o.epoch && sent.order.model == o.model
}

func (s *State) applyReply(now time.Time, e OrderAnswered) {
	s.ordersInFlight--
	if e.reply != ReplyUnanswered {
		s.noteAnswered(e.order)
	}
	last := s.lastOrders[e.order.id][e.order.verb]
	if last == nil || last.order.fencingToken != e.order.fencingToken {
		return
	}
	last.awaitingReply, last.reply = false, e.reply
	n := s.nodes[e.order.id]
	if n != nil {
		s.applyEffect(now, n, e)
	}
	switch e.reply {
	case ReplyStale:
		s.noteRefusal(e.order)
		s.takeoverRecorded, s.recordRead = false, false
		s.writer.Reset()
	case ReplyUnanswered, ReplyUnfit, ReplyMisdirected:
		if n != nil {
			s.suspect(now, e.order.id)
		}
	}
}
