package dispatch

// Failure is the way in which an attempt failed.
type Failure uint8

// The failures of an attempt.
const (
	// NoFailure is the failure of an attempt that succeeded.
	NoFailure Failure = iota
	// NotSent means that no byte of the request reached the upstream.
	NotSent
	// NotRun means that the upstream refused the request and does not run it.
	NotRun
	// Misdirected means that the address belongs to another upstream.
	Misdirected
	// Errored means that the upstream ran the request and returned an error response, which the driver keeps if it can be forwarded.
	Errored
	// Garbled means that the response was incomplete or invalid.
	Garbled
	// Interrupted means that the connection closed before the end of the response.
	Interrupted
	// Halted means that this daemon ended the attempt: by a Cancel effect, or as it had no memory for an event.
	Halted
	// RelayLost means that the connection to the peer that passed the request on closed before the end of the response.
	RelayLost
	// Unidentified means that the response names no request and may belong to an earlier one on the connection.
	Unidentified
)

var failureNames = [...]string{
	"none", "not sent", "not run", "misdirected", "errored", "garbled", "interrupted", "halted", "relay lost",
	"unidentified",
}

// String returns the failure as written to logs and metrics.
func (f Failure) String() string { return failureNames[f] }

// ran reports whether the request may have run.
func (f Failure) ran() bool { return f != NotSent && f != NotRun && f != Misdirected }
