package replica

import "slices"

// Head is where calls of a replica go.
type Head struct {
	id          ID
	address     string
	centre      string
	replica     string
	epoch       uint64
	model       string
	crossDomain bool
}

// ID returns the instance that leads the replica.
func (h Head) ID() ID { return h.id }

// Address returns where the head listens, as host:port.
func (h Head) Address() string { return h.address }

// Centre returns the data centre of the head.
func (h Head) Centre() string { return h.centre }

// Replica returns the name of the replica.
func (h Head) Replica() string { return h.replica }

// CrossDomain reports whether the members lie in several fabric domains.
func (h Head) CrossDomain() bool { return h.crossDomain }

// Model returns the model that the replica serves.
func (h Head) Model() string { return h.model }

// Heads returns the heads of all whole open replicas of model.
func (s *State) Heads(model string) []Head { return s.heads[model] }

// Members returns the instances that say that they belong to the replica of the head called id.
func (s *State) Members(id ID) []ID {
	head := s.nodes[id]
	if head == nil || head.member.phase == PhaseNone {
		return nil
	}
	var members []ID
	for _, other := range s.ids() {
		if s.nodes[other].member.isIn(head.member.replica, head.member.epoch) {
			members = append(members, other)
		}
	}
	return members
}

// judge finds out which replicas are whole: each member is listed, alive, not leaving and says that it belongs to the
// replica as it was formed last.
func (s *State) updateHeads() {
	ranks, domains := map[replicaEpoch]map[int]bool{}, map[replicaEpoch]string{}
	far := map[replicaEpoch]bool{}
	for _, n := range s.nodes {
		if !n.isAlive() || n.leaving || n.member.phase != PhaseReady && n.member.phase != PhaseOpen {
			continue
		}
		f := n.member.replicaEpoch()
		if ranks[f] == nil {
			ranks[f], domains[f] = map[int]bool{}, n.domain
		}
		far[f] = far[f] || domains[f] != n.domain
		ranks[f][n.member.rank] = true
	}
	heads := map[string][]Head{}
	for _, id := range s.ids() {
		n := s.nodes[id]
		if !n.isAlive() || n.leaving || n.member.phase != PhaseOpen || n.member.rank != 0 {
			continue
		}
		model, isKnown := s.engine.Model(n.loadedModel)
		if !isKnown || len(ranks[n.member.replicaEpoch()]) != model.ReplicaSize() {
			continue
		}
		heads[n.loadedModel] = append(heads[n.loadedModel],
			Head{id, n.address, n.centre, n.member.replica, n.member.epoch, n.loadedModel, far[n.member.replicaEpoch()]})
	}
	if !sameHeads(s.heads, heads) {
		s.heads = heads
		s.emit(HeadsChanged{})
	}
}

func sameHeads(a, b map[string][]Head) bool {
	if len(a) != len(b) {
		return false
	}
	for model, heads := range a {
		if !slices.Equal(heads, b[model]) {
			return false
		}
	}
	return true
}

// HeadOf returns the head of the replica that an instance says that it belongs to.
func (s *State) HeadOf(id ID) (ID, bool) {
	n := s.nodes[id]
	if n == nil || n.member.phase == PhaseNone {
		return "", false
	}
	if head := s.headOf(n.member); head != nil {
		return head.id, true
	}
	return "", false
}
