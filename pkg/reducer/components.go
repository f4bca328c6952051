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

// recordDocumentPrefix precedes the name of a pool in the name of the document that holds its record.
const recordDocumentPrefix = "pool/"

func (s *State) reduceCaller(e caller.Event) {
	for _, effect := range s.caller.Reduce(s.now, e) {
		s.handleCallerEffect(effect)
	}
}

func (s *State) handleCallerEffect(effect caller.Effect) {
	switch effect := effect.(type) {
	case caller.Dispatch:
		s.dispatch(effect.Call())
	case caller.Cancel:
		s.reduceEngine(engine.NewCancelled(effect.ID()))
		s.reduceService(service.NewCancelled(effect.ID()))
	case caller.ReportUsage:
		s.reducePeer(usageFact(s.now, effect))
	case caller.EndCalls:
		s.emit(EndCalls{})
	case caller.CompleteStop:
		if s.stopping {
			s.emit(Stopped{})
		}
	case caller.Reject:
		s.emit(CallerEffect{effect})
	}
}

// dispatch passes an admitted call to the component that runs calls of its kind.
func (s *State) dispatch(call caller.Call) {
	switch call.Kind() {
	case caller.Model:
		s.reduceEngine(engine.NewSubmitted(call))
	case caller.Service:
		s.reduceService(service.NewSubmitted(call))
	}
}

func (s *State) reduceEngine(e engine.Event) {
	for _, effect := range s.engine.Reduce(s.now, &s.replicas, e) {
		s.handleEngineEffect(effect)
	}
}

func (s *State) handleEngineEffect(effect engine.Effect) {
	switch effect := effect.(type) {
	case engine.Send:
		s.send(effect)
	case engine.Finish:
		s.emit(EngineEffect{effect})
		s.reduceCaller(caller.NewFinished(effect.ID(), effect.Outcome()))
	case engine.PublishSuspicion:
		s.reducePeer(suspicionFact(s.now, effect.Suspicion()))
	case engine.Cancel, engine.ReadCacheEvents, engine.ResyncCache:
		s.emit(EngineEffect{effect})
	}
}

// send sends an attempt only if its replica is available now; otherwise the attempt fails as not sent.
func (s *State) send(effect engine.Send) {
	if isAvailable, _ := s.instance.Available(effect.Replica(), s.now); isAvailable {
		s.emit(EngineEffect{effect})
		return
	}
	s.replicas.refresh(s.now, &s.instance, s.models)
	s.reduceEngine(engine.NewFailed(effect.Attempt(), engine.NotSent, effect.TokenOffset()))
}

func (s *State) reduceService(e service.Event) {
	for _, effect := range s.service.Reduce(s.now, e) {
		s.handleServiceEffect(effect)
	}
}

func (s *State) handleServiceEffect(effect service.Effect) {
	switch effect := effect.(type) {
	case service.Store:
		s.emit(Store{ServiceComponent, effect.Request()})
	case service.Finish:
		s.emit(ServiceEffect{effect})
		s.reduceCaller(caller.NewFinished(effect.ID(), effect.Outcome()))
	case service.Replay:
		s.emit(ServiceEffect{effect})
		s.reduceCaller(caller.NewFinished(effect.ID(), caller.Answered{}))
	case service.Send, service.Cancel:
		s.emit(ServiceEffect{effect})
	}
}

func (s *State) reduceInstance(e instance.Event) {
	for _, effect := range s.instance.Reduce(s.now, e) {
		s.handleInstanceEffect(effect)
	}
}

func (s *State) handleInstanceEffect(effect instance.Effect) {
	switch effect := effect.(type) {
	case instance.Store:
		s.emit(Store{InstanceComponent, effect.Request()})
	case instance.Publish:
		s.reducePeer(peer.NewDocumentPublished(
			peer.NewDocument(recordDocumentPrefix+effect.Pool(), effect.Revision(), effect.Data())))
	case instance.AvailabilityChanged:
		s.emit(InstanceEffect{effect})
		s.refreshReplicas()
	case instance.Order:
		s.emit(InstanceEffect{effect})
	}
}

func (s *State) reducePeer(e peer.Event) {
	for _, effect := range s.peer.Reduce(s.now, e) {
		s.handlePeerEffect(effect)
	}
}

func (s *State) handlePeerEffect(effect peer.Effect) {
	switch effect := effect.(type) {
	case peer.Store:
		s.emit(Store{PeerComponent, effect.Request()})
	case peer.Adopt:
		s.receiveDocument(effect.Document())
	case peer.LearnFact:
		s.receiveFact(effect)
	case peer.ApplyProbeResult:
		s.applyProbeResult(effect.Result())
	case peer.Members:
		s.emit(PeerEffect{effect})
		s.reduceCaller(caller.NewPeersChanged(callerPeers(effect.Members())))
		s.reduceService(service.NewPeersChanged(s.settings.name, memberNames(effect.Members())...))
	case peer.Send, peer.Probe, peer.ResetLinks:
		s.emit(PeerEffect{effect})
	}
}

// receiveDocument passes the newest version of a document to its component.
func (s *State) receiveDocument(d peer.Document) {
	if d.Name() == operator.DocumentName {
		s.reduceOperator(operator.NewConfigReceived(d.Data()))
		return
	}
	if d.Name() == listDocument {
		s.applyList(d)
		return
	}
	if len(d.Name()) > len(recordDocumentPrefix) && d.Name()[:len(recordDocumentPrefix)] == recordDocumentPrefix {
		s.reduceInstance(instance.NewRecordReceived(d.Name()[len(recordDocumentPrefix):], d.Revision(), d.Data()))
	}
}

// receiveFact passes a fact to its component and ignores one that can't be decoded.
func (s *State) receiveFact(effect peer.LearnFact) {
	switch effect.Topic() {
	case usageTopic:
		if reported, err := decodeUsage(effect); err == nil {
			s.reduceCaller(reported)
		}
	case suspicionTopic:
		if received, err := decodeSuspicion(effect); err == nil {
			s.reduceEngine(received)
		}
	}
}

func (s *State) applyProbeResult(result instance.ProbeResult) {
	if s.upstreams.recordProbe(result) {
		s.refreshServiceUpstreams()
		return
	}
	s.replicas.recordLoad(result)
	s.reduceInstance(instance.NewProbed(result))
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

func (s *State) reduceOperator(e operator.Event) {
	isFirstConfig := s.operator.Fleet().Revision() == 0
	for _, effect := range s.operator.Reduce(s.now, s, e) {
		s.handleOperatorEffect(effect, isFirstConfig)
	}
}

// handleOperatorEffect handles an effect of pkg/operator. isFirstConfig tells whether this daemon had no configuration
// before.
func (s *State) handleOperatorEffect(effect operator.Effect, isFirstConfig bool) {
	switch effect := effect.(type) {
	case operator.Store:
		s.emit(Store{OperatorComponent, effect.Request()})
	case operator.Publish:
		s.reconfigure()
		s.reducePeer(peer.NewDocumentPublished(
			peer.NewDocument(operator.DocumentName, uint64(effect.Revision()), effect.Document())))
	case operator.ExecuteAction:
		s.executeAction(effect.Action(), isFirstConfig)
	case operator.Answer:
		s.emit(OperatorEffect{effect})
	}
}

// executeAction passes a planned action to the components that it concerns.
func (s *State) executeAction(action operator.Action, isFirstConfig bool) {
	undo := action.Verb() == operator.VerbUndrain
	switch action.Kind() {
	case operator.KindReplica:
		replica := instance.ReplicaID(action.Target())
		if action.Verb() == operator.VerbStop {
			s.reduceInstance(instance.NewReplicaStopRequested(replica))
		} else {
			s.reduceInstance(instance.NewReplicaDrainRequested(replica, undo))
		}
		s.reduceEngine(engine.NewDrainChanged(replica, !undo))
	case operator.KindInstance:
		s.reduceInstance(instance.NewInstanceDrainRequested(instance.ID(action.Target()), undo))
	case operator.KindEntry:
		s.executeDaemonAction(action, isFirstConfig)
	case operator.KindUpstream:
		s.upstreams.setDrained(action.Target(), !undo)
		s.refreshServiceUpstreams()
	}
}

// executeDaemonAction executes an action on this daemon. It ignores a stop from the first configuration after the start,
// since that stop was planned before the start and is complete.
func (s *State) executeDaemonAction(action operator.Action, isFirstConfig bool) {
	if action.Target() != s.settings.name || isFirstConfig && action.Verb() == operator.VerbStop {
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

// withoutHistory removes the history from a configuration that was read, since peers don't exchange it.
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
