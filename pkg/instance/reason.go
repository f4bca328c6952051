package instance

// Cause is why a replica is not available.
type Cause uint8

// Causes for which a replica is not available. The zero value means that it is available.
const (
	None Cause = iota
	Unrecorded
	Draining
	Vacant
	Missing
	Restarted
	Elsewhere
	Unready
	Leaving
)

var causeNames = [...]string{
	None: "none", Unrecorded: "unrecorded", Draining: "draining", Vacant: "vacant", Missing: "missing",
	Restarted: "restarted", Elsewhere: "elsewhere", Unready: "loading", Leaving: "leaving",
}

// String returns the cause as one lower-case word.
func (c Cause) String() string { return causeNames[c] }

// Reason is why a replica is not available, and the first member that causes it. The zero value means that it is
// available.
type Reason struct {
	cause Cause
	id    ID
}

// Cause returns why the replica is not available.
func (r Reason) Cause() Cause { return r.cause }

// ID returns the first member that causes it, empty if no member does.
func (r Reason) ID() ID { return r.id }

// String returns the cause, followed by the member that causes it if there is one.
func (r Reason) String() string {
	if r.id == "" {
		return r.cause.String()
	}
	return r.cause.String() + " " + string(r.id)
}
