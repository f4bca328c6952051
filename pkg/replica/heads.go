package replica

import "slices"

// Head is the member with rank 0 of a replica, which receives its calls.
type Head struct {
	id          ID
	address     string
	centre      string
	replica     string
	epoch       uint64
	model       string
	crossDomain bool
}

// ID returns the instance of the head.
func (h Head) ID() ID { return h.id }

// Address returns where the head listens, as host:port.
func (h Head) Address() string { return h.address }

// Centre returns the data centre of the head.
func (h Head) Centre() string { return h.centre }

// Replica returns the name of the replica.
func (h Head) Replica() string { return h.replica }

// CrossDomain reports whether the members belong to several fabric domains.
func (h Head) CrossDomain() bool { return h.crossDomain }

// Model returns the model that the replica serves.
func (h Head) Model() string { return h.model }

// Heads returns the heads of all complete, open replicas of model.
func (s *State) Heads(model string) []Head { return s.heads[model] }

// Members returns the instances that report membership in the replica of the head called id.
func (s *State) Members(id ID) []ID {
	head := s.nodes[id]
	if head == nil || head.membership.phase == PhaseNone {
		return nil
	}
	var members []ID
	for _, other := range s.ids() {
		if s.nodes[other].membership.isIn(head.membership.replica, head.membership.epoch) {
			members = append(members, other)
		}
	}
	return members
}

// updateHeads determines which replicas are complete and open. A replica is complete if each member is listed, alive, not
// silent, not leaving, not in a closed data centre, and reports membership in the same epoch of the replica.
func (s *State) updateHeads() {
	available := map[replicaEpoch]*availableMembers{}
	var candidates []*node
	for _, id := range s.ids() {
		n := s.nodes[id]
		if !n.isAlive() || n.isSilent() || n.leaving || s.isInClosedCentre(n) ||
			n.membership.phase != PhaseReady && n.membership.phase != PhaseOpen {
			continue
		}
		key := n.membership.replicaEpoch()
		members := available[key]
		if members == nil {
			members = &availableMembers{domain: n.domain}
			available[key] = members
		}
		members.add(n)
		if n.membership.phase == PhaseOpen && n.membership.rank == 0 {
			candidates = append(candidates, n)
		}
	}
	heads := map[string][]Head{}
	for _, n := range candidates {
		model, isKnown := s.engine.Model(n.loadedModel)
		members := available[n.membership.replicaEpoch()]
		if !isKnown || len(members.ranks) != model.ReplicaSize() {
			continue
		}
		heads[n.loadedModel] = append(heads[n.loadedModel],
			Head{
				n.id, n.address, n.centre, n.membership.replica, n.membership.epoch, n.loadedModel, members.crossDomain,
			})
	}
	if !sameHeads(s.heads, heads) {
		s.heads = heads
		s.emit(HeadsChanged{})
	}
}

// availableMembers are the members of a replica that are alive, not leaving, and ready or open.
type availableMembers struct {
	ranks       []int // distinct
	domain      string
	crossDomain bool
}

func (m *availableMembers) add(n *node) {
	m.crossDomain = m.crossDomain || m.domain != n.domain
	if !slices.Contains(m.ranks, n.membership.rank) {
		m.ranks = append(m.ranks, n.membership.rank)
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

// HeadOf returns the head of the replica in which an instance reports membership.
func (s *State) HeadOf(id ID) (ID, bool) {
	n := s.nodes[id]
	if n == nil || n.membership.phase == PhaseNone {
		return "", false
	}
	if head := s.headOf(n.membership); head != nil {
		return head.id, true
	}
	return "", false
}
