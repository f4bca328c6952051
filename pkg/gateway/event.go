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

// Begun says that the daemon starts; it comes first.
type Begun struct{ identity Identity }

// NewBegun returns the event that the daemon starts as identity.
func NewBegun(identity Identity) Begun { return Begun{identity} }

// Reloaded says that other settings are in force.
type Reloaded struct{ identity Identity }

// NewReloaded returns the event that the daemon runs as identity from now on; its name, addresses and start stay.
func NewReloaded(identity Identity) Reloaded { return Reloaded{identity} }

// Decoded says what a Decode effect brought.
type Decoded struct{ config route.Config }

// NewDecoded returns the event that a configuration was read.
func NewDecoded(config route.Config) Decoded { return Decoded{config} }

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
	whole     bool
}

// NewListed returns the event that upstreams are all there are.
func NewListed(upstreams []Upstream) Listed { return Listed{upstreams: upstreams, whole: true} }

// NewRelisted returns the event that some upstreams changed and others are gone.
func NewRelisted(changed []Upstream, gone []replica.ID) Listed {
	return Listed{upstreams: changed, gone: gone}
}

// Unlisted says that the platform's list can't be read.
type Unlisted struct{}

// NewUnlisted returns the event that the platform's list can't be read.
func NewUnlisted() Unlisted { return Unlisted{} }

// Part names one part of the decisions.
type Part uint8

// The parts that make requests to the object API.
const (
	PeerPart Part = iota
	ReplicaPart
)

// Resulted says what became of a Store effect of a part.
type Resulted struct {
	part   Part
	result object.Result
}

// NewResulted returns the event that a request of part ended with result.
func NewResulted(part Part, result object.Result) Resulted { return Resulted{part, result} }

// Stopping says that a planned stop of this daemon begins.
type Stopping struct{}

// NewStopping returns the event that a planned stop of this daemon begins.
func NewStopping() Stopping { return Stopping{} }

// Ticked says that time has passed; it is due every 25 ms.
type Ticked struct{}

// NewTicked returns the event that time has passed.
func NewTicked() Ticked { return Ticked{} }

// FromPeer is an event towards peers.
type FromPeer struct{ event peer.Event }

// NewFromPeer wraps an event of pkg/peer.
func NewFromPeer(e peer.Event) FromPeer { return FromPeer{e} }

// FromReplica is an event towards engines.
type FromReplica struct{ event replica.Event }

// NewFromReplica wraps an event of pkg/replica.
func NewFromReplica(e replica.Event) FromReplica { return FromReplica{e} }

// FromDispatch is an event of requests.
type FromDispatch struct{ event dispatch.Event }

// NewFromDispatch wraps an event of pkg/dispatch.
func NewFromDispatch(e dispatch.Event) FromDispatch { return FromDispatch{e} }

func (Begun) isEvent() {}

func (Reloaded) isEvent() {}

func (Decoded) isEvent() {}

func (Listed) isEvent() {}

func (Unlisted) isEvent() {}

func (Resulted) isEvent() {}

func (Stopping) isEvent() {}

func (Ticked) isEvent() {}

func (FromPeer) isEvent() {}

func (FromReplica) isEvent() {}

func (FromDispatch) isEvent() {}
