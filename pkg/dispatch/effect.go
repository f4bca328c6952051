package dispatch

import (
	"time"

	"github.com/azurepond/azurepond/pkg/route"
)

// Effect is what a driver has to do: Send, Cancel, Refuse, Fail, Deliver, Drop, Suspect or Note.
type Effect interface{ isEffect() }

// Send runs a request at an upstream.
type Send struct {
	attempt      AttemptID
	id           ID
	route        string
	upstream     string
	address      string
	organisation string
	priority     int
	timeLeft     time.Duration
	lastEventID  string
	kind         route.Kind
	stallTimeout time.Duration
}

// Attempt returns the name of the try, which its reports carry.
func (s Send) Attempt() AttemptID { return s.attempt }

// ID returns the request.
func (s Send) ID() ID { return s.id }

// Route returns the name of the route that the request came on.
func (s Send) Route() string { return s.route }

// Upstream returns the upstream that runs it.
func (s Send) Upstream() string { return s.upstream }

// Address returns where the upstream listens, as host:port.
func (s Send) Address() string { return s.address }

// Organisation returns the organisation whose caller it is, empty on a public route.
func (s Send) Organisation() string { return s.organisation }

// Priority returns the priority of the request, 0 for the most urgent.
func (s Send) Priority() int { return s.priority }

// TimeLeft returns the time in which the answer is due.
func (s Send) TimeLeft() time.Duration { return s.timeLeft }

// LastEventID returns the id of the last event that the caller has, empty to begin from the start.
func (s Send) LastEventID() string { return s.lastEventID }

// Kind returns what may be repeated.
func (s Send) Kind() route.Kind { return s.kind }

// StallTimeout returns the pause after which Silenced is to be reported.
func (s Send) StallTimeout() time.Duration { return s.stallTimeout }

// Cancel ends an attempt; Failed or Ended follows.
type Cancel struct{ attempt AttemptID }

// Attempt returns the try to end.
func (c Cancel) Attempt() AttemptID { return c.attempt }

// Refuse tells the caller that the request did not run and never will.
type Refuse struct {
	id         ID
	reason     Reason
	retryAfter time.Duration
}

// ID returns the request.
func (r Refuse) ID() ID { return r.id }

// Reason returns why.
func (r Refuse) Reason() Reason { return r.reason }

// RetryAfter returns when to come back, 0 if that does not help.
func (r Refuse) RetryAfter() time.Duration { return r.retryAfter }

// Fail tells the caller that there is no answer, and promises nothing; an answer that has begun is broken off.
type Fail struct {
	id      ID
	reason  Reason
	expired bool
}

// ID returns the request.
func (f Fail) ID() ID { return f.id }

// Reason returns why.
func (f Fail) Reason() Reason { return f.reason }

// Expired reports whether the time for an answer ran out.
func (f Fail) Expired() bool { return f.expired }

// ForwardFailure passes on the failure that the last attempt's upstream answered with.
type ForwardFailure struct{ id ID }

// ID returns the request.
func (f ForwardFailure) ID() ID { return f.id }

// Drop ends a request whose caller is gone.
type Drop struct{ id ID }

// ID returns the request.
func (d Drop) ID() ID { return d.id }

// RequestSlot asks the daemon that keeps count of a replica for a place; Granted follows if it is answered.
type RequestSlot struct {
	owner   string
	request SlotRequest
}

// Owner returns the daemon that is asked.
func (r RequestSlot) Owner() string { return r.owner }

// Request returns the question.
func (r RequestSlot) Request() SlotRequest { return r.request }

// ReportUsage tells the daemon that keeps count how many calls this one has at some replicas.
type ReportUsage struct {
	owner string
	usage map[string]ReplicaUsage
}

// Owner returns the daemon that is told.
func (r ReportUsage) Owner() string { return r.owner }

// Usage returns what this daemon has at each replica, by its head.
func (r ReportUsage) Usage() map[string]ReplicaUsage { return r.usage }

// ReplySlot answers a daemon that asked for a place.
type ReplySlot struct {
	to    string
	reply SlotReply
}

// To returns the daemon that asked.
func (r ReplySlot) To() string { return r.to }

// Reply returns what it is told.
func (r ReplySlot) Reply() SlotReply { return r.reply }

// ReportCrash tells the daemon that counts crashes that a copy of a request was at an upstream that broke off.
type ReportCrash struct {
	contentHash uint64
	upstream    string
}

// ContentHash returns the hash of what the request asks for.
func (r ReportCrash) ContentHash() uint64 { return r.contentHash }

// Upstream returns the upstream that broke off.
func (r ReportCrash) Upstream() string { return r.upstream }

// MarkPoison tells all daemons at how many crashes copies of a request were.
type MarkPoison struct {
	contentHash uint64
	crashes     int
	ttl         time.Duration
}

// ContentHash returns the hash of what the request asks for.
func (m MarkPoison) ContentHash() uint64 { return m.contentHash }

// Crashes returns at how many crashes copies were.
func (m MarkPoison) Crashes() int { return m.crashes }

// TTL returns for how long that counts.
func (m MarkPoison) TTL() time.Duration { return m.ttl }

// Suspect says that an upstream may be dead.
type Suspect struct {
	upstream string
	reason   string
}

// Upstream returns the upstream that may be dead.
func (s Suspect) Upstream() string { return s.upstream }

// Reason returns what makes it suspect.
func (s Suspect) Reason() string { return s.reason }

// What was decided on a request.
const (
	NoteSent             = "sent"
	NoteQueued           = "queued"
	NoteRefused          = "refused"
	NoteAnswered         = "answered"
	NoteFailed           = "failed"
	NoteFailureForwarded = "failure passed on"
	NoteDropped          = "dropped"
	NoteAttempt          = "attempt failed"
)

// Note is a decision on a request, for the log.
type Note struct {
	name         string
	contentHash  uint64
	decision     string
	route        string
	upstream     string
	reason       string
	sinceArrival time.Duration
	inputs       Inputs
}

// Inputs are what decided on a request.
type Inputs struct {
	upstreams int
	calls     float64
	expected  time.Duration
	waiting   int
	age       time.Duration
}

// Name returns the name that the caller gave the request.
func (n Note) Name() string { return n.name }

// ContentHash returns the hash of what the request asks for, by which lines about copies of it are found.
func (n Note) ContentHash() uint64 { return n.contentHash }

// Decision returns the decision in a word.
func (n Note) Decision() string { return n.decision }

// Route returns the name of the route.
func (n Note) Route() string { return n.route }

// Upstream returns the upstream that the decision is about, empty for none.
func (n Note) Upstream() string { return n.upstream }

// Reason returns why it was decided.
func (n Note) Reason() string { return n.reason }

// SinceArrival returns how long after its arrival the request was decided on.
func (n Note) SinceArrival() time.Duration { return n.sinceArrival }

// Inputs returns what decided.
func (n Note) Inputs() Inputs { return n.inputs }

// Upstreams returns how many upstreams could be chosen from.
func (i Inputs) Upstreams() int { return i.upstreams }

// Calls returns how many calls the chosen upstream was believed to have.
func (i Inputs) Calls() float64 { return i.calls }

// Expected returns the time to the first event that was expected there.
func (i Inputs) Expected() time.Duration { return i.expected }

// Waiting returns how many requests waited here.
func (i Inputs) Waiting() int { return i.waiting }

// Age returns the age of the load that the upstream last reported.
func (i Inputs) Age() time.Duration { return i.age }

func (Send) isEffect() {}

func (Cancel) isEffect() {}

func (Refuse) isEffect() {}

func (Fail) isEffect() {}

func (ForwardFailure) isEffect() {}

func (Drop) isEffect() {}

func (RequestSlot) isEffect() {}

func (ReportUsage) isEffect() {}

func (ReplySlot) isEffect() {}

func (ReportCrash) isEffect() {}

func (MarkPoison) isEffect() {}

func (Suspect) isEffect() {}

func (Note) isEffect() {}

// Reason says why a request is not answered.
type Reason uint8

// The reasons.
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
)

var reasonNames = [...]string{
	"no configuration yet", "no route", "unknown key", "no upstream", "overload", "attempts exhausted",
	"retry budget spent", "answer lost", "timeout", "caller gone", "stopping", "crashes upstreams",
}

// String returns the reason in words.
func (r Reason) String() string { return reasonNames[r] }
