package dispatch

import (
	"time"

	"github.com/azurepond/azurepond/pkg/relay"
	"github.com/azurepond/azurepond/pkg/route"
)

// Effect is an action for the driver: Send, Cancel, Refuse, Fail, ForwardFailure, Drop, RequestSlot, ReportUsage, ReplySlot, ReportCrash,
// MarkPoison, ReportPartCrash, ReportPartAnswered, AskParts, MarkPart, PauseProbes, ReportLimit, ShareLimit, LimitChanged, Suspect,
// CheckPath or Note.
type Effect interface{ isEffect() }

// Send sends a request to an upstream.
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
	isRetryable  bool
	stallTimeout time.Duration
	way          relay.Route
}

// Attempt returns the id of the attempt, which the events about it have.
func (s Send) Attempt() AttemptID { return s.attempt }

// ID returns the id of the request.
func (s Send) ID() ID { return s.id }

// Route returns the name of the request's route.
func (s Send) Route() string { return s.route }

// Upstream returns the name of the upstream.
func (s Send) Upstream() string { return s.upstream }

// Way returns the ways to the upstream.
func (s Send) Way() relay.Route { return s.way }

// WithTimeLeft returns the effect with another time left to the caller.
func (s Send) WithTimeLeft(left time.Duration) Send {
	s.timeLeft = left
	return s
}

// Address returns the address of the upstream, as host:port.
func (s Send) Address() string { return s.address }

// Organisation returns the caller's organisation, empty on a public route.
func (s Send) Organisation() string { return s.organisation }

// Priority returns the priority of the request, 0 for the most urgent.
func (s Send) Priority() int { return s.priority }

// TimeLeft returns the time until the deadline of the response.
func (s Send) TimeLeft() time.Duration { return s.timeLeft }

// LastEventID returns the id of the last event that the caller received, empty to start from the beginning.
func (s Send) LastEventID() string { return s.lastEventID }

// Retryable reports whether the request may be sent again although it may have run.
func (s Send) Retryable() bool { return s.isRetryable }

// Kind returns the kind of the route, which determines how the response is forwarded.
func (s Send) Kind() route.Kind { return s.kind }

// StallTimeout returns the pause in a stream after which the driver reports StreamStalled.
func (s Send) StallTimeout() time.Duration { return s.stallTimeout }

// Cancel cancels an attempt; Failed or Completed follows.
type Cancel struct{ attempt AttemptID }

// Attempt returns the id of the attempt.
func (c Cancel) Attempt() AttemptID { return c.attempt }

// Refuse tells the caller that the request did not run and will not run.
type Refuse struct {
	id         ID
	reason     Reason
	retryAfter time.Duration
}

// ID returns the id of the request.
func (r Refuse) ID() ID { return r.id }

// Reason returns the reason.
func (r Refuse) Reason() Reason { return r.reason }

// RetryAfter returns the time after which the caller may retry, 0 if a retry is of no use.
func (r Refuse) RetryAfter() time.Duration { return r.retryAfter }

// Fail tells the caller that the request failed; it may have run. A response that has begun is aborted.
type Fail struct {
	id      ID
	reason  Reason
	expired bool
}

// ID returns the id of the request.
func (f Fail) ID() ID { return f.id }

// Reason returns the reason.
func (f Fail) Reason() Reason { return f.reason }

// Expired reports whether the request timed out.
func (f Fail) Expired() bool { return f.expired }

// ForwardFailure forwards the error response of the last attempt to the caller.
type ForwardFailure struct{ id ID }

// ID returns the id of the request.
func (f ForwardFailure) ID() ID { return f.id }

// Drop ends a request whose caller disconnected.
type Drop struct{ id ID }

// ID returns the id of the request.
func (d Drop) ID() ID { return d.id }

// RequestSlot sends a slot request to a shard owner; SlotReply follows if the owner replies.
type RequestSlot struct {
	owner   string
	request SlotRequest
}

// Owner returns the name of the shard owner.
func (r RequestSlot) Owner() string { return r.owner }

// Request returns the slot request.
func (r RequestSlot) Request() SlotRequest { return r.request }

// ReportUsage reports this daemon's usage of replicas to the owner of their shards.
type ReportUsage struct {
	owner string
	usage map[string]ReplicaUsage
}

// Owner returns the name of the shard owner.
func (r ReportUsage) Owner() string { return r.owner }

// Usage returns the usage of each replica, by its head.
func (r ReportUsage) Usage() map[string]ReplicaUsage { return r.usage }

// ReplySlot sends the reply to a slot request.
type ReplySlot struct {
	to    string
	reply SlotReply
}

// To returns the daemon that sent the request.
func (r ReplySlot) To() string { return r.to }

// Reply returns the reply.
func (r ReplySlot) Reply() SlotReply { return r.reply }

// ReportCrash reports a crash of an upstream that ran a request to the daemon that counts the crashes of that content.
type ReportCrash struct {
	contentHash uint64
	upstream    string
}

// ContentHash returns the hash of what the request asks for.
func (r ReportCrash) ContentHash() uint64 { return r.contentHash }

// Upstream returns the upstream that crashed.
func (r ReportCrash) Upstream() string { return r.upstream }

// MarkPoison tells all daemons how many upstreams crashed while they ran copies of a request.
type MarkPoison struct {
	contentHash uint64
	crashes     int
	ttl         time.Duration
}

// ContentHash returns the hash of what the request asks for.
func (m MarkPoison) ContentHash() uint64 { return m.contentHash }

// Crashes returns the number of upstreams that crashed.
func (m MarkPoison) Crashes() int { return m.crashes }

// TTL returns how long the mark is valid.
func (m MarkPoison) TTL() time.Duration { return m.ttl }

// ReportPartCrash reports a crash of an upstream that ran a request with a part to the daemon that counts the crashes of the part.
type ReportPartCrash struct{ part, upstream string }

// Part returns the name of the part.
func (r ReportPartCrash) Part() string { return r.part }

// Upstream returns the upstream that crashed.
func (r ReportPartCrash) Upstream() string { return r.upstream }

// ReportPartAnswered reports a recent answer to a request with a part to the daemon that counts the crashes of the part.
type ReportPartAnswered struct{ part string }

// Part returns the name of the part.
func (r ReportPartAnswered) Part() string { return r.part }

// AskParts asks all daemons which parts they have seen answered lately.
type AskParts struct{ parts []string }

// Parts returns the names of the parts.
func (a AskParts) Parts() []string { return a.parts }

// MarkPart tells all daemons to refuse the requests with a part, or no longer to do so.
type MarkPart struct {
	part string
	ttl  time.Duration
}

// Part returns the name of the part.
func (m MarkPart) Part() string { return m.part }

// TTL returns how long requests with the part are refused, 0 to end that.
func (m MarkPart) TTL() time.Duration { return m.ttl }

// CheckPath requests that the path to an upstream be checked, which has not answered an attempt.
type CheckPath struct{ upstream string }

// Upstream returns the name of the upstream.
func (c CheckPath) Upstream() string { return c.upstream }

// Suspect reports that an upstream may be dead.
type Suspect struct {
	upstream string
	reason   string
}

// Upstream returns the upstream that may be dead.
func (s Suspect) Upstream() string { return s.upstream }

// Reason returns the observation behind the suspicion.
func (s Suspect) Reason() string { return s.reason }

// PauseProbes requests that an upstream is not probed, since it throttles this daemon.
type PauseProbes struct {
	upstream string
	until    time.Time
}

// Upstream returns the upstream.
func (q PauseProbes) Upstream() string { return q.upstream }

// Until returns the end of that time.
func (q PauseProbes) Until() time.Time { return q.until }

// The decisions on requests, as written to logs and metrics.
const (
	NoteSent             = "sent"
	NoteTrial            = "tried on suspicion"
	NoteQueued           = "queued"
	NoteRefused          = "refused"
	NoteAnswered         = "answered"
	NoteFailed           = "failed"
	NoteFailureForwarded = "failure passed on"
	NoteDropped          = "dropped"
	NoteThrottled        = "throttled"
	NoteAttempt          = "attempt failed"
)

// Note is a decision on a request, for the log.
type Note struct {
	name         string
	contentHash  uint64
	parts        []string
	decision     string
	route        string
	upstream     string
	reason       string
	sinceArrival time.Duration
	inputs       Inputs
}

// Inputs are the values that a decision was based on.
type Inputs struct {
	upstreams int
	calls     float64
	expected  time.Duration
	waiting   int
	reportAge time.Duration
}

// Name returns the caller's own id of the request.
func (n Note) Name() string { return n.name }

// ContentHash returns the hash of the request's content, the same in the log lines of all its copies.
func (n Note) ContentHash() uint64 { return n.contentHash }

// Parts returns the names of the shared parts of the request's prompt, in order.
func (n Note) Parts() []string { return n.parts }

// Decision returns the decision, one of the Note constants.
func (n Note) Decision() string { return n.decision }

// Route returns the name of the route.
func (n Note) Route() string { return n.route }

// Upstream returns the upstream concerned, empty for none.
func (n Note) Upstream() string { return n.upstream }

// Reason returns the reason of the decision, or the shard for a call that is queued for a slot.
func (n Note) Reason() string { return n.reason }

// SinceArrival returns the time between the arrival of the request and the decision.
func (n Note) SinceArrival() time.Duration { return n.sinceArrival }

// Inputs returns the values that the decision was based on.
func (n Note) Inputs() Inputs { return n.inputs }

// Upstreams returns the number of upstreams that accept such requests and were not tried yet. For a call that is sent
// to a granted slot, it is the number of calls at the replica instead.
func (i Inputs) Upstreams() int { return i.upstreams }

// Calls returns the estimated number of calls at the selected upstream.
func (i Inputs) Calls() float64 { return i.calls }

// Expected returns the expected time to the first event there, or the expected wait of a queued call.
func (i Inputs) Expected() time.Duration { return i.expected }

// Waiting returns the number of requests in this daemon's queue, or the excess of the shard for a call that is queued
// for a slot.
func (i Inputs) Waiting() int { return i.waiting }

// ReportAge returns the age of the upstream's last load report.
func (i Inputs) ReportAge() time.Duration { return i.reportAge }

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

func (ReportPartCrash) isEffect() {}

func (ReportPartAnswered) isEffect() {}

func (AskParts) isEffect() {}

func (MarkPart) isEffect() {}

func (Suspect) isEffect() {}

func (CheckPath) isEffect() {}

func (PauseProbes) isEffect() {}

func (Note) isEffect() {}
