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

// firstReadWindow is the time over which daemons without a record spread their first read.
const firstReadWindow = 2 * time.Second

// pool is this daemon's state of one pool: its lease, its record and its replicas.
type pool struct {
	name     string
	models   []Model
	maxLoads int // instances that may load at once
	lease    object.Lease
	writer   object.Writer
	backoff  object.Backoff

	record     *record
	recordData []byte // JSON of record
	positions  map[ID]position
	replicas   []*replicaState

	pending          *record                 // the record that is being written
	shortSince       map[string]time.Time    // since when a model lacks replicas
	unknownSince     map[ReplicaID]time.Time // since when the settings don't name a replica's model
	quietUntil       time.Time               // no decisions before this time
	nextRead         time.Time
	skipPlanUntil    time.Time
	recordUnreadable bool
	recordCurrent    bool // the record was read since the lease was acquired
}

func newPool(name string, s Settings, now time.Time) *pool {
	p := &pool{
		name:         name,
		lease:        object.NewLease(object.NewKey(leaseKind, name), s.name, s.leaseTerm, s.leaseMargin, s.seed),
		writer:       object.NewWriter(object.NewKey(recordKind, name), s.name, s.seed+1),
		backoff:      object.NewBackoff(0, 0, s.seed+2),
		record:       &record{pool: name},
		shortSince:   map[string]time.Time{},
		unknownSince: map[ReplicaID]time.Time{},
	}
	p.nextRead = now.Add(p.backoff.Jitter(firstReadWindow))
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
	p.maxLoads = s.MaxLoads(p.name)
	if s.observer {
		p.lease.Resign()
		return
	}
	p.lease.Contend()
}

// fencing reports whether the engines of all models of the pool check fencing tokens.
func (p *pool) fencing() bool {
	for _, m := range p.models {
		if !m.fencing {
			return false
		}
	}
	return true
}

// owns reports whether the instance belongs to p. An instance without a pool belongs to the first one.
func (s *State) owns(p *pool, n *node) bool {
	if n.listing.pool == "" {
		return len(s.pools) > 0 && s.pools[0] == p
	}
	return n.listing.pool == p.name
}

// adopt replaces the record by a newer one. If fromStore is set and the replicas differ, it publishes the record, since
// peers may not have it yet.
func (s *State) adopt(now time.Time, p *pool, r *record, data []byte, fromStore bool) []Effect {
	if r.revision <= p.record.revision {
		return nil
	}
	unchanged := p.record.sameReplicas(r)
	p.record, p.recordData, p.positions = r, data, r.positions()
	p.skipPlanUntil = time.Time{}
	var effects []Effect
	if fromStore && !unchanged {
		effects = append(effects, Publish{p.name, uint64(r.revision), data})
	}
	return append(effects, s.rebuildPool(now, p)...)
}

// rebuildReplicas rebuilds the replicas of all pools after a change of settings.
func (s *State) rebuildReplicas(now time.Time) []Effect {
	var effects []Effect
	for _, p := range s.pools {
		effects = append(effects, s.rebuildPool(now, p)...)
	}
	return effects
}

// rebuildPool rebuilds the replicas of a pool from its record and keeps the state of those that remain.
func (s *State) rebuildPool(now time.Time, p *pool) []Effect {
	old := p.replicas
	p.replicas = nil
	for _, rs := range old {
		delete(s.replicas, rs.entry.replica)
		s.clearPositions(rs)
	}
	for i := range p.record.entries {
		p.replicas = append(p.replicas, s.buildReplica(now, p, &p.record.entries[i], i, old))
	}
	effects := s.removedReplicas(old)
	for _, rs := range p.replicas {
		effects = append(effects, s.reevaluate(rs, now)...)
	}
	return effects
}

func (s *State) clearPositions(rs *replicaState) {
	for _, slot := range rs.entry.slots {
		if n := s.nodes[slot.id]; n != nil {
			n.replica = nil
		}
	}
}

// buildReplica returns the state of an entry, copied from old if the replica was known.
func (s *State) buildReplica(now time.Time, p *pool, e *entry, index int, old []*replicaState) *replicaState {
	rs := &replicaState{unavailableSince: now}
	for _, o := range old {
		if o.entry.replica == e.replica {
			*rs = *o
		}
	}
	rs.entry = e
	rs.model, _ = s.settings.model(p.name, e.model)
	if !e.draining {
		rs.drainingSince = time.Time{}
	} else if rs.drainingSince.IsZero() {
		rs.drainingSince = now
	}
	s.replicas[e.replica] = rs
	for rank, slot := range e.slots {
		if slot.id == "" {
			continue
		}
		n := s.node(slot.id)
		n.replica, n.position = rs, position{index, rank, false}
	}
	return rs
}

// removedReplicas returns the changes for available replicas that are in no record any more.
func (s *State) removedReplicas(old []*replicaState) []Effect {
	var effects []Effect
	for _, rs := range old {
		if rs.available && s.replicas[rs.entry.replica] == nil {
			effects = append(effects, AvailabilityChanged{rs.entry.replica, rs.entry.model, false, Reason{cause: CauseUnrecorded}})
		}
	}
	return effects
}

// recordReceived applies a record that a peer sent.
func (s *State) recordReceived(now time.Time, e RecordReceived) []Effect {
	p := s.pool(e.pool)
	if p == nil || e.revision <= uint64(p.record.revision) {
		return nil
	}
	r, err := decodeRecord(e.pool, e.data)
	if err != nil || uint64(r.revision) != e.revision {
		return nil
	}
	return s.adopt(now, p, r, e.data, false)
}
