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

// instanceTickInterval is the interval between two ticks of pkg/instance.
const instanceTickInterval = 500 * time.Millisecond

// State is the state machine of one daemon; the zero value waits for Started.
type State struct {
	settings Settings
	caller   caller.State
	engine   engine.State
	service  service.State
	instance instance.State
	peer     peer.State
	operator operator.State

	replicas         replicas
	upstreams        serviceUpstreams
	models           []string // names of the configured models
	listing          listing
	role             role
	leaving          bool // drained by an action or by the graceful shutdown
	instanceTickedAt time.Time
	stopping         bool // the process exits once the daemon has drained

	now     time.Time
	effects []Effect
}

// Reduce applies one event that happened at now and returns the effects to execute, in order.
func (s *State) Reduce(now time.Time, e Event) []Effect {
	s.now, s.effects = now, nil
	switch e := e.(type) {
	case Started:
		s.start(e.settings)
	case Listed:
		s.publishList(e)
	case StoreCompleted:
		s.storeCompleted(e)
	case Stopping:
		s.reduceCaller(caller.NewStopScheduled(s.now.Add(e.grace)))
		s.stop()
	case Ticked:
		s.tick()
	case CallerEvent:
		s.reduceCaller(e.event)
	case EngineEvent:
		s.reduceEngine(e.event)
	case ServiceEvent:
		s.reduceService(e.event)
	case InstanceEvent:
		s.reduceInstance(e.event)
	case PeerEvent:
		s.reducePeer(e.event)
	case OperatorEvent:
		s.reduceOperator(e.event)
	}
	effects := s.effects
	s.effects = nil
	return effects
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

func (s *State) start(settings Settings) {
	s.settings = settings
	s.listing.random = rand.New(rand.NewPCG(settings.seed, listRandomStream))
	s.reducePeer(peer.NewConfigured(peerSettings(settings)))
	s.reduceOperator(operator.NewConfigured(settings.name, settings.seed))
	s.reduceEngine(engine.NewConfigured(engineSettings(settings)))
}

// reconfigure applies the active configuration of pkg/operator to the other state machines.
func (s *State) reconfigure() {
	fleet := s.operator.Fleet()
	s.models = modelNames(fleet)
	s.reduceInstance(instance.NewConfigured(instanceSettings(s.settings, fleet, s.role)))
	s.reduceCaller(caller.NewConfigured(callerSettings(s.settings, fleet)))
	s.reduceService(service.NewConfigured(serviceSettings(s.settings, fleet)))
	s.refreshReplicas()
	s.refreshServiceUpstreams()
	s.refreshWatchedUpstreams()
	s.emit(Reconfigured{fleet})
}

// refreshWatchedUpstreams passes the upstreams to probe, instances and upstreams of plain services, to pkg/peer.
func (s *State) refreshWatchedUpstreams() {
	var upstreams []peer.Upstream
	for _, i := range s.listing.instances {
		upstreams = append(upstreams, peer.NewUpstream(string(i.ID()), i.Address(), i.DataCentre(), i.Domain()))
	}
	for _, config := range s.operator.Fleet().Services() {
		for _, upstream := range config.Upstreams() {
			address := upstream.Address().String()
			id := UpstreamID(config.Name(), address)
			upstreams = append(upstreams, peer.NewUpstream(id, address, upstream.Centre(), ""))
		}
	}
	s.reducePeer(peer.NewUpstreamsChanged(upstreams))
}

func (s *State) storeCompleted(e StoreCompleted) {
	switch e.component {
	case InstanceComponent:
		s.reduceInstance(instance.NewStoreCompleted(e.result))
	case PeerComponent:
		s.reducePeer(peer.NewStoreCompleted(withoutHistory(e.result)))
	case OperatorComponent:
		s.reduceOperator(operator.NewStoreCompleted(e.result))
	case ServiceComponent:
		s.reduceService(service.NewStoreCompleted(e.result))
	}
}

// stop begins the graceful shutdown of this daemon, after which the process exits.
func (s *State) stop() {
	s.stopping = true
	s.leave()
	if s.caller.View().Stopped() {
		s.emit(Stopped{})
	}
}

// leave drains this daemon and announces to the peers that it leaves.
func (s *State) leave() {
	s.leaving = true
	s.reducePeer(peer.NewLeaving())
	s.reduceCaller(caller.NewStopRequested())
}

// resume reverts leave, unless the process is about to exit.
func (s *State) resume() {
	if s.stopping {
		return
	}
	s.leaving = false
	s.reducePeer(peer.NewLeaveCancelled())
	s.reduceCaller(caller.NewStopCancelled())
}

func (s *State) tick() {
	s.reducePeer(peer.NewTicked())
	s.requestList()
	s.reduceOperator(operator.Ticked{})
	if s.now.Sub(s.instanceTickedAt) >= instanceTickInterval {
		s.instanceTickedAt = s.now
		s.refreshRole()
		s.reduceInstance(instance.NewTicked())
		s.refreshReplicas()
		s.refreshServiceUpstreams()
	}
	s.reduceEngine(engine.NewTicked())
	s.reduceService(service.NewTicked())
	s.reduceCaller(caller.NewTicked())
}

// refreshReplicas updates the available replicas from pkg/instance and passes their capacity to pkg/caller.
func (s *State) refreshReplicas() {
	s.replicas.refresh(s.now, &s.instance, s.models)
	for _, model := range s.models {
		s.reduceCaller(caller.NewCapacityChanged(model, s.engine.Capacity(&s.replicas, model)))
	}
}
