package gateway

import (
	"slices"
	"time"

	"github.com/azurepond/azurepond/pkg/dispatch"
	"github.com/azurepond/azurepond/pkg/object"
	"github.com/azurepond/azurepond/pkg/peer"
	"github.com/azurepond/azurepond/pkg/relay"
	"github.com/azurepond/azurepond/pkg/replica"
)

func (s *State) reducePeer(now time.Time, e peer.Event) {
	switch e := e.(type) {
	case peer.Received:
		s.members.recordReceived(now, e.From())
	case peer.LinkClosed:
		if now.Sub(s.members.resumedAt) >= linkResetTime {
			s.members.disconnected[e.Name()] = true
		}
	}
	for _, effect := range s.peer.Reduce(now, e) {
		s.handlePeerEffect(now, effect)
	}
}

func (s *State) handlePeerEffect(now time.Time, effect peer.Effect) {
	switch effect := effect.(type) {
	case peer.Store:
		if watch, isWatch := effect.Request().(object.Watch); isWatch {
			s.configWatch = storeWatch{ref: watch.Ref()}
		}
		s.emit(Store{PeerComponent, effect.Request()})
	case peer.Adopt:
		if effect.Document().Name() == configDocument {
			s.emit(DecodeConfig{effect.Document(), effect.Source(), effect.StoreAge()})
			s.pushConfig(now)
		}
	case peer.LearnFact:
		s.receiveFact(now, effect)
	case peer.DeliverDirectMessage:
		s.receiveMessage(now, effect)
	case peer.Members:
		s.members.live = effect.Members()
		slices.SortFunc(s.members.live, compareRank)
	case peer.ResetLinks:
		s.resume(now)
		s.emit(PeerEffect{effect})
	case peer.StopWatches:
		s.configWatch = storeWatch{}
		s.emit(PeerEffect{effect})
	case peer.Send:
		s.emit(PeerEffect{effect})
	}
}

// receiveMessage handles a message that a peer sent to this daemon only.
func (s *State) receiveMessage(now time.Time, message peer.DeliverDirectMessage) {
	switch message.Topic() {
	case listTopic:
		s.receiveListMessage(now, message)
	case suspicionTopic, findingTopic:
		s.receiveWatchMessage(now, message.Topic(), message.From(), message.Data())
	case demandTopic:
		s.receiveDemand(now, message)
	case slotRequestTopic, slotReplyTopic, usageTopic, crashTopic, limitTopic:
		s.receiveSlotMessage(now, message)
	case partCrashTopic, partAnsweredTopic, partsAskedTopic, partMarkTopic:
		s.receivePartMessage(now, message.Topic(), message.From(), message.Data())
	}
}

// receiveFact handles a fact that a peer shares with all daemons until it expires.
func (s *State) receiveFact(now time.Time, fact peer.LearnFact) {
	switch fact.Topic() {
	case outageTopic:
		delete(s.members.outages, fact.Origin())
		if len(fact.Value()) > 0 {
			s.members.outages[fact.Origin()] = decodeOutage(fact.Value(), fact.Expiry())
		}
		s.members.refreshedAt = time.Time{}
	case deadTopic:
		s.receiveVerdict(now, fact.Origin(), replica.ID(fact.Key()))
	case aliveTopic:
		s.reduceReplica(now, replica.NewAnsweredAgain(replica.ID(fact.Key())))
	case crashTopic:
		s.receivePoison(now, fact)
	case partMarkTopic:
		s.receivePartFact(now, fact)
	case leavingTopic:
		s.receiveLeaving(now, fact)
	case limitTopic:
		s.receiveLimit(now, fact)
	}
}

func (s *State) reduceReplica(now time.Time, e replica.Event) {
	for _, effect := range s.replica.Reduce(now, e) {
		s.handleReplicaEffect(now, effect)
	}
}

func (s *State) handleReplicaEffect(now time.Time, effect replica.Effect) {
	switch effect := effect.(type) {
	case replica.Store:
		s.emit(Store{ReplicaComponent, effect.Request()})
	case replica.AnnounceDead:
		s.announceDeath(now, effect.ID())
		s.watchedDead(now, effect.ID())
	case replica.HeadsChanged:
		s.centresByUpstream = nil
		s.reduceDispatch(now, dispatch.NewTicked())
	case replica.InstanceSilent:
		s.watchedSilent(now, effect.ID())
		if head, isMember := s.replica.HeadOf(effect.ID()); isMember {
			s.reduceDispatch(now, dispatch.NewReplicaSilent(string(head)))
		}
	case replica.Order:
		s.emit(SendOrder{effect, s.wayOfOrder(now, effect.ID())})
	case replica.Probe:
		s.emit(SendProbe{effect, s.wayOfProbe(now, effect)})
	case replica.LogEntry, replica.Counts:
		s.emit(ReplicaEffect{effect})
	}
}

// announceDeath reports to all peers that an instance does not answer, and fails the requests at its replica.
func (s *State) announceDeath(now time.Time, id replica.ID) {
	s.reducePeer(now, peer.NewFactShared(deadTopic, string(id), []byte{1}, now.Add(deadFactTTL)))
	s.breakReplica(now, id)
}

// breakReplica fails the requests at the replica of an instance.
func (s *State) breakReplica(now time.Time, id replica.ID) {
	if head, isMember := s.replica.HeadOf(id); isMember {
		s.reduceDispatch(now, dispatch.NewReplicaBroken(string(head)))
	}
}

func (s *State) reduceDispatch(now time.Time, e dispatch.Event) {
	for _, effect := range s.dispatch.Reduce(now, s, e) {
		s.handleDispatchEffect(now, effect)
	}
}

func (s *State) handleDispatchEffect(now time.Time, effect dispatch.Effect) {
	if s.sendSlotMessage(now, effect) || s.sendPartMessage(now, effect) {
		return
	}
	switch effect := effect.(type) {
	case dispatch.PauseProbes:
		s.reduceReplica(now, replica.NewProbesPaused(replica.ID(effect.Upstream()), effect.Until()))
	case dispatch.ShareLimit:
		s.shareLimit(now, effect)
	case dispatch.CheckPath:
		s.reduceRelay(now, relay.NewSuspected(effect.Upstream()))
	case dispatch.Suspect:
		s.reduceRelay(now, relay.NewSuspected(effect.Upstream()))
		s.suspect(now, replica.ID(effect.Upstream()))
	default:
		s.emit(DispatchEffect{effect})
	}
}
