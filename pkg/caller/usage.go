package caller

// Allocation is the part of the capacity of a target that one daemon may use.
type Allocation struct {
	target string
	slots  int
}

// NewAllocation returns the allocation of slots calls at once of target.
func NewAllocation(target string, slots int) Allocation { return Allocation{target, slots} }

// Target returns the model or service.
func (a Allocation) Target() string { return a.target }

// Slots returns how many calls the daemon may run at once.
func (a Allocation) Slots() int { return a.slots }

// Usage is the number of calls of one organisation for one target at one daemon.
type Usage struct {
	target       string
	organisation string
	calls        int
}

// NewUsage returns the usage of an organisation with the number of calls that run or wait for target.
func NewUsage(target, organisation string, calls int) Usage {
	return Usage{target, organisation, calls}
}

// Target returns the model or service.
func (u Usage) Target() string { return u.target }

// Organisation returns the organisation that sent the calls.
func (u Usage) Organisation() string { return u.organisation }

// Calls returns the number of calls that run or wait.
func (u Usage) Calls() int { return u.calls }

// Peer is a daemon to which callers may connect.
type Peer struct {
	name       string
	address    string
	dataCentre string
	leaving    bool
	load       int
}

// NewPeer returns the daemon called name with its address for callers and its number of running and waiting calls.
func NewPeer(name, address, dataCentre string, leaving bool, load int) Peer {
	return Peer{name, address, dataCentre, leaving, load}
}

// Name returns the name of the daemon.
func (p Peer) Name() string { return p.name }

// Address returns the address for callers.
func (p Peer) Address() string { return p.address }

// DataCentre returns the data centre of the daemon.
func (p Peer) DataCentre() string { return p.dataCentre }

// Leaving reports whether a planned stop of the daemon has begun.
func (p Peer) Leaving() bool { return p.leaving }

// Load returns the number of calls that run or wait at the daemon.
func (p Peer) Load() int { return p.load }
