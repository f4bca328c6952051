package caller

import "time"

// Event is an input of State.Reduce: Configured, Arrived, Finished, Disconnected, UsageReported, PeersChanged,
// CapacityChanged, StopRequested, StopScheduled, StopCancelled or Ticked.
type Event interface{ isEvent() }

// Configured replaces the settings.
type Configured struct{ settings Settings }

// NewConfigured returns the event that replaces the settings.
func NewConfigured(settings Settings) Configured { return Configured{settings} }

// Arrived reports a new call.
type Arrived struct{ call Call }

// NewArrived returns the event that a caller sent call.
func NewArrived(call Call) Arrived { return Arrived{call} }

// Finished reports that a dispatched call ended.
type Finished struct {
	id      ID
	outcome Outcome
}

// NewFinished returns the event that the call id ended with outcome.
func NewFinished(id ID, outcome Outcome) Finished { return Finished{id, outcome} }

// Disconnected reports that the caller disconnected before its call ended.
type Disconnected struct{ id ID }

// NewDisconnected returns the event that the caller of the call id disconnected.
func NewDisconnected(id ID) Disconnected { return Disconnected{id} }

// UsageReported holds the allocations and the usage of another daemon. It replaces the last report of that daemon.
type UsageReported struct {
	daemon      string
	allocations []Allocation
	usages      []Usage
}

// NewUsageReported returns the event that daemon reported its allocations and usages.
func NewUsageReported(daemon string, allocations []Allocation, usages []Usage) UsageReported {
	return UsageReported{daemon, allocations, usages}
}

// PeersChanged replaces the list of live daemons. The list may include this daemon.
type PeersChanged struct{ peers []Peer }

// NewPeersChanged returns the event that peers are the live daemons.
func NewPeersChanged(peers []Peer) PeersChanged { return PeersChanged{peers} }

// CapacityChanged sets how many calls of a target the whole fleet can run at once.
type CapacityChanged struct {
	target string
	slots  int
}

// NewCapacityChanged returns the event that the whole fleet can run slots calls of target at once.
func NewCapacityChanged(target string, slots int) CapacityChanged {
	return CapacityChanged{target, slots}
}

// StopRequested starts a planned stop of this daemon.
type StopRequested struct{}

// NewStopRequested returns the event that starts a planned stop.
func NewStopRequested() StopRequested { return StopRequested{} }

// StopScheduled limits the planned stop of this daemon, whose process ends afterwards.
type StopScheduled struct{ ends time.Time }

// NewStopScheduled returns the event that the process ends shortly after ends, by when all calls must have their answers.
func NewStopScheduled(ends time.Time) StopScheduled { return StopScheduled{ends} }

// StopCancelled cancels the planned stop of this daemon.
type StopCancelled struct{}

// NewStopCancelled returns the event that cancels a planned stop.
func NewStopCancelled() StopCancelled { return StopCancelled{} }

// Ticked drives the timeouts. It must arrive at least every 100 ms.
type Ticked struct{}

// NewTicked returns the event that drives the timeouts.
func NewTicked() Ticked { return Ticked{} }

func (Configured) isEvent() {}

func (Arrived) isEvent() {}

func (Finished) isEvent() {}

func (Disconnected) isEvent() {}

func (UsageReported) isEvent() {}

func (PeersChanged) isEvent() {}

func (CapacityChanged) isEvent() {}

func (StopRequested) isEvent() {}

func (StopScheduled) isEvent() {}

func (StopCancelled) isEvent() {}

func (Ticked) isEvent() {}
