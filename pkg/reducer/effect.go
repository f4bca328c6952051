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

// Effect is what a driver has to carry out: Store, List, Reconfigured, Stopped, or an effect of one part.
type Effect interface{ isEffect() }

// Component names one part of the decisions.
type Component uint8

// The parts that make requests to the object API.
const (
	InstanceComponent Component = iota
	ServiceComponent
	PeerComponent
	OperatorComponent
)

// Store asks for one call to the object API on behalf of a part, which answers with Resulted.
type Store struct {
	component Component
	request   object.Request
}

// Component returns the part that the result goes to.
func (s Store) Component() Component { return s.component }

// Request returns the call to make.
func (s Store) Request() object.Request { return s.request }

// ListInstances asks for one read of the platform's instance list, which answers with Listed.
type ListInstances struct{}

// Reconfigured says that another configuration is in force in this daemon.
type Reconfigured struct{ fleet operator.Fleet }

// Fleet returns the configuration that is in force.
func (r Reconfigured) Fleet() operator.Fleet { return r.fleet }

// Stopped says that the planned stop is complete: the process may end.
type Stopped struct{}

// CallerEffect is an effect towards callers: caller.Reject.
type CallerEffect struct{ effect caller.Effect }

// Effect returns the effect of pkg/caller.
func (t CallerEffect) Effect() caller.Effect { return t.effect }

// EngineEffect is an effect towards engines, or the end of a call: engine.Send, Cancel, Finish, Read or Resync.
type EngineEffect struct{ effect engine.Effect }

// Effect returns the effect of pkg/engine.
func (t EngineEffect) Effect() engine.Effect { return t.effect }

// ServiceEffect is an effect towards plain services, or the end of a call: service.Send, Cancel, Finish or Replay.
type ServiceEffect struct{ effect service.Effect }

// Effect returns the effect of pkg/service.
func (t ServiceEffect) Effect() service.Effect { return t.effect }

// InstanceEffect is an effect towards instances: instance.Order or Changed.
type InstanceEffect struct{ effect instance.Effect }

// Effect returns the effect of pkg/instance.
func (t InstanceEffect) Effect() instance.Effect { return t.effect }

// PeerEffect is an effect towards peers or the upstreams that this daemon watches: peer.Send, Probe, Members or Reset.
type PeerEffect struct{ effect peer.Effect }

// Effect returns the effect of pkg/peer.
func (t PeerEffect) Effect() peer.Effect { return t.effect }

// OperatorEffect is an effect towards operators: operator.Answer.
type OperatorEffect struct{ effect operator.Effect }

// Effect returns the effect of pkg/operator.
func (t OperatorEffect) Effect() operator.Effect { return t.effect }

func (Store) isEffect() {}

func (ListInstances) isEffect() {}

func (Reconfigured) isEffect() {}

func (Stopped) isEffect() {}

func (CallerEffect) isEffect() {}

func (EngineEffect) isEffect() {}

func (ServiceEffect) isEffect() {}

func (InstanceEffect) isEffect() {}

func (PeerEffect) isEffect() {}

func (OperatorEffect) isEffect() {}
