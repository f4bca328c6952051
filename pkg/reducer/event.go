package reducer

import (
	"time"

	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/engine"
	"github.com/azurepond/azurepond/pkg/instance"
	"github.com/azurepond/azurepond/pkg/object"
	"github.com/azurepond/azurepond/pkg/operator"
	"github.com/azurepond/azurepond/pkg/peer"
	"github.com/azurepond/azurepond/pkg/service"
)

// Event is an input of State.Reduce: Started, Listed, StoreCompleted, Stopping, Ticked, or a wrapped event of another
// package.
type Event interface{ isEvent() }

// Started reports that the daemon starts; it must be the first event.
type Started struct{ settings Settings }

// NewStarted returns the event that the daemon starts with settings.
func NewStarted(settings Settings) Started { return Started{settings} }

// Listed is the result of a ListInstances effect.
type Listed struct {
	revision  uint64
	instances []instance.Instance
}

// NewListed returns the event of the platform's complete list of instances; a later list has a higher revision.
func NewListed(revision uint64, instances []instance.Instance) Listed {
	return Listed{revision, instances}
}

// StoreCompleted carries the result of a Store effect.
type StoreCompleted struct {
	component Component
	result    object.Result
}

// NewStoreCompleted returns the event that a request of component ended with result.
func NewStoreCompleted(component Component, result object.Result) StoreCompleted {
	return StoreCompleted{component, result}
}

// Stopping reports that a graceful shutdown of this daemon begins.
type Stopping struct{ grace time.Duration }

// NewStopping returns the event that a graceful shutdown of this daemon begins, which takes at most grace.
func NewStopping(grace time.Duration) Stopping { return Stopping{grace} }

// Ticked reports that time has passed.
type Ticked struct{}

// NewTicked returns the event that time has passed.
func NewTicked() Ticked { return Ticked{} }

// CallerEvent is an event for pkg/caller.
type CallerEvent struct{ event caller.Event }

// NewCallerEvent wraps an event of pkg/caller.
func NewCallerEvent(e caller.Event) CallerEvent { return CallerEvent{e} }

// EngineEvent is an event for pkg/engine.
type EngineEvent struct{ event engine.Event }

// NewEngineEvent wraps an event of pkg/engine.
func NewEngineEvent(e engine.Event) EngineEvent { return EngineEvent{e} }

// ServiceEvent is an event for pkg/service.
type ServiceEvent struct{ event service.Event }

// NewServiceEvent wraps an event of pkg/service.
func NewServiceEvent(e service.Event) ServiceEvent { return ServiceEvent{e} }

// InstanceEvent is an event for pkg/instance.
type InstanceEvent struct{ event instance.Event }

// NewInstanceEvent wraps an event of pkg/instance.
func NewInstanceEvent(e instance.Event) InstanceEvent { return InstanceEvent{e} }

// PeerEvent is an event for pkg/peer.
type PeerEvent struct{ event peer.Event }

// NewPeerEvent wraps an event of pkg/peer.
func NewPeerEvent(e peer.Event) PeerEvent { return PeerEvent{e} }

// OperatorEvent is an event for pkg/operator.
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
