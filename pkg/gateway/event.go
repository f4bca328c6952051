package gateway

import (
	"github.com/azurepond/azurepond/pkg/dispatch"
	"github.com/azurepond/azurepond/pkg/object"
	"github.com/azurepond/azurepond/pkg/peer"
	"github.com/azurepond/azurepond/pkg/replica"
	"github.com/azurepond/azurepond/pkg/route"
)

// Event is something that happened to a daemon.
type Event interface{ isEvent() }

// Started says that the daemon starts; it comes first.
type Started struct{ settings Settings }

// NewStarted returns the event that the daemon starts as identity.
func NewStarted(identity Settings) Started { return Started{identity} }

// Reloaded says that other settings are in force.
type Reloaded struct{ settings Settings }

// NewReloaded returns the event that the daemon runs as identity from now on; its name, addresses and start stay.
func NewReloaded(identity Settings) Reloaded { return Reloaded{identity} }

// ConfigDecoded says what a Decode effect brought.
type ConfigDecoded struct{ config route.Config }

// NewConfigDecoded returns the event that a configuration was read.
func NewConfigDecoded(config route.Config) ConfigDecoded { return ConfigDecoded{config} }

// Upstream is one entry of the platform's list: an instance of a service.
type Upstream struct {
	service  string
	slots    int
	instance replica.Instance
}

// NewUpstream returns the entry of an instance of service that runs slots requests at once.
func NewUpstream(service string, slots int, instance replica.Instance) Upstream {
	return Upstream{service, slots, instance}
}

// Service returns the name of the service.
func (u Upstream) Service() string { return u.service }

// Instance returns what the instance says of itself.
func (u Upstream) Instance() replica.Instance { return u.instance }

// Listed says what the platform's list of upstreams holds.
type Listed struct {
	upstreams []Upstream
	gone      []replica.ID
	complete  bool
}

// NewListed returns the event that upstreams are all there are.
func NewListed(upstreams []Upstream) Listed { return Listed{upstreams: upstreams, complete: true} }

// NewListChanges returns the event that some upstreams changed and others are gone.
func NewListChanges(changed []Upstream, gone []replica.ID) Listed {
	return Listed{upstreams: changed, gone: gone}
}

// ListFailed says that the platform's list can't be read.
type ListFailed struct{}

// NewListFailed returns the event that the platform's list can't be read.
func NewListFailed() ListFailed { return ListFailed{} }

// Component names one part of the decisions.
type Component uint8

// The parts that make requests to the object API.
const (
	PeerComponent Component = iota
	ReplicaComponent
)

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

// Ticked says that time has passed; it is due every 25 ms.
type Ticked struct{}

// NewTicked returns the event that time has passed.
func NewTicked() Ticked { return Ticked{} }

// PeerEvent is an event towards peers.
type PeerEvent struct{ event peer.Event }

// NewPeerEvent wraps an event of pkg/peer.
func NewPeerEvent(e peer.Event) PeerEvent { return PeerEvent{e} }

// ReplicaEvent is an event towards engines.
type ReplicaEvent struct{ event replica.Event }

// NewReplicaEvent wraps an event of pkg/replica.
func NewReplicaEvent(e replica.Event) ReplicaEvent { return ReplicaEvent{e} }

// DispatchEvent is an event of requests.
type DispatchEvent struct{ event dispatch.Event }

// NewDispatchEvent wraps an event of pkg/dispatch.
func NewDispatchEvent(e dispatch.Event) DispatchEvent { return DispatchEvent{e} }

func (Started) isEvent() {}

func (Reloaded) isEvent() {}

func (ConfigDecoded) isEvent() {}

func (Listed) isEvent() {}

func (ListFailed) isEvent() {}

func (StoreCompleted) isEvent() {}

func (Stopping) isEvent() {}

func (Ticked) isEvent() {}

func (PeerEvent) isEvent() {}

func (ReplicaEvent) isEvent() {}

func (DispatchEvent) isEvent() {}
