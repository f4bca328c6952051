package instance

// ID names one instance of the platform.
type ID string

// BootID identifies one start of the process on an instance. A restart changes it.
type BootID string

// ReplicaID names one replica of a model, unique within the fleet.
type ReplicaID string

// FencingToken is the revision of a pool's record. It only grows, and an engine that checks it refuses an order with a
// lower one than it has received.
type FencingToken uint64

// Assignment is the replica of an instance and the fencing token of the decision. The zero value means "no replica".
type Assignment struct {
	replica      ReplicaID
	fencingToken FencingToken
}

// NewAssignment returns the assignment to replica with the fencing token of the decision.
func NewAssignment(replica ReplicaID, token FencingToken) Assignment {
	return Assignment{replica, token}
}

// Replica returns the replica that the instance belongs to, empty for none.
func (a Assignment) Replica() ReplicaID { return a.replica }

// FencingToken returns the fencing token of the decision.
func (a Assignment) FencingToken() FencingToken { return a.fencingToken }

// IsZero reports whether the assignment is the zero value.
func (a Assignment) IsZero() bool { return a == Assignment{} }
