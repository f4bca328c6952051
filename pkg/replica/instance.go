package replica

// ID names one instance.
type ID string

// Phase is how far an instance is in its replica.
type Phase uint8

// The phases of a member; None stands for an instance without a replica.
const (
	PhaseNone Phase = iota
	PhaseJoining
	PhaseReady
	PhaseOpen
	PhaseClosing
	PhaseBroken
)

var phaseNames = [...]string{"none", "joining", "ready", "open", "closing", "broken"}

// String returns the name of the phase.
func (p Phase) String() string { return phaseNames[p] }

// Membership is the place of an instance in a replica as the instance reports it.
type Membership struct {
	replica string
	epoch   uint64
	rank    int
	phase   Phase
}

// NewMembership returns the place of rank in the replica that was formed as epoch.
func NewMembership(replica string, epoch uint64, rank int, phase Phase) Membership {
	return Membership{replica, epoch, rank, phase}
}

// formation names a replica as it was formed by one decision.
type replicaEpoch struct {
	replica string
	epoch   uint64
}

func (m Membership) replicaEpoch() replicaEpoch { return replicaEpoch{m.replica, m.epoch} }

// isAfter reports whether the place is newer than another one that is told; isRecent tells that it came within
// the time by which reports lag.
func (m Membership) isNewerThan(told Membership, isRecent bool) bool {
	if told.phase != PhaseNone && told.epoch < m.epoch {
		return true
	}
	if !isRecent {
		return false
	}
	if told.phase == PhaseNone || m.phase == PhaseNone {
		return told.epoch <= m.epoch
	}
	if told.epoch > m.epoch {
		return false
	}
	switch m.phase {
	case PhaseReady, PhaseOpen:
		return told.phase < m.phase
	case PhaseClosing:
		return told.phase == PhaseOpen
	}
	return false
}

// isOf reports whether the place is in replica as it was formed as epoch.
func (m Membership) isIn(replica string, epoch uint64) bool {
	return m.phase != PhaseNone && m.replica == replica && m.epoch == epoch
}

// serves reports whether the member is the head of a replica that takes or finishes calls.
func (m Membership) isServing() bool {
	return m.rank == 0 && (m.phase == PhaseOpen || m.phase == PhaseClosing)
}

// Instance is what one engine says of itself.
type Instance struct {
	id           ID
	address      string
	centre       string
	domain       string
	incarnation  int64
	leaving      bool
	loadedModel  string
	stagedModels []string
	member       Membership
}

// NewInstance returns the instance at address (host:port) of a fabric domain in a data centre; born tells its starts apart.
func NewInstance(id ID, address, centre, domain string, born int64) Instance {
	return Instance{id: id, address: address, centre: centre, domain: domain, incarnation: born}
}

// WithLeaving returns the instance with whether it is about to end.
func (i Instance) WithLeaving(leaving bool) Instance {
	i.leaving = leaving
	return i
}

// WithModels returns the instance with the model in its memory, empty for none, and those staged on its host.
func (i Instance) WithModels(loaded string, staged ...string) Instance {
	i.loadedModel, i.stagedModels = loaded, staged
	return i
}

// WithMembership returns the instance with its place in a replica.
func (i Instance) WithMembership(m Membership) Instance {
	i.member = m
	return i
}

// ID returns the name of the instance.
func (i Instance) ID() ID { return i.id }

// Address returns where the engine listens, as host:port.
func (i Instance) Address() string { return i.address }

// Centre returns the data centre.
func (i Instance) Centre() string { return i.centre }

// Leaving reports whether the instance is about to end.
func (i Instance) Leaving() bool { return i.leaving }

// Membership returns the place in a replica.
func (i Instance) Membership() Membership { return i.member }

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

// Incarnation returns what tells this start of the instance from others; a later start has a higher number.
func (i Instance) Incarnation() int64 { return i.incarnation }

// LoadedModel returns the model in memory, empty for none.
func (i Instance) LoadedModel() string { return i.loadedModel }

// StagedModels returns the models staged on the host.
func (i Instance) StagedModels() []string { return i.stagedModels }

// Replica returns the replica, empty for none.
func (m Membership) Replica() string { return m.replica }

// Epoch returns the decision by which the replica was formed.
func (m Membership) Epoch() uint64 { return m.epoch }

// Rank returns the place among the members; 0 is the head.
func (m Membership) Rank() int { return m.rank }

// Phase returns how far the member is.
func (m Membership) Phase() Phase { return m.phase }
