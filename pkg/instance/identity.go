package instance

// ID names one instance of the platform.
type ID string

// BootID is the identity of one start of the process on an instance; a restart changes it.
type BootID string

// ReplicaID names one replica of a model, unique within the fleet.
type ReplicaID string

// FencingToken is the number of a recorded decision about a pool; it only grows.
type FencingToken uint64

// Assignment is the place of an instance in a replica, by one recorded decision; the zero value means "none".
type Assignment struct {
	replica      ReplicaID
	fencingToken FencingToken
}

// NewAssignment returns the assignment to replica by the decision numbered fence.
func NewAssignment(replica ReplicaID, fence FencingToken) Assignment {
	return Assignment{replica, fence}
}

// Replica returns the replica that the instance belongs to, empty for none.
func (a Assignment) Replica() ReplicaID { return a.replica }

// FencingToken returns the number of the decision.
func (a Assignment) FencingToken() FencingToken { return a.fencingToken }

// IsZero reports whether the instance belongs to no replica.
func (a Assignment) IsZero() bool { return a == Assignment{} }
