package instance

import (
	"sort"
	"time"
)

// ServingReplica is a replica that may get work now.
type ServingReplica struct {
	replica    ReplicaID
	model      string
	lead       ID
	address    string
	dataCentre string
	members    []ID
}

// Replica returns the name of the replica.
func (s ServingReplica) Replica() ReplicaID { return s.replica }

// Model returns the model that the replica serves.
func (s ServingReplica) Model() string { return s.model }

// Lead returns the member of rank 0, which takes the work.
func (s ServingReplica) Lead() ID { return s.lead }

// Address returns the address of the lead as host:port.
func (s ServingReplica) Address() string { return s.address }

// DataCentre returns the data centre of the lead.
func (s ServingReplica) DataCentre() string { return s.dataCentre }

// Members returns the members in the order of their ranks.
func (s ServingReplica) Members() []ID { return s.members }

// Available reports whether the replica may get work at now, and why not.
func (s *State) Available(replica ReplicaID, now time.Time) (bool, Reason) {
	g := s.groups[replica]
	if g == nil {
		return false, Reason{cause: Unrecorded}
	}
	reason := s.judge(g, now)
	return reason.cause == None, reason
}

// ServingReplicas returns the replicas of model that may get work at now, in the order of their names.
func (s *State) ServingReplicas(model string, now time.Time) []ServingReplica {
	var serving []ServingReplica
	for _, p := range s.pools {
		for _, g := range p.groups {
			if g.entry.model == model && s.judge(g, now).cause == None {
				serving = append(serving, s.serving(g))
			}
		}
	}
	sort.Slice(serving, func(i, j int) bool { return serving[i].replica < serving[j].replica })
	return serving
}

func (s *State) serving(g *group) ServingReplica {
	members := make([]ID, len(g.entry.slots))
	for rank, slot := range g.entry.slots {
		members[rank] = slot.id
	}
	row := s.nodes[members[0]].row
	return ServingReplica{g.entry.replica, g.entry.model, members[0], row.address, row.dataCentre, members}
}

// Record returns the record of pool as JSON and its revision, 0 and nil if none is known.
func (s *State) Record(pool string) (revision uint64, data []byte) {
	p := s.pool(pool)
	if p == nil {
		return 0, nil
	}
	return uint64(p.record.fence), p.data
}
