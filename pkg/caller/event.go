package caller

// Event is something that the decisions towards callers react to: Configured, Arrived, Finished, Left, Shared, Peers,
// Capacity, Stopping, Resumed or Ticked.
type Event interface{ isEvent() }

// Configured says that new settings are in force.
type Configured struct{ settings Settings }

// NewConfigured returns the event of settings coming into force.
func NewConfigured(settings Settings) Configured { return Configured{settings} }

// Arrived says that a caller sent a call.
type Arrived struct{ call Call }

// NewArrived returns the event of call arriving.
func NewArrived(call Call) Arrived { return Arrived{call} }

// Finished says that a dispatched call ended.
type Finished struct {
	id      ID
	outcome Outcome
}

// NewFinished returns the event of the call id ending with outcome.
func NewFinished(id ID, outcome Outcome) Finished { return Finished{id, outcome} }

// Disconnected says that the caller went away before its call ended.
type Disconnected struct{ id ID }

// NewDisconnected returns the event of the caller of the call id going away.
func NewDisconnected(id ID) Disconnected { return Disconnected{id} }

// UsageReported says what another daemon uses; it replaces what that daemon said before.
type UsageReported struct {
	daemon      string
	allocations []Allocation
	usages      []Usage
}

// NewUsageReported returns the event of hearing the holds and usages of daemon.
func NewUsageReported(daemon string, holds []Allocation, usages []Usage) UsageReported {
	return UsageReported{daemon, holds, usages}
}

// PeersChanged says which daemons live; it replaces the list before it and may hold this daemon.
type PeersChanged struct{ peers []Peer }

// NewPeersChanged returns the event of learning which daemons live.
func NewPeersChanged(peers []Peer) PeersChanged { return PeersChanged{peers} }

// CapacityChanged says how many calls the whole fleet can run at once for a target now.
type CapacityChanged struct {
	target string
	slots  int
}

// NewCapacityChanged returns the event of target running at most slots calls at once in the whole fleet.
func NewCapacityChanged(target string, slots int) CapacityChanged {
	return CapacityChanged{target, slots}
}

// StopRequested says that a planned stop of this daemon begins.
type StopRequested struct{}

// NewStopRequested returns the event of a planned stop beginning.
func NewStopRequested() StopRequested { return StopRequested{} }

// StopCancelled says that the planned stop of this daemon is taken back.
type StopCancelled struct{}

// NewStopCancelled returns the event of a planned stop being taken back.
func NewStopCancelled() StopCancelled { return StopCancelled{} }

// Ticked says that time went on; it is due at least every 100 ms.
type Ticked struct{}

// NewTicked returns the event of time going on.
func NewTicked() Ticked { return Ticked{} }

func (Configured) isEvent() {}

func (Arrived) isEvent() {}

func (Finished) isEvent() {}

func (Disconnected) isEvent() {}

func (UsageReported) isEvent() {}

func (PeersChanged) isEvent() {}

func (CapacityChanged) isEvent() {}

func (StopRequested) isEvent() {}

func (StopCancelled) isEvent() {}

func (Ticked) isEvent() {}
