package instance

import "github.com/azurepond/azurepond/pkg/object"

// Event is an input of State.Reduce.
type Event interface{ isEvent() }

// Configured is the event that settings apply from now on.
type Configured struct{ settings Settings }

// NewConfigured returns the event that settings apply from now on.
func NewConfigured(settings Settings) Configured { return Configured{settings} }

// Listed is the event that the platform's instance list was read.
type Listed struct{ instances []Instance }

// NewListed returns the event that the platform lists exactly these instances.
func NewListed(instances []Instance) Listed { return Listed{instances} }

// Probed is the event that a probe of an instance ended.
type Probed struct{ result ProbeResult }

// NewProbed returns the event that a probe by this daemon or a peer ended with result.
func NewProbed(result ProbeResult) Probed { return Probed{result} }

// StoreCompleted is the event that a request to the object API ended.
type StoreCompleted struct{ result object.Result }

// NewStoreCompleted returns the event that a request to the object API ended with result.
func NewStoreCompleted(result object.Result) StoreCompleted { return StoreCompleted{result} }

// Reply is the reply of an instance to an order.
type Reply uint8

// Replies to an order.
const (
	ReplyAccepted   Reply = iota
	ReplyStale            // the engine knows a higher fencing token
	ReplyUnanswered       // the order may or may not have been carried out
)

// OrderAnswered is the event that an order was answered or timed out.
type OrderAnswered struct {
	id         ID
	assignment Assignment
	reply      Reply
}

// NewOrderAnswered returns the event that instance id answered the order to take assignment with reply.
func NewOrderAnswered(id ID, assignment Assignment, reply Reply) OrderAnswered {
	return OrderAnswered{id, assignment, reply}
}

// DrainRequested is the event that an operator requests or revokes a drain, or stops a replica.
type DrainRequested struct {
	replica ReplicaID
	id      ID
	undo    bool // revokes the drain
	stop    bool // dissolves the replica after the drain
}

// NewReplicaStopRequested returns the event that an operator wants replica drained and dissolved, which frees its
// instances.
func NewReplicaStopRequested(replica ReplicaID) DrainRequested {
	return DrainRequested{replica: replica, stop: true}
}

// NewReplicaDrainRequested returns the event that an operator wants replica drained but kept loaded, or revokes this if
// undo is set.
func NewReplicaDrainRequested(replica ReplicaID, undo bool) DrainRequested {
	return DrainRequested{replica: replica, undo: undo}
}

// NewInstanceDrainRequested returns the event that an operator wants instance id drained and idle, or revokes this if
// undo is set.
func NewInstanceDrainRequested(id ID, undo bool) DrainRequested {
	return DrainRequested{id: id, undo: undo}
}

// RecordReceived is the event that a peer sent the record of a pool.
type RecordReceived struct {
	pool     string
	revision uint64
	data     []byte
}

// NewRecordReceived returns the event that a peer sent the record of pool. Its data is the JSON of a Publish effect.
func NewRecordReceived(pool string, revision uint64, data []byte) RecordReceived {
	return RecordReceived{pool, revision, data}
}

// Ticked is the event that time has passed. The driver sends it about every half second.
type Ticked struct{}

// NewTicked returns the event that time has passed.
func NewTicked() Ticked { return Ticked{} }

func (Configured) isEvent() {}

func (Listed) isEvent() {}

func (Probed) isEvent() {}

func (StoreCompleted) isEvent() {}

func (OrderAnswered) isEvent() {}

func (DrainRequested) isEvent() {}

func (RecordReceived) isEvent() {}

func (Ticked) isEvent() {}
