package caller

import "time"

// Outcome is how a call ended for its caller: Answered, NotRun or Unknown.
type Outcome interface{ isOutcome() }

// Answered says that the caller received the whole answer.
type Answered struct{}

// NotRun says that the call certainly did not run.
type NotRun struct {
	reason     Reason
	retryAfter time.Duration
}

// NewNotRun returns the outcome of a call that did not run; the caller may come back after again, 0 for never.
func NewNotRun(reason Reason, again time.Duration) NotRun { return NotRun{reason, again} }

// Reason returns why the call did not run.
func (n NotRun) Reason() Reason { return n.reason }

// RetryAfter returns how long the caller should wait before it comes back, 0 for never.
func (n NotRun) RetryAfter() time.Duration { return n.retryAfter }

// Unknown says that the call may or may not have run, or ran without its whole answer reaching the caller.
type Unknown struct{ reason Reason }

// NewUnknown returns the outcome of a call that may have run.
func NewUnknown(reason Reason) Unknown { return Unknown{reason} }

// Reason returns why the outcome is unknown.
func (u Unknown) Reason() Reason { return u.reason }

func (Answered) isOutcome() {}

func (NotRun) isOutcome() {}

func (Unknown) isOutcome() {}

// Reason tells why a call did not run, or why its outcome is unknown.
type Reason string

// The reasons that callers are told.
const (
	Overload            Reason = "overload"
	QueueLimit          Reason = "limit"
	DeadlineExceeded    Reason = "late"
	NoReplica           Reason = "replica"
	UnknownTarget       Reason = "target"
	UnknownOrganisation Reason = "organisation"
	Poison              Reason = "poison"
	KeyExpired          Reason = "expired"
	KeyInUse            Reason = "duplicate"
	StoreUnavailable    Reason = "store"
	DaemonStopping      Reason = "stopping"
	UpstreamFailed      Reason = "broken"
	Cancelled           Reason = "cancelled"
	UnreliableUpstream  Reason = "unreliable"
)
