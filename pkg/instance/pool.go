package instance

import (
	"sort"
	"time"

	"github.com/azurepond/azurepond/pkg/object"
)

// Kinds of the objects that one pool has in the platform.
const (
	leaseKind  = "leases"
	recordKind = "records"
)

// firstRead is the time over which daemons without a record spread their first read.
const firstRead = 2 * time.Second

// pool is what this daemon holds of one pool: its lease, its record and the replicas in it.
type pool struct {
	name    string
	models  []Model
	slots   int
	lease   object.Lease
	writer  object.Writer
	backoff object.Backoff

	record *record
	data   []byte
	places map[ID]place
	groups []*group

	open    *record
	short   map[string]time.Time    // since when a model lacks replicas
	unknown map[ReplicaID]time.Time // since when the settings don't name a replica's model
	quiet   time.Time
	read    time.Time
	replan  time.Time
	faulty  bool
	current bool // the record was read since the lease was acquired
}

func newPool(name string, s Settings, now time.Time) *pool {
	p := &pool{
		name:    name,
		lease:   object.NewLease(object.NewKey(leaseKind, name), s.name, s.term, s.margin, s.seed),
		writer:  object.NewWriter(object.NewKey(recordKind, name), s.name, s.seed+1),
		backoff: object.NewBackoff(0, 0, s.seed+2),
		record:  &record{pool: name},
		short:   map[string]time.Time{},
		unknown: map[ReplicaID]time.Time{},
	}
	p.read = now.Add(p.backoff.Jitter(firstRead))
	return p
}

func (p *pool) configure(s Settings) {
	p.models = nil
	for _, m := range s.models {
		if m.pool == p.name {
			p.models = append(p.models, m)
		}
	}
	sort.SliceStable(p.models, func(i, j int) bool { return p.models[i].name < p.models[j].name })
	p.slots = s.MaxLoads(p.name)
	if s.observer {
		p.lease.Resign()
		return
	}
	p.lease.Contend()
}

// fencing reports whether the engines of all models of the pool check fencing numbers.
func (p *pool) fencing() bool {
	for _, m := range p.models {
		if !m.fencing {
			return false
		}
	}
	return true
}

// owns reports whether an instance's row names this pool, or none while this is the first pool.
func (s *State) owns(p *pool, n *node) bool {
	if n.row.pool == "" {
		return len(s.pools) > 0 && s.pools[0] == p
	}
	return n.row.pool == p.name
}

// adopt takes a record that is newer than the one in hand; fromStore says that peers may not know it yet.
func (s *State) adopt(now time.Time, p *pool, r *record, data []byte, fromStore bool) []Effect {
	if r.fence <= p.record.fence {
		return nil
	}
	told := p.record.judgedAs(r)
	p.record, p.data, p.places = r, data, r.places()
	p.replan = time.Time{}
	var effects []Effect
	if fromStore && !told {
		effects = append(effects, Publish{p.name, uint64(r.fence), data})
	}
	return append(effects, s.regroupPool(now, p)...)
}

// regroup rebuilds the replicas of all pools, as after a change of settings.
func (s *State) regroup(now time.Time) []Effect {
	var effects []Effect
	for _, p := range s.pools {
		effects = append(effects, s.regroupPool(now, p)...)
	}
	return effects
}

// regroupPool rebuilds the replicas of a pool from its record and keeps what is known of those that stay.
func (s *State) regroupPool(now time.Time, p *pool) []Effect {
	old := p.groups
	p.groups = nil
	for _, g := range old {
		delete(s.groups, g.entry.replica)
		s.unplace(g)
	}
	for i := range p.record.entries {
		p.groups = append(p.groups, s.group(now, p, &p.record.entries[i], i, old))
	}
	effects := s.vanished(old)
	for _, g := range p.groups {
		effects = append(effects, s.rejudge(g, now)...)
	}
	return effects
}

func (s *State) unplace(g *group) {
	for _, slot := range g.entry.slots {
		if n := s.nodes[slot.id]; n != nil {
			n.group = nil
		}
	}
}

// group returns what is judged of an entry, carried over from old if the replica was known.
func (s *State) group(now time.Time, p *pool, e *entry, index int, old []*group) *group {
	g := &group{broken: now}
	for _, o := range old {
		if o.entry.replica == e.replica {
			*g = *o
		}
	}
	g.entry = e
	g.model, _ = s.settings.model(p.name, e.model)
	if !e.draining {
		g.draining = time.Time{}
	} else if g.draining.IsZero() {
		g.draining = now
	}
	s.groups[e.replica] = g
	for rank, slot := range e.slots {
		if slot.id == "" {
			continue
		}
		n := s.node(slot.id)
		n.group, n.place = g, place{index, rank, false}
	}
	return g
}

// vanished tells of replicas that were whole and stand in no record any more.
func (s *State) vanished(old []*group) []Effect {
	var effects []Effect
	for _, g := range old {
		if g.whole && s.groups[g.entry.replica] == nil {
			effects = append(effects, AvailabilityChanged{g.entry.replica, g.entry.model, false, Reason{cause: Unrecorded}})
		}
	}
	return effects
}

// recorded applies a record that a peer sent.
func (s *State) recorded(now time.Time, e RecordReceived) []Effect {
	p := s.pool(e.pool)
	if p == nil || e.revision <= uint64(p.record.fence) {
		return nil
	}
	r, err := decodeRecord(e.pool, e.data)
	if err != nil || uint64(r.fence) != e.revision {
		return nil
	}
	return s.adopt(now, p, r, e.data, false)
}
