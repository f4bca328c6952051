package instance

import "github.com/azurepond/azurepond/pkg/object"

// Event is something that happened to the instances or to what is recorded of them: Configured, Listed, Sighted,
// Resulted, Ordered, Drained, Recorded or Ticked.
type Event interface{ isEvent() }

// Configured says that settings are in force.
type Configured struct{ settings Settings }

// NewConfigured returns the event that settings are in force from now on.
func NewConfigured(settings Settings) Configured { return Configured{settings} }

// Listed says what the platform's instance list holds.
type Listed struct{ instances []Instance }

// NewListed returns the event that the platform lists exactly these instances.
func NewListed(instances []Instance) Listed { return Listed{instances} }

// Probed says what a watcher saw of one instance.
type Probed struct{ result ProbeResult }

// NewProbed returns the event that sighting was made here or learned from a peer.
func NewProbed(sighting ProbeResult) Probed { return Probed{sighting} }

// Resulted says what became of a request of a Store.
type Resulted struct{ result object.Result }

// NewResulted returns the event that a request ended with result.
func NewResulted(result object.Result) Resulted { return Resulted{result} }

// Reply is how an instance answered an order.
type Reply uint8

// The replies to an order; Unanswered says that the order may or may not have been carried out.
const (
	Accepted Reply = iota
	Stale
	Unanswered
)

// OrderAnswered says what became of an Order.
type OrderAnswered struct {
	id         ID
	assignment Assignment
	reply      Reply
}

// NewOrderAnswered returns the event that the order to take assignment was answered by instance id with reply.
func NewOrderAnswered(id ID, assignment Assignment, reply Reply) OrderAnswered {
	return OrderAnswered{id, assignment, reply}
}

// DrainRequested says that an operator wants a replica or an instance out of work, or no longer so.
type DrainRequested struct {
	replica ReplicaID
	id      ID
	undo    bool
	stop    bool
}

// NewReplicaStopRequested returns the event that replica shall be drained and taken apart, so that its instances are free.
func NewReplicaStopRequested(replica ReplicaID) DrainRequested {
	return DrainRequested{replica: replica, stop: true}
}

// NewReplicaDrainRequested returns the event that replica shall be drained and kept loaded, or with undo no longer so.
func NewReplicaDrainRequested(replica ReplicaID, undo bool) DrainRequested {
	return DrainRequested{replica: replica, undo: undo}
}

// NewInstanceDrainRequested returns the event that instance id shall be drained and left idle, or with undo no longer so.
func NewInstanceDrainRequested(id ID, undo bool) DrainRequested {
	return DrainRequested{id: id, undo: undo}
}

// RecordReceived says that a peer knows a record of a pool.
type RecordReceived struct {
	pool     string
	revision uint64
	data     []byte
}

// NewRecordReceived returns the event that a peer sent the record of pool with revision as data (JSON from a Publish).
func NewRecordReceived(pool string, revision uint64, data []byte) RecordReceived {
	return RecordReceived{pool, revision, data}
}

// Ticked says that time has passed; it comes about every half second.
type Ticked struct{}

// NewTicked returns the event that time has passed.
func NewTicked() Ticked { return Ticked{} }

func (Configured) isEvent() {}

func (Listed) isEvent() {}

func (Probed) isEvent() {}

func (Resulted) isEvent() {}

func (OrderAnswered) isEvent() {}

func (DrainRequested) isEvent() {}

func (RecordReceived) isEvent() {}

func (Ticked) isEvent() {}
