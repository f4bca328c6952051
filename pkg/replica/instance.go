package replica

import "time"

// ID names one instance.
type ID string

// Phase is the state of a member of a replica.
type Phase uint8

// The phases of a member. PhaseNone means that the instance belongs to no replica.
const (
	PhaseNone    Phase = iota
	PhaseJoining       // joins, and loads the model if necessary
	PhaseReady         // has joined
	PhaseOpen          // is the head and accepts calls
	PhaseClosing       // is the head and finishes running calls
	PhaseBroken        // cannot serve, so the replica must be formed again
)

var phaseNames = [...]string{"none", "joining", "ready", "open", "closing", "broken"}

// String returns the name of the phase.
func (p Phase) String() string { return phaseNames[p] }

// Membership is the rank and phase of an instance in a replica, as the instance reports it.
type Membership struct {
	replica string
	epoch   uint64
	rank    int
	phase   Phase
}

// NewMembership returns the membership with this rank in the replica that was formed in epoch.
func NewMembership(replica string, epoch uint64, rank int, phase Phase) Membership {
	return Membership{replica, epoch, rank, phase}
}

// replicaEpoch identifies a replica as it was formed in one epoch. A repair forms the replica again in a later one.
type replicaEpoch struct {
	replica string
	epoch   uint64
}

func (m Membership) replicaEpoch() replicaEpoch { return replicaEpoch{m.replica, m.epoch} }

// isNewerThan reports whether the membership is newer than the reported one. isRecent says that it changed within
// maxReportLag.
func (m Membership) isNewerThan(reported Membership, isRecent bool) bool {
	if reported.phase != PhaseNone && reported.epoch < m.epoch {
		return true
	}
	if !isRecent {
		return false
	}
	if reported.phase == PhaseNone || m.phase == PhaseNone {
		return reported.epoch <= m.epoch
	}
	if reported.epoch > m.epoch {
		return false
	}
	switch m.phase {
	case PhaseReady, PhaseOpen:
		return reported.phase < m.phase
	case PhaseClosing:
		return reported.phase == PhaseOpen
	}
	return false
}

// isIn reports whether it is a membership in replica as formed in epoch.
func (m Membership) isIn(replica string, epoch uint64) bool {
	return m.phase != PhaseNone && m.replica == replica && m.epoch == epoch
}

// isServing reports whether the member is the head of a replica that accepts or finishes calls.
func (m Membership) isServing() bool {
	return m.rank == 0 && (m.phase == PhaseOpen || m.phase == PhaseClosing)
}

// Instance is the state that one engine reports of itself.
type Instance struct {
	id           ID
	address      string
	centre       string
	domain       string
	incarnation  int64
	leaving      bool
	loadedModel  string
	stagedModels []string
	membership   Membership
	coldUntil    time.Time
}

// NewInstance returns the instance at address (host:port) in a fabric domain of a data centre. A later start has a higher
// incarnation.
func NewInstance(id ID, address, centre, domain string, incarnation int64) Instance {
	return Instance{id: id, address: address, centre: centre, domain: domain, incarnation: incarnation}
}

// WithLeaving returns the instance with whether it is shutting down.
func (i Instance) WithLeaving(leaving bool) Instance {
	i.leaving = leaving
	return i
}

// WithModels returns the instance with the model in its memory, empty for none, and those staged on its host.
func (i Instance) WithModels(loaded string, staged ...string) Instance {
	i.loadedModel, i.stagedModels = loaded, staged
	return i
}

// WithColdUntil returns the instance with the time until which it is cold: it tolerates a low rate of requests.
func (i Instance) WithColdUntil(until time.Time) Instance {
	i.coldUntil = until
	return i
}

// ColdUntil returns the time until which the instance is cold, which may have passed.
func (i Instance) ColdUntil() time.Time { return i.coldUntil }

// coldLeft returns for how much longer the instance is cold.
func (i Instance) coldLeft(now time.Time) time.Duration { return max(i.coldUntil.Sub(now), 0) }

// MergeOlder returns an instance as an older snapshot of the store has it, with what is known of it since: a later start, that it
// leaves, and a newer membership.
func (i Instance) MergeOlder(older Instance) Instance {
	if older.incarnation < i.incarnation {
		return i
	}
	if older.incarnation > i.incarnation {
		return older
	}
	merged := older
	merged.leaving = older.leaving || i.leaving
	if i.membership.isNewerThan(older.membership, true) {
		merged.membership, merged.loadedModel, merged.stagedModels = i.membership, i.loadedModel, i.stagedModels
	}
	return merged
}

// WithMembership returns the instance with its membership in a replica.
func (i Instance) WithMembership(m Membership) Instance {
	i.membership = m
	return i
}

// ID returns the name of the instance.
func (i Instance) ID() ID { return i.id }

// Address returns where the engine listens, as host:port.
func (i Instance) Address() string { return i.address }

// Centre returns the data centre.
func (i Instance) Centre() string { return i.centre }

// Leaving reports whether the instance is shutting down.
func (i Instance) Leaving() bool { return i.leaving }

// Membership returns the membership in a replica.
func (i Instance) Membership() Membership { return i.membership }

func (i Instance) hasStaged(model string) bool {
	for _, staged := range i.stagedModels {
		if staged == model {
			return true
		}
	}
	return false
}

// Domain returns the fabric domain.
func (i Instance) Domain() string { return i.domain }

// Incarnation returns the number of this start of the instance. A later start has a higher number.
func (i Instance) Incarnation() int64 { return i.incarnation }

// LoadedModel returns the model in memory, empty for none.
func (i Instance) LoadedModel() string { return i.loadedModel }

// StagedModels returns the models staged on the host.
func (i Instance) StagedModels() []string { return i.stagedModels }

// Replica returns the name of the replica, empty for none.
func (m Membership) Replica() string { return m.replica }

// Epoch returns the epoch in which the replica was formed.
func (m Membership) Epoch() uint64 { return m.epoch }

// Rank returns the index among the members; 0 is the head.
func (m Membership) Rank() int { return m.rank }

// Phase returns the state of the member.
func (m Membership) Phase() Phase { return m.phase }
