package reducer

import (
	"math/rand/v2"
	"time"

	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/engine"
	"github.com/azurepond/azurepond/pkg/instance"
	"github.com/azurepond/azurepond/pkg/operator"
	"github.com/azurepond/azurepond/pkg/peer"
	"github.com/azurepond/azurepond/pkg/service"
)

// instancePeriod is the time between two ticks of the decisions over instances.
const instancePeriod = 500 * time.Millisecond

// State is all that one daemon knows and decides; the zero value waits for Begun.
type State struct {
	identity Settings
	caller   caller.State
	engine   engine.State
	service  service.State
	instance instance.State
	peer     peer.State
	operator operator.State

	replicas  replicas
	processes processes
	models    []string
	listing   listing
	standing  standing
	leaving   bool
	planned   time.Time // last tick of the decisions over instances
	stopping  bool      // the process shall end once the daemon is out of use

	now     time.Time
	effects []Effect
}

// Reduce applies one event that happened at now and returns what has to be carried out, in order.
func (s *State) Reduce(now time.Time, e Event) []Effect {
	s.now, s.effects = now, nil
	switch e := e.(type) {
	case Started:
		s.begin(e.settings)
	case Listed:
		s.publishList(e)
	case StoreCompleted:
		s.result(e)
	case Stopping:
		s.stop()
	case Ticked:
		s.tick()
	case CallerEvent:
		s.toCaller(e.event)
	case EngineEvent:
		s.toEngine(e.event)
	case ServiceEvent:
		s.toService(e.event)
	case InstanceEvent:
		s.toInstance(e.event)
	case PeerEvent:
		s.toPeer(e.event)
	case OperatorEvent:
		s.toOperator(e.event)
	}
	effects := s.effects
	s.effects = nil
	return effects
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

func (s *State) begin(identity Settings) {
	s.identity = identity
	s.listing.random = rand.New(rand.NewPCG(identity.seed, listSeed))
	s.toPeer(peer.NewConfigured(peerSettings(identity)))
	s.toOperator(operator.NewConfigured(identity.name, identity.seed))
	s.toEngine(engine.NewConfigured(engineSettings(identity)))
}

// reconfigure puts the configuration that the operators' part holds in force in all others.
func (s *State) reconfigure() {
	fleet := s.operator.Fleet()
	s.models = modelNames(fleet)
	s.toInstance(instance.NewConfigured(instanceSettings(s.identity, fleet, s.standing)))
	s.toCaller(caller.NewConfigured(callerSettings(s.identity, fleet)))
	s.toService(service.NewConfigured(serviceSettings(s.identity, fleet)))
	s.refreshReplicas()
	s.refreshProcesses()
	s.listUpstreams()
	s.emit(Reconfigured{fleet})
}

// listUpstreams tells the peers' part what there is to watch.
func (s *State) listUpstreams() {
	var upstreams []peer.Upstream
	for _, i := range s.listing.instances {
		upstreams = append(upstreams, peer.NewUpstream(string(i.ID()), i.Address(), i.DataCentre(), i.Domain()))
	}
	for _, service := range s.operator.Fleet().Services() {
		for _, process := range service.Upstreams() {
			address := process.Address().String()
			id := UpstreamID(service.Name(), address)
			upstreams = append(upstreams, peer.NewUpstream(id, address, process.Centre(), ""))
		}
	}
	s.toPeer(peer.NewListed(upstreams))
}

func (s *State) result(e StoreCompleted) {
	switch e.component {
	case InstanceComponent:
		s.toInstance(instance.NewStoreCompleted(e.result))
	case PeerComponent:
		s.toPeer(peer.NewStoreCompleted(withoutHistory(e.result)))
	case OperatorComponent:
		s.toOperator(operator.NewStoreCompleted(e.result))
	case ServiceComponent:
		s.toService(service.NewStoreCompleted(e.result))
	}
}

// stop begins the planned stop of this daemon, after which the process ends.
func (s *State) stop() {
	s.stopping = true
	s.leave()
	if s.caller.View().Stopped() {
		s.emit(Stopped{})
	}
}

// leave puts this daemon out of use.
func (s *State) leave() {
	s.leaving = true
	s.toPeer(peer.NewLeaving())
	s.toCaller(caller.NewStopRequested())
}

// resume puts this daemon back into use, unless its process is about to end.
func (s *State) resume() {
	if s.stopping {
		return
	}
	s.leaving = false
	s.toPeer(peer.NewLeaveCancelled())
	s.toCaller(caller.NewStopCancelled())
}

func (s *State) tick() {
	s.toPeer(peer.NewTicked())
	s.askList()
	s.toOperator(operator.Ticked{})
	if s.now.Sub(s.planned) >= instancePeriod {
		s.planned = s.now
		s.restand()
		s.toInstance(instance.NewTicked())
		s.refreshReplicas()
		s.refreshProcesses()
	}
	s.toEngine(engine.NewTicked())
	s.toService(service.NewTicked())
	s.toCaller(caller.NewTicked())
}

// refreshReplicas takes over which replicas are whole, and what they can run.
func (s *State) refreshReplicas() {
	s.replicas.refresh(s.now, &s.instance, s.models)
	for _, model := range s.models {
		s.toCaller(caller.NewCapacityChanged(model, s.engine.Capacity(&s.replicas, model)))
	}
}
