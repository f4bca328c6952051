package instance

import (
	"time"

	"github.com/azurepond/azurepond/pkg/object"
)

// idlePlanInterval is the time between two plans while nothing changes.
const idlePlanInterval = 5 * time.Second

// storeCompleted passes a result to the lease and the writer of each pool. Each ignores results of requests that it did
// not make.
func (s *State) storeCompleted(now time.Time, result object.Result) []Effect {
	var effects []Effect
	for _, p := range s.pools {
		s.leaseChanged(now, p, p.lease.Apply(now, result))
		effects = append(effects, s.writerReported(now, p, p.writer.Apply(now, result))...)
	}
	return effects
}

// leaseChanged handles a transition of the lease. A new holder reads the record and makes no decisions until it has
// probe results of all instances. If the engines don't check fencing tokens, it also waits until the deadlines of all
// orders of the last holder have passed.
func (s *State) leaseChanged(now time.Time, p *pool, t object.Transition) {
	switch t {
	case object.Acquired:
		p.writer.Reset()
		p.recordCurrent = false
		p.quietUntil = now.Add(s.settings.maxProbeAge)
		if !p.fencing() {
			p.quietUntil = p.quietUntil.Add(s.settings.orderTimeout)
		}
	case object.Lapsed:
		p.writer.Abandon()
		p.pending = nil
	}
}

// writerReported handles what the writer reports about the stored record.
func (s *State) writerReported(now time.Time, p *pool, outcome object.Outcome) []Effect {
	switch outcome.(type) {
	case object.Written:
		written := p.pending
		p.pending = nil
		if written == nil {
			return s.adoptStored(now, p)
		}
		return s.adopt(now, p, written, p.writer.Value(), true)
	case object.ReadCompleted, object.Superseded:
		p.pending = nil
		return s.adoptStored(now, p)
	case object.Unreadable:
		p.pending, p.recordUnreadable = nil, true
	}
	return nil
}

// adoptStored adopts the record that the store holds.
func (s *State) adoptStored(now time.Time, p *pool) []Effect {
	p.recordUnreadable, p.recordCurrent = false, true
	if p.writer.Value() == nil {
		return nil
	}
	r, err := decodeRecord(p.name, p.writer.Value())
	if err != nil {
		p.recordUnreadable = true
		return nil
	}
	return s.adopt(now, p, r, p.writer.Value(), true)
}

// ticked runs the due steps of each pool, reevaluates all replicas and adds up the costs.
func (s *State) ticked(now time.Time) []Effect {
	s.initMaps()
	effects := s.reevaluateAll(now)
	for _, p := range s.pools {
		effects = append(effects, s.step(now, p)...)
	}
	s.accumulateCosts(now)
	return effects
}

// step runs the due steps of one pool: lease, record, plan, orders.
func (s *State) step(now time.Time, p *pool) []Effect {
	requests, t := p.lease.Tick(now, &s.refs)
	s.leaseChanged(now, p, t)
	effects := storeEffects(requests)
	leads := s.leads(now, p)
	if leads && p.writer.Synced() && !p.canSkipPlan(now) {
		s.plan(now, p)
	}
	s.scheduleRead(now, p)
	effects = append(effects, storeEffects(p.writer.Tick(now, &s.refs))...)
	if leads {
		effects = append(effects, s.dueOrders(now, p)...)
	}
	return effects
}

func storeEffects(requests []object.Request) []Effect {
	var effects []Effect
	for _, r := range requests {
		effects = append(effects, Store{r})
	}
	return effects
}

// leads reports whether this daemon may change the record of p and send orders at now.
func (s *State) leads(now time.Time, p *pool) bool {
	if !p.lease.Held(now) || !p.recordCurrent || p.recordUnreadable {
		return false
	}
	return !now.Before(p.quietUntil) && !now.Before(s.trustedSince.Add(s.settings.maxProbeAge))
}

// scheduleRead reads the record at intervals while this daemon doesn't hold the lease, in case peers fail to deliver
// it.
func (s *State) scheduleRead(now time.Time, p *pool) {
	if now.Before(p.nextRead) || p.lease.Held(now) {
		return
	}
	p.nextRead = now.Add(s.settings.recordReadInterval/2 + p.backoff.Jitter(s.settings.recordReadInterval))
	p.writer.Read()
}

// canSkipPlan reports whether a plan would repeat the last one, which changed nothing: all replicas are available, no
// instance has a permit to load and no event has requested a plan.
func (p *pool) canSkipPlan(now time.Time) bool {
	if !now.Before(p.skipPlanUntil) || len(p.record.loadPermits) > 0 {
		return false
	}
	for _, rs := range p.replicas {
		if !rs.available {
			return false
		}
	}
	return true
}

// requestPlans makes each pool plan in its next step.
func (s *State) requestPlans() {
	for _, p := range s.pools {
		p.skipPlanUntil = time.Time{}
	}
}

// plan writes the next record if the planner changed the draft.
func (s *State) plan(now time.Time, p *pool) {
	if s.planner == nil {
		s.planner = policy{}
	}
	d := newDraft(s, p, now)
	s.planner.plan(d)
	if !d.changed {
		p.skipPlanUntil = now.Add(idlePlanInterval)
		return
	}
	d.record.revision = d.revision
	p.pending = d.record
	p.writer.Write(encodeRecord(d.record))
}
