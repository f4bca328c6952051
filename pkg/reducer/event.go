package reducer

import (
	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/engine"
	"github.com/azurepond/azurepond/pkg/instance"
	"github.com/azurepond/azurepond/pkg/object"
	"github.com/azurepond/azurepond/pkg/operator"
	"github.com/azurepond/azurepond/pkg/peer"
	"github.com/azurepond/azurepond/pkg/service"
)

// Event is something that happened to a daemon: Begun, Listed, Resulted, Stopping, Ticked, or an event of one part.
type Event interface{ isEvent() }

// Started says that the daemon starts; it comes first.
type Started struct{ settings Settings }

// NewStarted returns the event that the daemon starts as identity.
func NewStarted(identity Settings) Started { return Started{identity} }

// Listed says what the platform's instance list holds; it answers List.
type Listed struct {
	revision  uint64
	instances []instance.Instance
}

// NewListed returns the event that the platform lists exactly these instances; a later list has a higher revision.
func NewListed(revision uint64, instances []instance.Instance) Listed {
	return Listed{revision, instances}
}

// StoreCompleted says what became of a Store effect of a part.
type StoreCompleted struct {
	component Component
	result    object.Result
}

// NewStoreCompleted returns the event that a request of part ended with result.
func NewStoreCompleted(part Component, result object.Result) StoreCompleted {
	return StoreCompleted{part, result}
}

// Stopping says that a planned stop of this daemon begins.
type Stopping struct{}

// NewStopping returns the event that a planned stop of this daemon begins.
func NewStopping() Stopping { return Stopping{} }

// Ticked says that time has passed.
type Ticked struct{}

// NewTicked returns the event that time has passed.
func NewTicked() Ticked { return Ticked{} }

// CallerEvent is an event towards callers.
type CallerEvent struct{ event caller.Event }

// NewCallerEvent wraps an event of pkg/caller.
func NewCallerEvent(e caller.Event) CallerEvent { return CallerEvent{e} }

// EngineEvent is an event towards engines.
type EngineEvent struct{ event engine.Event }

// NewEngineEvent wraps an event of pkg/engine.
func NewEngineEvent(e engine.Event) EngineEvent { return EngineEvent{e} }

// ServiceEvent is an event towards plain services.
type ServiceEvent struct{ event service.Event }

// NewServiceEvent wraps an event of pkg/service.
func NewServiceEvent(e service.Event) ServiceEvent { return ServiceEvent{e} }

// InstanceEvent is an event towards instances.
type InstanceEvent struct{ event instance.Event }

// NewInstanceEvent wraps an event of pkg/instance.
func NewInstanceEvent(e instance.Event) InstanceEvent { return InstanceEvent{e} }

// PeerEvent is an event towards peers.
type PeerEvent struct{ event peer.Event }

// NewPeerEvent wraps an event of pkg/peer.
func NewPeerEvent(e peer.Event) PeerEvent { return PeerEvent{e} }

// OperatorEvent is an event towards operators.
type OperatorEvent struct{ event operator.Event }

// NewOperatorEvent wraps an event of pkg/operator.
func NewOperatorEvent(e operator.Event) OperatorEvent { return OperatorEvent{e} }

func (Started) isEvent() {}

func (Listed) isEvent() {}

func (StoreCompleted) isEvent() {}

func (Stopping) isEvent() {}

func (Ticked) isEvent() {}

func (CallerEvent) isEvent() {}

func (EngineEvent) isEvent() {}

func (ServiceEvent) isEvent() {}

func (InstanceEvent) isEvent() {}

func (PeerEvent) isEvent() {}

func (OperatorEvent) isEvent() {}
