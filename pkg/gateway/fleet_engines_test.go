package gateway

import (
	"time"

	"github.com/azurepond/azurepond/pkg/relay"
	"github.com/azurepond/azurepond/pkg/replica"
	"github.com/azurepond/azurepond/pkg/route"
)

// list registers an engine in the list.
func (f *fleet) list(e *fleetEngine) {
	e.listed = true
	f.changed(e)
}

func (f *fleet) entry(e *fleetEngine) Upstream {
	instance := replica.NewInstance(e.id, string(e.id), e.centre, e.domain, 1).WithLeaving(e.leaving)
	if e.staged != "" {
		instance = instance.WithModels(e.loaded, e.staged)
	}
	return NewUpstream("engines", 22, instance.WithMembership(e.membership))
}

func (f *fleet) listed() []Upstream {
	var all []Upstream
	for _, e := range f.engines {
		if e.listed {
			all = append(all, f.entry(e))
		}
	}
	return append(all, f.processes...)
}

// changed tells the daemons that watch the list of a changed entry.
func (f *fleet) changed(e *fleetEngine) {
	if !e.listed || e.down {
		return
	}
	entry := f.entry(e)
	f.after(fleetListDelay, func() {
		for _, d := range f.daemons {
			if d.watching && !d.listSilent {
				f.feed(d, NewListChanges([]Upstream{entry}, nil))
			}
		}
	})
}

// kill stops an engine without notice.
func (f *fleet) kill(e *fleetEngine) {
	e.down = true
	f.after(fleetUnlistDelay, func() {
		e.listed = false
		for _, d := range f.daemons {
			if d.watching && !d.listSilent {
				f.feed(d, NewListChanges(nil, []replica.ID{e.id}))
			}
		}
	})
}

func (f *fleet) applyReplica(d *fleetDaemon, effect replica.Effect) {
	if entry, isEntry := effect.(replica.LogEntry); isEntry && entry.Message() == "instance dead" && !f.byID[entry.Members()[0]].down {
		d.falseDeaths++
	}
}

func (f *fleet) sendOrder(d *fleetDaemon, effect SendOrder) {
	order := effect.Order()
	d.orders[order.Verb()]++
	answer := func(reply replica.Reply) Event { return NewReplicaEvent(replica.NewOrderAnswered(order, reply)) }
	f.call(d, order.ID(), effect.Via().Name(), fleetOrderTimeout, fleetResults{
		answer:  func(e *fleetEngine) Event { return answer(f.carryOut(e, order)) },
		failed:  func(relay.Failure) Event { return answer(replica.ReplyUnanswered) },
		expired: answer(replica.ReplyUnanswered),
	})
}

func (f *fleet) sendProbe(d *fleetDaemon, effect SendProbe) {
	d.probes++
	probe, via := effect.Probe(), effect.Via().Name()
	ended := func(result replica.Probed) func(relay.Failure) Event {
		return func(failure relay.Failure) Event { return NewProbeEnded(result).Via(via, failure) }
	}
	f.call(d, probe.ID(), via, probe.Timeout(), fleetResults{
		answer:  func(e *fleetEngine) Event { return ended(replica.NewProbed(f.entry(e).Instance()))(relay.NoRelay) },
		failed:  ended(replica.NewProbeFailed(probe.ID())),
		expired: ended(replica.NewProbeExpired(probe.ID()))(relay.NoPath),
	})
}

// fleetResults are the results of an order or a probe: answered, not sent, as by the failure of a peer, and expired.
type fleetResults struct {
	answer  func(*fleetEngine) Event
	failed  func(relay.Failure) Event
	expired Event
}

// call sends an order or a probe to an engine, through a peer if via names one. The result is failed if the connection is refused, and
// expired unless the daemon has handled the answer in time.
func (f *fleet) call(d *fleetDaemon, id replica.ID, via string, timeout time.Duration, results fleetResults) {
	ended := false
	var end func(Event)
	end = func(e Event) {
		switch {
		case ended:
		case d.down: // a frozen daemon handles the result later
			f.after(fleetTick, func() { end(e) })
		default:
			ended = true
			f.feed(d, e)
		}
	}
	f.after(timeout, func() { end(results.expired) })
	reach := func(from *fleetDaemon, delay time.Duration) {
		f.after(fleetLinkDelay, func() {
			e := f.byID[id]
			if from.paths[id] == pathRefuses {
				end(results.failed(relay.NoPath))
			}
			if e.down && e.refuses && !ended {
				f.after(delay, func() { end(results.failed(relay.NoPath)) })
				return
			}
			if e.down || f.now.Before(e.silentUntil) || ended || from.paths[id] != pathWorks {
				return
			}
			result := results.answer(e)
			f.after(delay, func() {
				if !ended {
					f.work(d, fleetEngineCallCost, func() { end(result) })
				}
			})
		})
	}
	f.work(d, fleetEngineCallCost, func() {
		if via == "" {
			reach(d, fleetLinkDelay)
			return
		}
		f.relayThrough(d, via, string(id), false, func(from *fleetDaemon, relayEnd func()) {
			reach(from, 2*fleetLinkDelay)
			relayEnd()
		}, func(failure relay.Failure) { end(results.failed(failure)) })
	})
}

// load returns when a load from the weight store ends that is requested now.
func (f *fleet) load(model string) time.Duration {
	duration := f.model(model).LoadTime()
	if f.now.Before(f.traffic) {
		duration /= 10
	}
	if f.loadFree.Before(f.now) {
		f.loadFree = f.now
	}
	f.loadFree = f.loadFree.Add(time.Duration(float64(time.Second) / f.size.loadsPerSecond))
	return f.loadFree.Add(duration).Sub(f.now)
}

func (f *fleet) model(name string) route.Model {
	service, _ := f.config().EngineService()
	model, _ := service.Engine().Model(name)
	return model
}

// carryOut carries out an order as engines do.
func (f *fleet) carryOut(e *fleetEngine, o replica.Order) replica.Reply {
	m := e.membership
	isMember := m.Replica() == o.Replica() && m.Epoch() == o.Epoch() && m.Phase() != replica.PhaseNone
	switch o.Verb() {
	case replica.VerbJoin:
		if isMember {
			return replica.ReplyDone
		}
		f.join(e, o)
	case replica.VerbOpen:
		if !isMember || m.Phase() != replica.PhaseReady {
			return replica.ReplyUnfit
		}
		f.changeLater(e, 300*time.Millisecond, func() {
			e.membership = replica.NewMembership(m.Replica(), m.Epoch(), m.Rank(), replica.PhaseOpen)
		})
	case replica.VerbCloseCut, replica.VerbCloseWait:
		if !isMember || m.Phase() != replica.PhaseOpen {
			return replica.ReplyUnfit
		}
		e.change++
		e.membership = replica.NewMembership(m.Replica(), m.Epoch(), m.Rank(), replica.PhaseReady)
		f.changed(e)
	case replica.VerbLeave:
		if isMember {
			e.change++
			e.membership, e.members = replica.Membership{}, nil
			f.changed(e)
		}
	case replica.VerbStage:
		wait := f.load(o.Model())
		e.stagedAt = f.now.Add(wait)
		f.after(wait, func() {
			e.staged = o.Model()
			f.changed(e)
		})
	}
	return replica.ReplyBegun
}

func (f *fleet) join(e *fleetEngine, o replica.Order) {
	var duration time.Duration
	switch {
	case e.lastModel == o.Model():
		duration = fleetRejoinTime
	case e.staged == o.Model() || e.stagedAt.After(f.now):
		duration = max(e.stagedAt.Sub(f.now), 0) + f.model(o.Model()).WarmLoadTime()
	default:
		duration = f.load(o.Model())
	}
	rank := 0
	for i, id := range o.Members() {
		if id == e.id {
			rank = i
		}
	}
	e.members, e.loaded, e.stalled = o.Members(), o.Model(), false
	e.membership = replica.NewMembership(o.Replica(), o.Epoch(), rank, replica.PhaseJoining)
	f.changed(e)
	f.changeLater(e, duration, func() {
		e.staged, e.lastModel = o.Model(), o.Model()
		e.membership = replica.NewMembership(o.Replica(), o.Epoch(), rank, replica.PhaseReady)
	})
}

// changeLater applies a change after d unless another change of the engine comes before.
func (f *fleet) changeLater(e *fleetEngine, d time.Duration, apply func()) {
	e.change++
	number := e.change
	f.after(d, func() {
		if e.change == number && !e.down {
			apply()
			f.changed(e)
		}
	})
}

// open returns how many replicas are complete and open, and how many of these are within one fabric domain.
func (f *fleet) open() (all, withinDomain int) {
	for _, e := range f.engines {
		if e.membership.Phase() != replica.PhaseOpen || e.membership.Rank() != 0 {
			continue
		}
		isWhole, isWithin := !e.down, true
		for _, id := range e.members {
			isWhole = isWhole && !f.byID[id].down
			isWithin = isWithin && f.byID[id].domain == e.domain
		}
		if isWhole {
			all++
		}
		if isWhole && isWithin {
			withinDomain++
		}
	}
	return all, withinDomain
}
