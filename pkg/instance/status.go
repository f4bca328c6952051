package instance

import (
	"sort"
	"time"
)

// PoolStatus is what this daemon holds of one pool.
type PoolStatus struct {
	name           string
	revision       uint64
	holder         string
	leading        bool
	recordReadable bool
	maxLoads       int
	loading        int
	spares         int
	replicas       []ReplicaStatus
}

// Name returns the name of the pool.
func (p PoolStatus) Name() string { return p.name }

// Revision returns the revision of the record in hand, 0 for none.
func (p PoolStatus) Revision() uint64 { return p.revision }

// Holder returns the daemon that held the lease when this one last looked, empty if it never did.
func (p PoolStatus) Holder() string { return p.holder }

// Leading reports whether this daemon holds the lease and may change the record.
func (p PoolStatus) Leading() bool { return p.leading }

// RecordReadable reports whether the record in the store was understood when it was last read.
func (p PoolStatus) RecordReadable() bool { return p.recordReadable }

// MaxLoads returns how many instances may load at once.
func (p PoolStatus) MaxLoads() int { return p.maxLoads }

// Loading returns how many instances are permitted to load.
func (p PoolStatus) Loading() int { return p.loading }

// Spares returns how many instances are heard of, idle and in no replica.
func (p PoolStatus) Spares() int { return p.spares }

// Replicas returns the recorded replicas in the order of their names.
func (p PoolStatus) Replicas() []ReplicaStatus { return p.replicas }

// ReplicaStatus is what this daemon judges of one replica.
type ReplicaStatus struct {
	replica      ReplicaID
	model        string
	fencingToken FencingToken
	reason       Reason
	since        time.Time
	draining     bool
	retiring     bool
	members      []MemberStatus
}

// Replica returns the name of the replica.
func (r ReplicaStatus) Replica() ReplicaID { return r.replica }

// Model returns the model that the replica serves.
func (r ReplicaStatus) Model() string { return r.model }

// FencingToken returns the number of the decision that last changed its members.
func (r ReplicaStatus) FencingToken() FencingToken { return r.fencingToken }

// Available reports whether the replica gets work.
func (r ReplicaStatus) Available() bool { return r.reason.cause == None }

// Reason returns why the replica is not whole.
func (r ReplicaStatus) Reason() Reason { return r.reason }

// Since returns when the replica last stopped being whole, as this daemon saw it.
func (r ReplicaStatus) Since() time.Time { return r.since }

// Draining reports whether the record keeps new work from the replica.
func (r ReplicaStatus) Draining() bool { return r.draining }

// Retiring reports whether the replica is being taken apart.
func (r ReplicaStatus) Retiring() bool { return r.retiring }

// Members returns the members in the order of their ranks.
func (r ReplicaStatus) Members() []MemberStatus { return r.members }

// MemberStatus is what this daemon knows of one rank of a replica.
type MemberStatus struct {
	id         ID
	substitute ID
	cause      Cause
	phase      Phase
	load       Load
	probeAge   time.Duration
}

// ID returns the member, empty if the rank is vacant.
func (m MemberStatus) ID() ID { return m.id }

// Substitute returns the instance that loads to take the rank over, empty for none.
func (m MemberStatus) Substitute() ID { return m.substitute }

// Cause returns what keeps the member from its part, None if nothing does.
func (m MemberStatus) Cause() Cause { return m.cause }

// Phase returns the phase that the member last reported.
func (m MemberStatus) Phase() Phase { return m.phase }

// Load returns the load that the member last reported.
func (m MemberStatus) Load() Load { return m.load }

// ProbeAge returns how long the member has not been heard of, -1 if it never was.
func (m MemberStatus) ProbeAge() time.Duration { return m.probeAge }

// Status returns what this daemon holds and judges at now, pool by pool.
func (s *State) Status(now time.Time) []PoolStatus {
	var pools []PoolStatus
	for _, p := range s.pools {
		pools = append(pools, s.poolStatus(p, now))
	}
	return pools
}

func (s *State) poolStatus(p *pool, now time.Time) PoolStatus {
	status := PoolStatus{
		name:           p.name,
		revision:       uint64(p.record.fence),
		holder:         p.lease.Holder(),
		leading:        s.leads(now, p),
		recordReadable: !p.faulty,
		maxLoads:       p.slots,
		loading:        len(p.record.loads),
		spares:         len(newDraft(s, p, now).spares),
	}
	for _, g := range p.groups {
		status.replicas = append(status.replicas, s.replicaStatus(g, now))
	}
	sort.Slice(status.replicas, func(i, j int) bool { return status.replicas[i].replica < status.replicas[j].replica })
	return status
}

func (s *State) replicaStatus(g *group, now time.Time) ReplicaStatus {
	e := g.entry
	status := ReplicaStatus{
		replica:      e.replica,
		model:        e.model,
		fencingToken: e.fence,
		reason:       s.judge(g, now),
		since:        g.broken,
		draining:     e.draining,
		retiring:     e.retiring,
	}
	for rank := range e.slots {
		status.members = append(status.members, s.memberStatus(e, rank, now))
	}
	return status
}

func (s *State) memberStatus(e *entry, rank int, now time.Time) MemberStatus {
	slot := e.slots[rank]
	status := MemberStatus{id: slot.id, substitute: slot.next.id, cause: s.judgeMember(e, rank, now), probeAge: -1}
	n := s.nodes[slot.id]
	if n == nil || !n.seen {
		return status
	}
	status.phase, status.load, status.probeAge = n.sighting.phase, n.sighting.load, now.Sub(n.sighting.at)
	return status
}
