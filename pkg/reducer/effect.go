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

// Effect is an action that a driver executes: Store, ListInstances, Reconfigured, EndCalls, Stopped, or a wrapped effect of another
// package.
type Effect interface{ isEffect() }

// Component identifies a state machine within the daemon.
type Component uint8

// The components that make requests to the object API.
const (
	InstanceComponent Component = iota
	ServiceComponent
	PeerComponent
	OperatorComponent
)

// Store requests one call to the object API on behalf of a component; StoreCompleted carries its result.
type Store struct {
	component Component
	request   object.Request
}

// Component returns the component that receives the result.
func (s Store) Component() Component { return s.component }

// Request returns the call to make.
func (s Store) Request() object.Request { return s.request }

// ListInstances requests one read of the platform's instance list; Listed carries the result.
type ListInstances struct{}

// Reconfigured reports that another configuration is active in this daemon.
type Reconfigured struct{ fleet operator.Fleet }

// Fleet returns the active configuration.
func (r Reconfigured) Fleet() operator.Fleet { return r.fleet }

// EndCalls tells the driver to give the callers of all running calls their final answers, since the process ends.
type EndCalls struct{}

// Stopped tells the driver that the graceful shutdown is complete and the process may exit.
type Stopped struct{}

// CallerEffect is an effect of pkg/caller: Reject.
type CallerEffect struct{ effect caller.Effect }

// Effect returns the effect of pkg/caller.
func (e CallerEffect) Effect() caller.Effect { return e.effect }

// EngineEffect is an effect of pkg/engine: Send, Cancel, Finish, ReadCacheEvents or ResyncCache.
type EngineEffect struct{ effect engine.Effect }

// Effect returns the effect of pkg/engine.
func (e EngineEffect) Effect() engine.Effect { return e.effect }

// ServiceEffect is an effect of pkg/service: Send, Cancel, Finish or Replay.
type ServiceEffect struct{ effect service.Effect }

// Effect returns the effect of pkg/service.
func (e ServiceEffect) Effect() service.Effect { return e.effect }

// InstanceEffect is an effect of pkg/instance: Order or AvailabilityChanged.
type InstanceEffect struct{ effect instance.Effect }

// Effect returns the effect of pkg/instance.
func (e InstanceEffect) Effect() instance.Effect { return e.effect }

// PeerEffect is an effect of pkg/peer: Send, Probe, Members or ResetLinks.
type PeerEffect struct{ effect peer.Effect }

// Effect returns the effect of pkg/peer.
func (e PeerEffect) Effect() peer.Effect { return e.effect }

// OperatorEffect is an effect of pkg/operator: Answer.
type OperatorEffect struct{ effect operator.Effect }

// Effect returns the effect of pkg/operator.
func (e OperatorEffect) Effect() operator.Effect { return e.effect }

func (Store) isEffect() {}

func (ListInstances) isEffect() {}

func (Reconfigured) isEffect() {}

func (EndCalls) isEffect() {}

func (Stopped) isEffect() {}

func (CallerEffect) isEffect() {}

func (EngineEffect) isEffect() {}

func (ServiceEffect) isEffect() {}

func (InstanceEffect) isEffect() {}

func (PeerEffect) isEffect() {}

func (OperatorEffect) isEffect() {}
