package instance

import (
	"sort"
	"time"
)

// PoolStatus is this daemon's view of one pool.
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

// Revision returns the revision of the current record, 0 if there is none.
func (p PoolStatus) Revision() uint64 { return p.revision }

// Holder returns the daemon that held the lease when this daemon last read it, empty if it never did.
func (p PoolStatus) Holder() string { return p.holder }

// Leading reports whether this daemon holds the lease and may change the record.
func (p PoolStatus) Leading() bool { return p.leading }

// RecordReadable reports whether the record in the store could be decoded at the last read.
func (p PoolStatus) RecordReadable() bool { return p.recordReadable }

// MaxLoads returns how many instances may load at once.
func (p PoolStatus) MaxLoads() int { return p.maxLoads }

// Loading returns how many instances have a permit to load.
func (p PoolStatus) Loading() int { return p.loading }

// Spares returns how many instances are alive, idle and in no replica.
func (p PoolStatus) Spares() int { return p.spares }

// Replicas returns the recorded replicas, sorted by ID.
func (p PoolStatus) Replicas() []ReplicaStatus { return p.replicas }

// ReplicaStatus is this daemon's view of one replica.
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

// Replica returns the ID of the replica.
func (r ReplicaStatus) Replica() ReplicaID { return r.replica }

// Model returns the model that the replica serves.
func (r ReplicaStatus) Model() string { return r.model }

// FencingToken returns the fencing token of the last change of its members.
func (r ReplicaStatus) FencingToken() FencingToken { return r.fencingToken }

// Available reports whether the replica may receive requests.
func (r ReplicaStatus) Available() bool { return r.reason.cause == CauseNone }

// Reason returns why the replica is not available.
func (r ReplicaStatus) Reason() Reason { return r.reason }

// Since returns when the replica last became unavailable, as observed by this daemon.
func (r ReplicaStatus) Since() time.Time { return r.since }

// Draining reports whether the record excludes the replica from new requests.
func (r ReplicaStatus) Draining() bool { return r.draining }

// Retiring reports whether the replica is being dissolved.
func (r ReplicaStatus) Retiring() bool { return r.retiring }

// Members returns the members in rank order.
func (r ReplicaStatus) Members() []MemberStatus { return r.members }

// MemberStatus is this daemon's view of one rank of a replica.
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

// Substitute returns the instance that loads in order to replace the member, empty if there is none.
func (m MemberStatus) Substitute() ID { return m.substitute }

// Cause returns why the member makes the replica unavailable, if it does.
func (m MemberStatus) Cause() Cause { return m.cause }

// Phase returns the phase that the member last reported.
func (m MemberStatus) Phase() Phase { return m.phase }

// Load returns the load that the member last reported.
func (m MemberStatus) Load() Load { return m.load }

// ProbeAge returns the time since the member last answered a probe, -1 if it never did.
func (m MemberStatus) ProbeAge() time.Duration { return m.probeAge }

// Status returns this daemon's view of each pool at now.
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
		revision:       uint64(p.record.revision),
		holder:         p.lease.Holder(),
		leading:        s.leads(now, p),
		recordReadable: !p.recordUnreadable,
		maxLoads:       p.maxLoads,
		loading:        len(p.record.loadPermits),
		spares:         len(newDraft(s, p, now).spares),
	}
	for _, rs := range p.replicas {
		status.replicas = append(status.replicas, s.replicaStatus(rs, now))
	}
	sort.Slice(status.replicas, func(i, j int) bool { return status.replicas[i].replica < status.replicas[j].replica })
	return status
}

func (s *State) replicaStatus(rs *replicaState, now time.Time) ReplicaStatus {
	e := rs.entry
	status := ReplicaStatus{
		replica:      e.replica,
		model:        e.model,
		fencingToken: e.fencingToken,
		reason:       s.evaluate(rs, now),
		since:        rs.unavailableSince,
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
	status := MemberStatus{id: slot.id, substitute: slot.substitute.id, cause: s.evaluateMember(e, rank, now), probeAge: -1}
	n := s.nodes[slot.id]
	if n == nil || !n.probed {
		return status
	}
	status.phase, status.load, status.probeAge = n.lastProbe.phase, n.lastProbe.load, now.Sub(n.lastProbe.at)
	return status
}
