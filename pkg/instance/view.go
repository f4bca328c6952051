package instance

import (
	"sort"
	"time"
)

// ServingReplica is a replica that may receive requests.
type ServingReplica struct {
	replica    ReplicaID
	model      string
	lead       ID
	address    string
	dataCentre string
	members    []ID
}

// Replica returns the ID of the replica.
func (s ServingReplica) Replica() ReplicaID { return s.replica }

// Model returns the model that the replica serves.
func (s ServingReplica) Model() string { return s.model }

// Lead returns the member of rank 0, which receives the requests.
func (s ServingReplica) Lead() ID { return s.lead }

// Address returns the address of the lead as host:port.
func (s ServingReplica) Address() string { return s.address }

// DataCentre returns the data centre of the lead.
func (s ServingReplica) DataCentre() string { return s.dataCentre }

// Members returns the members in rank order.
func (s ServingReplica) Members() []ID { return s.members }

// Available reports whether the replica may receive requests at now, and the reason if it may not.
func (s *State) Available(replica ReplicaID, now time.Time) (bool, Reason) {
	rs := s.replicas[replica]
	if rs == nil {
		return false, Reason{cause: CauseUnrecorded}
	}
	reason := s.evaluate(rs, now)
	return reason.cause == CauseNone, reason
}

// ServingReplicas returns the replicas of model that may receive requests at now, sorted by ID.
func (s *State) ServingReplicas(model string, now time.Time) []ServingReplica {
	var serving []ServingReplica
	for _, p := range s.pools {
		for _, rs := range p.replicas {
			if rs.entry.model == model && s.evaluate(rs, now).cause == CauseNone {
				serving = append(serving, s.serving(rs))
			}
		}
	}
	sort.Slice(serving, func(i, j int) bool { return serving[i].replica < serving[j].replica })
	return serving
}

func (s *State) serving(rs *replicaState) ServingReplica {
	members := make([]ID, len(rs.entry.slots))
	for rank, slot := range rs.entry.slots {
		members[rank] = slot.id
	}
	listing := s.nodes[members[0]].listing
	return ServingReplica{rs.entry.replica, rs.entry.model, members[0], listing.address, listing.dataCentre, members}
}

// Record returns the revision and the JSON of the record of pool, or 0 and nil if none is known.
func (s *State) Record(pool string) (revision uint64, data []byte) {
	p := s.pool(pool)
	if p == nil {
		return 0, nil
	}
	return uint64(p.record.revision), p.recordData
}
