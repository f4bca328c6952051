package gateway

import (
	"time"

	"github.com/azurepond/azurepond/pkg/dispatch"
	"github.com/azurepond/azurepond/pkg/object"
	"github.com/azurepond/azurepond/pkg/peer"
	"github.com/azurepond/azurepond/pkg/relay"
	"github.com/azurepond/azurepond/pkg/replica"
	"github.com/azurepond/azurepond/pkg/route"
)

// Event is an input of a daemon's state machine.
type Event interface{ isEvent() }

// Started reports that the daemon starts; it must be the first event.
type Started struct{ settings Settings }

// NewStarted returns the event that the daemon starts with settings.
func NewStarted(settings Settings) Started { return Started{settings} }

// Reloaded reports that the settings changed.
type Reloaded struct{ settings Settings }

// NewReloaded returns the event that the daemon uses settings from now on; its name, addresses and incarnation stay.
func NewReloaded(settings Settings) Reloaded { return Reloaded{settings} }

// ConfigDecoded is the result of a DecodeConfig effect.
type ConfigDecoded struct{ config route.Config }

// NewConfigDecoded returns the event that a configuration was decoded.
func NewConfigDecoded(config route.Config) ConfigDecoded { return ConfigDecoded{config} }

// Upstream is one entry of the platform's list: an instance of a service.
type Upstream struct {
	service  string
	slots    int
	instance replica.Instance
	coldLeft time.Duration // for how much longer it was cold when the entry was read or sent
}

// NewUpstream returns the entry of an instance of service that runs slots requests at once.
func NewUpstream(service string, slots int, instance replica.Instance) Upstream {
	return Upstream{service: service, slots: slots, instance: instance}
}

// WithColdLeft returns the entry with for how much longer the upstream is cold.
func (u Upstream) WithColdLeft(left time.Duration) Upstream {
	u.coldLeft = left
	return u
}

// ColdLeft returns for how much longer the upstream was cold when its entry was read.
func (u Upstream) ColdLeft() time.Duration { return u.coldLeft }

// Service returns the name of the service.
func (u Upstream) Service() string { return u.service }

// Instance returns the state that the instance reports.
func (u Upstream) Instance() replica.Instance { return u.instance }

// Listed carries the platform's list of upstreams, or changes of it.
type Listed struct {
	upstreams []Upstream
	gone      []replica.ID
	complete  bool
	era       uint64 // of the store
}

// Upstreams returns the upstreams of the list, or those that changed.
func (l Listed) Upstreams() []Upstream { return l.upstreams }

// WithEra returns the event with the era of the store, 0 if unknown.
func (l Listed) WithEra(era uint64) Listed {
	l.era = era
	return l
}

// NewListed returns the event of the complete list.
func NewListed(upstreams []Upstream) Listed { return Listed{upstreams: upstreams, complete: true} }

// NewListChanges returns the event that some upstreams were added or changed and others were removed.
func NewListChanges(changed []Upstream, gone []replica.ID) Listed {
	return Listed{upstreams: changed, gone: gone}
}

// ListUnchanged reports that the store has answered the watch of the list, which has not changed.
type ListUnchanged struct{}

// NewListUnchanged returns the event that the list has not changed since the last one.
func NewListUnchanged() ListUnchanged { return ListUnchanged{} }

// ListFailed reports that the platform's list can't be read.
type ListFailed struct{}

// NewListFailed returns the event that the platform's list can't be read.
func NewListFailed() ListFailed { return ListFailed{} }

// LeavingReported reports that an upstream announced in an answer that it shuts down.
type LeavingReported struct{ id replica.ID }

// NewLeavingReported returns the event that the upstream called id announced that it shuts down.
func NewLeavingReported(id replica.ID) LeavingReported { return LeavingReported{id} }

// ColdReported reports that an upstream stated in an answer that it is cold.
type ColdReported struct {
	id   replica.ID
	left time.Duration
}

// NewColdReported returns the event that the upstream called id stated that it is cold for a time from now on.
func NewColdReported(id replica.ID, left time.Duration) ColdReported { return ColdReported{id, left} }

// Component identifies a state machine within the daemon.
type Component uint8

// The components that make requests to the object API.
const (
	PeerComponent Component = iota
	ReplicaComponent
)

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
type Stopping struct{ signalledAt time.Time }

// NewStopping returns the event that a graceful shutdown of this daemon begins, which was signalled at a time.
func NewStopping(signalledAt time.Time) Stopping { return Stopping{signalledAt} }

// TickInterval is the time between two ticks.
const TickInterval = 25 * time.Millisecond // a tenth of the shortest known latency objective of a caller

// Ticked reports that time has passed.
type Ticked struct{ due time.Time }

// NewTicked returns the event of a tick that was due at due, on the clock of Reduce.
func NewTicked(due time.Time) Ticked { return Ticked{due} }

// Suspended reports that the instance was suspended while the clock of Reduce stood still.
type Suspended struct{ duration time.Duration }

// NewSuspended returns the event that the instance was suspended for duration, which the times of Reduce do not include.
func NewSuspended(duration time.Duration) Suspended { return Suspended{duration} }

// PeerEvent is an event for pkg/peer.
type PeerEvent struct{ event peer.Event }

// NewPeerEvent wraps an event of pkg/peer.
func NewPeerEvent(e peer.Event) PeerEvent { return PeerEvent{e} }

// ReplicaEvent is an event for pkg/replica.
type ReplicaEvent struct{ event replica.Event }

// NewReplicaEvent wraps an event of pkg/replica.
func NewReplicaEvent(e replica.Event) ReplicaEvent { return ReplicaEvent{e} }

// RelayEvent is an event for pkg/relay.
type RelayEvent struct{ event relay.Event }

// NewRelayEvent wraps an event of pkg/relay.
func NewRelayEvent(e relay.Event) RelayEvent { return RelayEvent{e} }

// ProbeEnded carries the result of a probe of an instance.
type ProbeEnded struct {
	result  replica.Probed
	via     string        // the peer through which it went, empty for none
	failure relay.Failure // of the peer, if the instance did not answer
}

// NewProbeEnded returns the event of a probe that this daemon carried out itself.
func NewProbeEnded(result replica.Probed) ProbeEnded { return ProbeEnded{result: result} }

// Via returns the event of a probe that went through a peer, and what kept the peer from passing it on if the instance did not answer.
func (p ProbeEnded) Via(peer string, failure relay.Failure) ProbeEnded {
	p.via, p.failure = peer, failure
	return p
}

// RelayRequested reports that a peer sends a request to an upstream through this daemon.
type RelayRequested struct {
	id       RelayID
	upstream string
	isCall   bool
}

// NewRelayRequested returns the event of a request of a peer to an upstream; isCall says that it is a call, not an order or a probe.
func NewRelayRequested(id RelayID, upstream string, isCall bool) RelayRequested {
	return RelayRequested{id, upstream, isCall}
}

// RelayEnded reports that a request that was passed on for a peer has ended.
type RelayEnded struct{ id RelayID }

// NewRelayEnded returns the event of the end of a request that was passed on for a peer.
func NewRelayEnded(id RelayID) RelayEnded { return RelayEnded{id} }

// DispatchEvent is an event for pkg/dispatch.
type DispatchEvent struct{ event dispatch.Event }

// NewDispatchEvent wraps an event of pkg/dispatch.
func NewDispatchEvent(e dispatch.Event) DispatchEvent { return DispatchEvent{e} }

func (Started) isEvent() {}

func (Reloaded) isEvent() {}

func (ConfigDecoded) isEvent() {}

func (Listed) isEvent() {}

func (LeavingReported) isEvent() {}

func (ColdReported) isEvent() {}

func (ListUnchanged) isEvent() {}

func (ListFailed) isEvent() {}

func (StoreCompleted) isEvent() {}

func (Stopping) isEvent() {}

func (Ticked) isEvent() {}

func (Suspended) isEvent() {}

func (PeerEvent) isEvent() {}

func (ReplicaEvent) isEvent() {}

func (RelayEvent) isEvent() {}

func (ProbeEnded) isEvent() {}

func (RelayRequested) isEvent() {}

func (RelayEnded) isEvent() {}

func (DispatchEvent) isEvent() {}
