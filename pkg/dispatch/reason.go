package dispatch

// Reason is the reason why a request got no response from an upstream.
type Reason uint8

// The reasons of refusals and failures.
const (
	Unconfigured Reason = iota
	NoRoute
	UnknownKey
	NoUpstream
	Overload
	AttemptsExhausted
	RetryBudgetSpent
	AnswerLost
	Timeout
	CallerGone
	DaemonStopping
	Poison
	UpstreamLimit
	TooLarge
	Internal
)

var reasonNames = [...]string{
	"no configuration yet", "no route", "unknown key", "no upstream", "overload", "attempts exhausted",
	"retry budget spent", "answer lost", "timeout", "caller gone", "stopping", "crashes upstreams",
	"upstream limit", "too large", "internal error",
}

// String returns the reason as written to logs and metrics.
func (r Reason) String() string { return reasonNames[r] }
