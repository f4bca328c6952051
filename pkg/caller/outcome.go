package caller

import "time"

// Outcome is the result of a call for its caller: Answered, NotRun or Unknown.
type Outcome interface{ isOutcome() }

// Answered means that the caller received the complete answer.
type Answered struct{}

// NotRun means that the call certainly did not run.
type NotRun struct {
	reason     Reason
	retryAfter time.Duration
}

// NewNotRun returns the outcome of a call that did not run. The caller may retry after retryAfter, 0 for never.
func NewNotRun(reason Reason, retryAfter time.Duration) NotRun { return NotRun{reason, retryAfter} }

// Reason returns why the call did not run.
func (n NotRun) Reason() Reason { return n.reason }

// RetryAfter returns how long the caller should wait before it retries, 0 for never.
func (n NotRun) RetryAfter() time.Duration { return n.retryAfter }

// Unknown means that the call may have run, or that it ran and the caller did not receive the complete answer.
type Unknown struct{ reason Reason }

// NewUnknown returns the outcome of a call that may have run.
func NewUnknown(reason Reason) Unknown { return Unknown{reason} }

// Reason returns why the outcome is unknown.
func (u Unknown) Reason() Reason { return u.reason }

func (Answered) isOutcome() {}

func (NotRun) isOutcome() {}

func (Unknown) isOutcome() {}

// Reason is why a call did not run, or why its outcome is unknown.
type Reason string

// The reasons that are reported to callers.
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
