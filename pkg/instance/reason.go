package instance

// Cause is why a replica is not available.
type Cause uint8

// Causes for which a replica is not available. The zero value means that it is available.
const (
	CauseNone        Cause = iota
	CauseUnrecorded        // the record does not contain the replica
	CauseDraining          // the replica drains or is being dissolved
	CauseVacant            // a rank has no member
	CauseMissing           // a member has no recent successful probe
	CauseRestarted         // a member runs another boot than the recorded one
	CauseMisassigned       // a member reports another assignment than the recorded one
	CauseNotReady          // a member is not in PhaseReady
	CauseLeaving           // the platform removes a member
)

var causeNames = [...]string{
	CauseNone: "none", CauseUnrecorded: "unrecorded", CauseDraining: "draining", CauseVacant: "vacant", CauseMissing: "missing",
	CauseRestarted: "restarted", CauseMisassigned: "elsewhere", CauseNotReady: "loading", CauseLeaving: "leaving",
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
