package gateway

import (
	"time"

	"github.com/azurepond/azurepond/pkg/dispatch"
	"github.com/azurepond/azurepond/pkg/peer"
	"github.com/azurepond/azurepond/pkg/replica"
)

func (s *State) toPeer(now time.Time, e peer.Event) {
	switch e := e.(type) {
	case peer.Received:
		delete(s.members.cut, e.From())
	case peer.Closed:
		s.members.cut[e.Name()] = true
	}
	for _, effect := range s.peer.Reduce(now, e) {
		s.fromPeer(now, effect)
	}
}

func (s *State) fromPeer(now time.Time, effect peer.Effect) {
	switch effect := effect.(type) {
	case peer.Store:
		s.emit(Store{PeerComponent, effect.Request()})
	case peer.Adopt:
		if effect.Document().Name() == configDocument {
			s.emit(DecodeConfig{effect.Document()})
			s.pushConfig(now)
		}
	case peer.Learn:
		s.learn(now, effect)
	case peer.Told:
		s.told(now, effect)
	case peer.Members:
		s.members.live = effect.Members()
	case peer.Send, peer.Reset, peer.Unwatch:
		s.emit(PeerEffect{effect})
	}
}

// told takes in what a peer tells this daemon alone.
func (s *State) told(now time.Time, effect peer.Told) {
	switch effect.Topic() {
	case listTopic:
		s.takeLetter(now, effect)
	case demandTopic:
		s.takeDemand(now, effect)
	case wishTopic, placeTopic, claimTopic, crashTopic:
		s.hearOfPlaces(now, effect)
	}
}

// learn takes in a soft fact of a peer.
func (s *State) learn(now time.Time, fact peer.Learn) {
	switch fact.Topic() {
	case outageTopic:
		delete(s.members.outage, fact.Origin())
		if len(fact.Value()) > 0 {
			s.members.outage[fact.Origin()] = outage{fact.Value()[0], fact.Expiry()}
		}
		s.members.checked = time.Time{}
	case deadTopic:
		s.hearDeath(now, fact)
	case crashTopic:
		s.hearVerdict(now, fact)
	}
}

// hearDeath takes the leader's word for the death of an instance, and looks at it on the word of others.
func (s *State) hearDeath(now time.Time, fact peer.Learn) {
	id := replica.ID(fact.Key())
	if fact.Origin() != s.members.leader {
		s.toReplica(now, replica.NewSuspected(id))
		return
	}
	s.toReplica(now, replica.NewDeclaredDead(id))
	s.breakReplica(now, id)
}

func (s *State) toReplica(now time.Time, e replica.Event) {
	for _, effect := range s.replica.Reduce(now, e) {
		s.fromReplica(now, effect)
	}
}

func (s *State) fromReplica(now time.Time, effect replica.Effect) {
	switch effect := effect.(type) {
	case replica.Store:
		s.emit(Store{ReplicaComponent, effect.Request()})
	case replica.AnnounceDead:
		s.spreadDeath(now, effect.ID())
	case replica.HeadsChanged:
		s.toDispatch(now, dispatch.NewTicked())
	case replica.Order, replica.Probe, replica.LogEntry, replica.Counts:
		s.emit(ReplicaEffect{effect})
	}
}

// spreadDeath tells peers and the requests at its replica that an instance does not answer.
func (s *State) spreadDeath(now time.Time, id replica.ID) {
	s.toPeer(now, peer.NewShared(deadTopic, string(id), []byte{1}, now.Add(deadFact)))
	s.breakReplica(now, id)
}

// breakReplica ends the work at the replica of an instance.
func (s *State) breakReplica(now time.Time, id replica.ID) {
	if head, isMember := s.replica.HeadOf(id); isMember {
		s.toDispatch(now, dispatch.NewReplicaBroken(string(head)))
	}
}

func (s *State) toDispatch(now time.Time, e dispatch.Event) {
	for _, effect := range s.dispatch.Reduce(now, s, e) {
		s.fromDispatch(now, effect)
	}
}

func (s *State) fromDispatch(now time.Time, effect dispatch.Effect) {
	if s.tellOfPlaces(now, effect) {
		return
	}
	suspect, isSuspect := effect.(dispatch.Suspect)
	if !isSuspect {
		s.emit(DispatchEffect{effect})
		return
	}
	id := replica.ID(suspect.Upstream())
	members := s.replica.Members(id)
	if len(members) == 0 {
		members = []replica.ID{id}
	}
	for _, member := range members {
		s.toReplica(now, replica.NewSuspected(member))
	}
}
