package instance

import (
	"time"

	"github.com/azurepond/azurepond/pkg/object"
)

// Effect is something that the driver has to carry out: Store, Order, Publish or AvailabilityChanged.
type Effect interface{ isEffect() }

// Store is a request to the object API.
type Store struct{ request object.Request }

// Request returns the request to make.
func (s Store) Request() object.Request { return s.request }

// Order assigns an instance to a rank of a replica or releases it. The driver reports the reply with an OrderAnswered
// event.
type Order struct {
	id         ID
	address    string
	assignment Assignment
	model      string
	rank       int
	members    []string
	deadline   time.Time
}

// ID returns the instance that receives the order.
func (o Order) ID() ID { return o.id }

// Address returns the address (host:port) of the instance's engine.
func (o Order) Address() string { return o.address }

// Assignment returns the replica and the fencing token. The token is set also if the order is a release.
func (o Order) Assignment() Assignment { return o.assignment }

// IsRelease reports whether the instance must leave its replica and become idle.
func (o Order) IsRelease() bool { return o.assignment.replica == "" }

// Model returns the model to load, empty for a release.
func (o Order) Model() string { return o.model }

// Rank returns the rank in the replica, from 0.
func (o Order) Rank() int { return o.rank }

// Members returns the addresses of all members in rank order. An engine that already runs the same model, replica and
// rank keeps its loaded weights and only joins these members.
func (o Order) Members() []string { return o.members }

// Deadline returns the time after which the order must not be sent or repeated.
func (o Order) Deadline() time.Time { return o.deadline }

// Publish asks for the record of a pool to be sent to all peers.
type Publish struct {
	pool     string
	revision uint64
	data     []byte
}

// Pool returns the pool of the record.
func (p Publish) Pool() string { return p.pool }

// Revision returns the revision of the record. A higher revision replaces a lower one.
func (p Publish) Revision() uint64 { return p.revision }

// Data returns the record as JSON.
func (p Publish) Data() []byte { return p.data }

// AvailabilityChanged reports that a replica became available or unavailable for this daemon.
type AvailabilityChanged struct {
	replica   ReplicaID
	model     string
	available bool
	reason    Reason
}

// Replica returns the replica that changed.
func (c AvailabilityChanged) Replica() ReplicaID { return c.replica }

// Model returns the model that the replica serves.
func (c AvailabilityChanged) Model() string { return c.model }

// Available reports whether the replica may receive requests from now on.
func (c AvailabilityChanged) Available() bool { return c.available }

// Reason returns why the replica is not available, the zero value if it is.
func (c AvailabilityChanged) Reason() Reason { return c.reason }

func (Store) isEffect() {}

func (Order) isEffect() {}

func (Publish) isEffect() {}

func (AvailabilityChanged) isEffect() {}
