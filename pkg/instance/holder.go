package instance

import (
	"time"

	"github.com/azurepond/azurepond/pkg/object"
)

// calmPeriod is the time between two plans while nothing happens.
const calmPeriod = 5 * time.Second

// resulted hands a result to the lease and the writer of each pool; only the one that asked takes it.
func (s *State) resulted(now time.Time, result object.Result) []Effect {
	var effects []Effect
	for _, p := range s.pools {
		s.transition(now, p, p.lease.Apply(now, result))
		effects = append(effects, s.settle(now, p, p.writer.Apply(now, result))...)
	}
	return effects
}

// transition follows a change of the lease: a new holder reads the record and stays quiet until it has heard of all
// instances and, if their engines don't check fencing numbers, until all orders of the last holder are past their
// deadlines.
func (s *State) transition(now time.Time, p *pool, t object.Transition) {
	switch t {
	case object.Acquired:
		p.writer.Reset()
		p.current = false
		p.quiet = now.Add(s.settings.maxProbeAge)
		if !p.fencing() {
			p.quiet = p.quiet.Add(s.settings.order)
		}
	case object.Lapsed:
		p.writer.Abandon()
		p.open = nil
	}
}

// settle follows what the writer learned about the record.
func (s *State) settle(now time.Time, p *pool, outcome object.Outcome) []Effect {
	switch outcome.(type) {
	case object.Written:
		open := p.open
		p.open = nil
		if open == nil {
			return s.adoptStored(now, p)
		}
		return s.adopt(now, p, open, p.writer.Value(), true)
	case object.ReadCompleted, object.Superseded:
		p.open = nil
		return s.adoptStored(now, p)
	case object.Unreadable:
		p.open, p.faulty = nil, true
	}
	return nil
}

// adoptStored takes the record that the store holds.
func (s *State) adoptStored(now time.Time, p *pool) []Effect {
	p.faulty, p.current = false, true
	if p.writer.Value() == nil {
		return nil
	}
	r, err := decodeRecord(p.name, p.writer.Value())
	if err != nil {
		p.faulty = true
		return nil
	}
	return s.adopt(now, p, r, p.writer.Value(), true)
}

// ticked lets every pool take its due steps, judges all replicas anew and counts the costs.
func (s *State) ticked(now time.Time) []Effect {
	s.prepare()
	effects := s.rejudgeAll(now)
	for _, p := range s.pools {
		effects = append(effects, s.step(now, p)...)
	}
	s.count(now)
	return effects
}

// step takes the due steps of one pool: lease, record, plan, orders.
func (s *State) step(now time.Time, p *pool) []Effect {
	requests, t := p.lease.Tick(now, &s.refs)
	s.transition(now, p, t)
	effects := stores(requests)
	leads := s.leads(now, p)
	if leads && p.writer.Synced() && !p.calm(now) {
		s.plan(now, p)
	}
	s.backstop(now, p)
	effects = append(effects, stores(p.writer.Tick(now, &s.refs))...)
	if leads {
		effects = append(effects, s.orders(now, p)...)
	}
	return effects
}

func stores(requests []object.Request) []Effect {
	var effects []Effect
	for _, r := range requests {
		effects = append(effects, Store{r})
	}
	return effects
}

// leads reports whether this daemon may change the record of p and give orders at now.
func (s *State) leads(now time.Time, p *pool) bool {
	if !p.lease.Held(now) || !p.current || p.faulty {
		return false
	}
	return !now.Before(p.quiet) && !now.Before(s.trusted.Add(s.settings.maxProbeAge))
}

// backstop asks for the record now and then, in case that peers have failed to bring it.
func (s *State) backstop(now time.Time, p *pool) {
	if now.Before(p.read) || p.lease.Held(now) {
		return
	}
	p.read = now.Add(s.settings.backstop/2 + p.backoff.Jitter(s.settings.backstop))
	p.writer.Read()
}

// calm reports whether a plan would find the same as the last one, which wanted nothing: all replicas are whole, nothing
// loads and nothing was heard since.
func (p *pool) calm(now time.Time) bool {
	if !now.Before(p.replan) || len(p.record.loads) > 0 {
		return false
	}
	for _, g := range p.groups {
		if !g.whole {
			return false
		}
	}
	return true
}

// stir makes the next step of every pool plan anew.
func (s *State) stir() {
	for _, p := range s.pools {
		p.replan = time.Time{}
	}
}

// plan writes the next record if the planner wants one.
func (s *State) plan(now time.Time, p *pool) {
	if s.planner == nil {
		s.planner = policy{}
	}
	d := newDraft(s, p, now)
	s.planner.plan(d)
	if !d.changed {
		p.replan = now.Add(calmPeriod)
		return
	}
	d.record.fence = d.fence
	p.open = d.record
	p.writer.Write(encodeRecord(d.record))
}
