package instance

import (
	"time"

	"github.com/azurepond/azurepond/pkg/object"
)

// Effect is what the driver has to carry out: Store, Order, Publish or Changed.
type Effect interface{ isEffect() }

// Store asks for one call to the object API, which answers with Resulted.
type Store struct{ request object.Request }

// Request returns the call to make.
func (s Store) Request() object.Request { return s.request }

// Order tells one instance which place it has from now on; the driver answers with Ordered.
type Order struct {
	id         ID
	address    string
	assignment Assignment
	model      string
	rank       int
	members    []string
	deadline   time.Time
}

// ID returns the instance that the order goes to.
func (o Order) ID() ID { return o.id }

// Address returns the address (host:port) of the instance's engine.
func (o Order) Address() string { return o.address }

// Assignment returns the place in a replica; its fencing number is set also when the replica is empty.
func (o Order) Assignment() Assignment { return o.assignment }

// IsRelease reports whether the instance shall leave its replica and stay idle.
func (o Order) IsRelease() bool { return o.assignment.replica == "" }

// Model returns the model to load, empty for a release.
func (o Order) Model() string { return o.model }

// Rank returns the place among the members, from 0.
func (o Order) Rank() int { return o.rank }

// Members returns the addresses of all members in the order of their ranks; an engine that already holds the same
// model, replica and rank keeps what it has loaded and only joins these members.
func (o Order) Members() []string { return o.members }

// Deadline returns the time after which the order must not be sent, nor sent again.
func (o Order) Deadline() time.Time { return o.deadline }

// Publish asks to spread the record of a pool to all peers.
type Publish struct {
	pool     string
	revision uint64
	data     []byte
}

// Pool returns the pool that the record is about.
func (p Publish) Pool() string { return p.pool }

// Revision returns the revision of the record; a higher one replaces a lower one.
func (p Publish) Revision() uint64 { return p.revision }

// Data returns the record as JSON.
func (p Publish) Data() []byte { return p.data }

// AvailabilityChanged says that a replica became whole here, or stopped being so.
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

// Available reports whether the replica may get work from now on.
func (c AvailabilityChanged) Available() bool { return c.available }

// Reason returns why the replica is not whole, None if it is.
func (c AvailabilityChanged) Reason() Reason { return c.reason }

func (Store) isEffect() {}

func (Order) isEffect() {}

func (Publish) isEffect() {}

func (AvailabilityChanged) isEffect() {}
