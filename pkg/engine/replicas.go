package engine

import (
	"time"

	"github.com/azurepond/azurepond/pkg/instance"
)

// Replicas gives access to the replicas that are whole now.
type Replicas interface {
	// Len returns how many replicas of model take new calls.
	Len(model string) int
	// At returns one of them; i runs from 0 to Len(model)-1 in an order that is stable while the replicas are.
	At(model string, i int) Upstream
	// Find returns a replica that is whole, also while it drains; false means that calls on it are lost.
	Find(replica instance.ReplicaID) (Upstream, bool)
}

// Upstream is a replica as calls see it.
type Upstream struct {
	replica    instance.ReplicaID
	address    string
	dataCentre string
	load       instance.Load
	reported   time.Time
}

// NewUpstream returns a replica in dataCentre whose first instance takes calls at address.
func NewUpstream(replica instance.ReplicaID, address, dataCentre string) Upstream {
	return Upstream{replica: replica, address: address, dataCentre: dataCentre}
}

// WithLoad returns the replica with the load that it reported at a time of the local clock.
func (u Upstream) WithLoad(load instance.Load, reported time.Time) Upstream {
	u.load, u.reported = load, reported
	return u
}

// Replica returns the name of the replica.
func (u Upstream) Replica() instance.ReplicaID { return u.replica }

// Address returns where the replica takes calls.
func (u Upstream) Address() string { return u.address }

// DataCentre returns where the replica is.
func (u Upstream) DataCentre() string { return u.dataCentre }

// Load returns the load that the replica last reported.
func (u Upstream) Load() instance.Load { return u.load }

// Reported returns when the load was reported, by the local clock.
func (u Upstream) Reported() time.Time { return u.reported }
