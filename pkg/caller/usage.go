package caller

// Allocation is the part of a target's capacity that one daemon holds.
type Allocation struct {
	target string
	slots  int
}

// NewAllocation returns the hold of slots calls at once for target.
func NewAllocation(target string, slots int) Allocation { return Allocation{target, slots} }

// Target returns the model or service.
func (h Allocation) Target() string { return h.target }

// Slots returns how many calls the daemon may run at once.
func (h Allocation) Slots() int { return h.slots }

// Usage is what one organisation wants of one target at one daemon.
type Usage struct {
	target       string
	organisation string
	calls        int
}

// NewUsage returns the usage of an organisation with wanted calls that run or wait for target.
func NewUsage(target, organisation string, wanted int) Usage {
	return Usage{target, organisation, wanted}
}

// Target returns the model or service.
func (u Usage) Target() string { return u.target }

// Organisation returns who wants to use it.
func (u Usage) Organisation() string { return u.organisation }

// Calls returns the number of calls that run or wait.
func (u Usage) Calls() int { return u.calls }

// Peer is one daemon as callers may reach it.
type Peer struct {
	name       string
	address    string
	dataCentre string
	leaving    bool
	load       int
}

// NewPeer returns the daemon called name with its address for callers and its load in calls at once.
func NewPeer(name, address, dataCentre string, leaving bool, load int) Peer {
	return Peer{name, address, dataCentre, leaving, load}
}

// Name returns the name of the daemon.
func (p Peer) Name() string { return p.name }

// Address returns where callers connect.
func (p Peer) Address() string { return p.address }

// DataCentre returns the data centre of the daemon.
func (p Peer) DataCentre() string { return p.dataCentre }

// Leaving reports whether a planned stop of the daemon has begun.
func (p Peer) Leaving() bool { return p.leaving }

// Load returns how many calls run or wait at the daemon.
func (p Peer) Load() int { return p.load }
