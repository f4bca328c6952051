package engine

import (
	"time"

	"github.com/azurepond/azurepond/pkg/instance"
)

// Replicas provides the replicas that are available now.
type Replicas interface {
	// Len returns the number of replicas of model that accept new calls.
	Len(model string) int
	// At returns one of these replicas, with i from 0 to Len(model)-1. The order is stable while the set is unchanged.
	At(model string, i int) Upstream
	// Find returns a replica that is available or draining. If it returns false, the calls on that replica are lost.
	Find(replica instance.ReplicaID) (Upstream, bool)
}

// Upstream is a replica as a target of calls, with the load that it last reported.
type Upstream struct {
	replica    instance.ReplicaID
	address    string
	dataCentre string
	load       instance.Load
	reported   time.Time
}

// NewUpstream returns a replica in dataCentre whose first instance accepts calls at address.
func NewUpstream(replica instance.ReplicaID, address, dataCentre string) Upstream {
	return Upstream{replica: replica, address: address, dataCentre: dataCentre}
}

// WithLoad returns the replica with its load and the time of the report by the local clock.
func (u Upstream) WithLoad(load instance.Load, reported time.Time) Upstream {
	u.load, u.reported = load, reported
	return u
}

// Replica returns the name of the replica.
func (u Upstream) Replica() instance.ReplicaID { return u.replica }

// Address returns the address at which the replica accepts calls.
func (u Upstream) Address() string { return u.address }

// DataCentre returns the data centre of the replica.
func (u Upstream) DataCentre() string { return u.dataCentre }

// Load returns the load that the replica last reported.
func (u Upstream) Load() instance.Load { return u.load }

// Reported returns when the load was reported, by the local clock.
func (u Upstream) Reported() time.Time { return u.reported }
