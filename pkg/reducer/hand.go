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

// recordPrefix begins the name of the document that holds the record of a pool.
const recordPrefix = "pool/"

func (s *State) toCaller(e caller.Event) {
	for _, effect := range s.caller.Reduce(s.now, e) {
		s.fromCaller(effect)
	}
}

func (s *State) fromCaller(effect caller.Effect) {
	switch effect := effect.(type) {
	case caller.Dispatch:
		s.dispatch(effect.Call())
	case caller.Cancel:
		s.toEngine(engine.NewCancelled(effect.ID()))
		s.toService(service.NewCancelled(effect.ID()))
	case caller.ReportUsage:
		s.toPeer(shareFact(s.now, effect))
	case caller.CompleteStop:
		if s.stopping {
			s.emit(Stopped{})
		}
	case caller.Reject:
		s.emit(CallerEffect{effect})
	}
}

// dispatch hands an admitted call to the part that runs calls of its kind.
func (s *State) dispatch(call caller.Call) {
	switch call.Kind() {
	case caller.Model:
		s.toEngine(engine.NewSubmitted(call))
	case caller.Service:
		s.toService(service.NewSubmitted(call))
	}
}

func (s *State) toEngine(e engine.Event) {
	for _, effect := range s.engine.Reduce(s.now, &s.replicas, e) {
		s.fromEngine(effect)
	}
}

func (s *State) fromEngine(effect engine.Effect) {
	switch effect := effect.(type) {
	case engine.Send:
		s.send(effect)
	case engine.Finish:
		s.emit(EngineEffect{effect})
		s.toCaller(caller.NewFinished(effect.ID(), effect.Outcome()))
	case engine.PublishSuspicion:
		s.toPeer(suspicionFact(s.now, effect.Suspicion()))
	case engine.Cancel, engine.ReadCacheEvents, engine.ResyncCache:
		s.emit(EngineEffect{effect})
	}
}

// send lets an attempt go only to a replica that is whole at this moment.
func (s *State) send(effect engine.Send) {
	if isWhole, _ := s.instance.Available(effect.Replica(), s.now); isWhole {
		s.emit(EngineEffect{effect})
		return
	}
	s.replicas.refresh(s.now, &s.instance, s.models)
	s.toEngine(engine.NewFailed(effect.Attempt(), engine.NotSent, effect.TokenOffset()))
}

func (s *State) toService(e service.Event) {
	for _, effect := range s.service.Reduce(s.now, e) {
		s.fromService(effect)
	}
}

func (s *State) fromService(effect service.Effect) {
	switch effect := effect.(type) {
	case service.Store:
		s.emit(Store{ServiceComponent, effect.Request()})
	case service.Finish:
		s.emit(ServiceEffect{effect})
		s.toCaller(caller.NewFinished(effect.ID(), effect.Outcome()))
	case service.Replay:
		s.emit(ServiceEffect{effect})
		s.toCaller(caller.NewFinished(effect.ID(), caller.Answered{}))
	case service.Send, service.Cancel:
		s.emit(ServiceEffect{effect})
	}
}

func (s *State) toInstance(e instance.Event) {
	for _, effect := range s.instance.Reduce(s.now, e) {
		s.fromInstance(effect)
	}
}

func (s *State) fromInstance(effect instance.Effect) {
	switch effect := effect.(type) {
	case instance.Store:
		s.emit(Store{InstanceComponent, effect.Request()})
	case instance.Publish:
		s.toPeer(peer.NewDocumentPublished(peer.NewDocument(recordPrefix+effect.Pool(), effect.Revision(), effect.Data())))
	case instance.AvailabilityChanged:
		s.emit(InstanceEffect{effect})
		s.refreshReplicas()
	case instance.Order:
		s.emit(InstanceEffect{effect})
	}
}

func (s *State) toPeer(e peer.Event) {
	for _, effect := range s.peer.Reduce(s.now, e) {
		s.fromPeer(effect)
	}
}

func (s *State) fromPeer(effect peer.Effect) {
	switch effect := effect.(type) {
	case peer.Store:
		s.emit(Store{PeerComponent, effect.Request()})
	case peer.Adopt:
		s.adopt(effect.Document())
	case peer.LearnFact:
		s.learn(effect)
	case peer.ApplyProbeResult:
		s.sight(effect.Result())
	case peer.Members:
		s.emit(PeerEffect{effect})
		s.toCaller(caller.NewPeersChanged(callerPeers(effect.Members())))
		s.toService(service.NewPeersChanged(s.identity.name, memberNames(effect.Members())...))
	case peer.Send, peer.Probe, peer.ResetLinks:
		s.emit(PeerEffect{effect})
	}
}

// adopt hands a document that is in force to the part that it is about.
func (s *State) adopt(d peer.Document) {
	if d.Name() == operator.DocumentName {
		s.toOperator(operator.NewConfigReceived(d.Data()))
		return
	}
	if d.Name() == listDocument {
		s.adoptList(d)
		return
	}
	if len(d.Name()) > len(recordPrefix) && d.Name()[:len(recordPrefix)] == recordPrefix {
		s.toInstance(instance.NewRecordReceived(d.Name()[len(recordPrefix):], d.Revision(), d.Data()))
	}
}

// learn hands a soft fact to the part that it is about; what cannot be read is passed over.
func (s *State) learn(effect peer.LearnFact) {
	switch effect.Topic() {
	case usageTopic:
		if shared, err := decodeShare(effect); err == nil {
			s.toCaller(shared)
		}
	case suspicionTopic:
		if suspected, err := decodeSuspicion(effect); err == nil {
			s.toEngine(suspected)
		}
	}
}

func (s *State) sight(sighting instance.ProbeResult) {
	if s.processes.sight(sighting) {
		s.refreshProcesses()
		return
	}
	s.replicas.sight(sighting)
	s.toInstance(instance.NewProbed(sighting))
}

func memberNames(members []peer.Member) []string {
	var names []string
	for _, m := range members {
		names = append(names, m.Name())
	}
	return names
}

func callerPeers(members []peer.Member) []caller.Peer {
	var peers []caller.Peer
	for _, m := range members {
		peers = append(peers, caller.NewPeer(m.Name(), m.CallerAddress(), m.Centre(), m.Leaving(), 0))
	}
	return peers
}

func (s *State) toOperator(e operator.Event) {
	isFirst := s.operator.Fleet().Revision() == 0
	for _, effect := range s.operator.Reduce(s.now, s, e) {
		s.fromOperator(effect, isFirst)
	}
}

// fromOperator carries on what operators want; isFirst says that no configuration was in force here before.
func (s *State) fromOperator(effect operator.Effect, isFirst bool) {
	switch effect := effect.(type) {
	case operator.Store:
		s.emit(Store{OperatorComponent, effect.Request()})
	case operator.Publish:
		s.reconfigure()
		s.toPeer(peer.NewDocumentPublished(
			peer.NewDocument(operator.DocumentName, uint64(effect.Revision()), effect.Document())))
	case operator.ExecuteAction:
		s.plan(effect.Action(), isFirst)
	case operator.Answer:
		s.emit(OperatorEffect{effect})
	}
}

// plan carries a planned action to the parts that it concerns.
func (s *State) plan(action operator.Action, isFirst bool) {
	undo := action.Verb() == operator.VerbUndrain
	switch action.Kind() {
	case operator.KindReplica:
		replica := instance.ReplicaID(action.Target())
		if action.Verb() == operator.VerbStop {
			s.toInstance(instance.NewReplicaStopRequested(replica))
		} else {
			s.toInstance(instance.NewReplicaDrainRequested(replica, undo))
		}
		s.toEngine(engine.NewDrainChanged(replica, !undo))
	case operator.KindInstance:
		s.toInstance(instance.NewInstanceDrainRequested(instance.ID(action.Target()), undo))
	case operator.KindEntry:
		s.planEntry(action, isFirst)
	case operator.KindUpstream:
		s.processes.drain(action.Target(), !undo)
		s.refreshProcesses()
	}
}

// planEntry carries out an action on a daemon; a stop that was planned before this start is done with already.
func (s *State) planEntry(action operator.Action, isFirst bool) {
	if action.Target() != s.identity.name || isFirst && action.Verb() == operator.VerbStop {
		return
	}
	switch action.Verb() {
	case operator.VerbStop:
		s.stop()
	case operator.VerbDrain:
		s.leave()
	case operator.VerbUndrain:
		s.resume()
	}
}

// withoutHistory returns the result of a read of the configuration's object with what peers spread of it.
func withoutHistory(result object.Result) object.Result {
	found, isFound := result.(object.Found)
	if !isFound {
		return result
	}
	fleet, err := operator.ParseFleet(found.Data())
	if err != nil {
		return result
	}
	return object.NewFound(found.Ref(), found.Version(), fleet.JSON())
}
