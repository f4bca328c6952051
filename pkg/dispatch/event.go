package dispatch

import (
	"time"

	"github.com/azurepond/azurepond/pkg/route"
)

// Event is an input of State: Configured, Arrived, Started, FirstEventReceived, PositionChanged, StreamStalled, Completed, Failed, CallerLeft, SlotReply,
// SlotRequested, UsageReported, PeersChanged, CrashReported, PoisonMarked, PartCrashReported, PartAnswered, PartsAsked, PartMarked,
// ReplicaBroken, ReplicaSilent, ReplicaSuspended, ReplicaResumed, PathLost, FleetSizeChanged, RetrySharersChanged, RetryLimitsChanged, Throttled,
// UpstreamThrottled, LimitReported, ColdBoundChanged, Suspended, UpstreamsClosed, Stopping, Delayed or Ticked.
type Event interface{ isEvent() }

// Configured reports the configuration that is in force.
type Configured struct{ config route.Config }

// NewConfigured returns the event of a new configuration.
func NewConfigured(config route.Config) Configured { return Configured{config} }

// Arrived reports a request of a caller, received completely.
type Arrived struct{ request Request }

// NewArrived returns the event of a received request.
func NewArrived(request Request) Arrived { return Arrived{request} }

// Started reports that an upstream began a successful response.
type Started struct {
	attempt AttemptID
	load    Load
}

// NewStarted returns the event of a response to an attempt, with the load that the upstream reports.
func NewStarted(attempt AttemptID, load Load) Started { return Started{attempt, load} }

// FirstEventReceived reports the first event of a stream.
type FirstEventReceived struct{ attempt AttemptID }

// NewFirstEventReceived returns the event of the first stream event of an attempt.
func NewFirstEventReceived(attempt AttemptID) FirstEventReceived { return FirstEventReceived{attempt} }

// StreamStalled reports that a stream delivered nothing for its stall timeout; it repeats after each further timeout.
type StreamStalled struct {
	attempt  AttemptID
	timeouts int
}

// NewStreamStalled returns the event of an attempt that delivered nothing for a number of stall timeouts in a row.
func NewStreamStalled(attempt AttemptID, timeouts int) StreamStalled {
	return StreamStalled{attempt, timeouts}
}

// Completed reports that the caller received the complete response of an attempt.
type Completed struct{ attempt AttemptID }

// NewCompleted returns the event of a completed attempt.
func NewCompleted(attempt AttemptID) Completed { return Completed{attempt} }

// Failed reports that an attempt ended without a complete response.
type Failed struct {
	attempt          AttemptID
	failure          Failure
	hasPartialAnswer bool
	lastEventID      string
	faultyUpstream   string
	load             Load
	isAnswerUnusable bool
}

// NewFailed returns the event of a failed attempt.
func NewFailed(attempt AttemptID, failure Failure) Failed {
	return Failed{attempt: attempt, failure: failure}
}

// WithProgress returns the event for an attempt whose caller received a part of the response, up to the event with that
// id.
func (f Failed) WithProgress(lastEventID string) Failed {
	f.hasPartialAnswer, f.lastEventID = true, lastEventID
	return f
}

// AsCancelled returns the event for an attempt that a Cancel effect ended. It is Halted unless the request is known not to have run.
func (f Failed) AsCancelled() Failed {
	if f.failure.ran() {
		f.failure = Halted
	}
	return f
}

// WithFault returns the event with the upstream that caused the failure, as named by the upstream that responded, and
// the load that came with the response.
func (f Failed) WithFault(faultyUpstream string, load Load) Failed {
	f.faultyUpstream, f.load = faultyUpstream, load
	return f
}

// WithUnusableAnswer returns the event for an error response that the driver does not keep, since it must not or cannot be forwarded.
func (f Failed) WithUnusableAnswer() Failed {
	f.isAnswerUnusable = true
	return f
}

// Throttled reports that the upstream of an attempt throttles this daemon.
type Throttled struct {
	attempt AttemptID
	wait    time.Duration
}

// NewThrottled returns the event that the upstream of an attempt throttles this daemon for wait.
func NewThrottled(attempt AttemptID, wait time.Duration) Throttled {
	return Throttled{attempt, wait}
}

// UpstreamThrottled reports that an upstream throttles this daemon, which passed a request on for a peer.
type UpstreamThrottled struct {
	upstream string
	wait     time.Duration
}

// NewUpstreamThrottled returns the event that an upstream throttles this daemon for wait.
func NewUpstreamThrottled(upstream string, wait time.Duration) UpstreamThrottled {
	return UpstreamThrottled{upstream, wait}
}

// PathLost reports that this daemon lost its path to an upstream.
type PathLost struct{ upstream string }

// NewPathLost returns the event of a lost path.
func NewPathLost(upstream string) PathLost { return PathLost{upstream} }

// SlotStatus is the result of a slot request.
type SlotStatus uint8

// The results of a slot request.
const (
	// SlotDenied means that no slot is free and the request is not queued.
	SlotDenied SlotStatus = iota
	// SlotGranted means that the call has a slot.
	SlotGranted
	// SlotQueued means that the request waits for a free slot; a second reply follows.
	SlotQueued
	// SlotNoReplicas means that the shard owner lists no replica of the shard, as after its start.
	SlotNoReplicas
)

// SlotReply is the reply of a shard owner to a slot request.
type SlotReply struct {
	requestID uint64
	status    SlotStatus
	upstream  string
	calls     int
	excess    int
	// retryAfter is when a denied call may get a slot, 0 if no limit of an upstream is the reason.
	retryAfter time.Duration
}

// NewSlotReply returns a reply to a slot request; excess is the number of waiting calls of the shard minus its free
// slots.
func NewSlotReply(requestID uint64, status SlotStatus, excess int) SlotReply {
	return SlotReply{requestID: requestID, status: status, excess: excess}
}

// WithSlot returns the reply with the upstream of the granted slot and its number of calls, this one included.
func (r SlotReply) WithSlot(upstream string, calls int) SlotReply {
	r.upstream, r.calls = upstream, calls
	return r
}

// WithRetryAfter returns the reply with when a call that is denied because of the limits of upstreams may get a slot.
func (r SlotReply) WithRetryAfter(wait time.Duration) SlotReply {
	r.retryAfter = wait
	return r
}

// RetryAfter returns when a denied call may get a slot, 0 if no limit of an upstream is the reason.
func (r SlotReply) RetryAfter() time.Duration { return r.retryAfter }

// RequestID returns the id of the slot request, unique within the requesting daemon.
func (r SlotReply) RequestID() uint64 { return r.requestID }

// Status returns the result of the request.
func (r SlotReply) Status() SlotStatus { return r.status }

// Upstream returns the head of the replica with the granted slot.
func (r SlotReply) Upstream() string { return r.upstream }

// Calls returns the number of calls at that replica.
func (r SlotReply) Calls() int { return r.calls }

// Excess returns the number of waiting calls of the shard minus its free slots.
func (r SlotReply) Excess() int { return r.excess }

// SlotRequested reports a slot request of another daemon.
type SlotRequested struct {
	from    string
	request SlotRequest
}

// NewSlotRequested returns the event of a slot request of the daemon from.
func NewSlotRequested(from string, request SlotRequest) SlotRequested {
	return SlotRequested{from, request}
}

// CrashReported reports that an upstream crashed while it ran a request.
type CrashReported struct {
	contentHash uint64
	upstream    string
	from        string
}

// NewCrashReported returns the event of a crash of upstream while it ran the request with that content hash.
func NewCrashReported(contentHash uint64, upstream string) CrashReported {
	return CrashReported{contentHash: contentHash, upstream: upstream}
}

// From returns the event with the daemon that reports it.
func (e CrashReported) From(daemon string) CrashReported {
	e.from = daemon
	return e
}

// PoisonMarked reports that a request is suspected to crash upstreams.
type PoisonMarked struct {
	contentHash uint64
	crashes     int
	ttl         time.Duration
}

// NewPoisonMarked returns the event of a poison mark, valid for ttl: the number of crashes while the request with that
// content hash ran.
func NewPoisonMarked(contentHash uint64, crashes int, ttl time.Duration) PoisonMarked {
	return PoisonMarked{contentHash, crashes, ttl}
}

// PartCrashReported reports that an upstream crashed while it ran a request with a part.
type PartCrashReported struct{ part, upstream string }

// NewPartCrashReported returns the event of a crash of upstream while it ran a request with part.
func NewPartCrashReported(part, upstream string) PartCrashReported {
	return PartCrashReported{part, upstream}
}

// PartAnswered reports that a request with a part was answered lately.
type PartAnswered struct{ part string }

// NewPartAnswered returns the event that a request with part was answered lately.
func NewPartAnswered(part string) PartAnswered { return PartAnswered{part} }

// PartsAsked asks which parts this daemon has seen answered lately.
type PartsAsked struct{ parts []string }

// NewPartsAsked returns the event of a question about parts.
func NewPartsAsked(parts ...string) PartsAsked { return PartsAsked{parts} }

// PartMarked reports that the requests with a part are refused, or no longer are.
type PartMarked struct {
	part string
	ttl  time.Duration
}

// Part returns the name of the part.
func (p PartMarked) Part() string { return p.part }

// TTL returns how long requests with the part are refused; they no longer are if it is not positive.
func (p PartMarked) TTL() time.Duration { return p.ttl }

// NewPartMarked returns the event that requests with part are refused for ttl, or no longer if ttl is not positive.
func NewPartMarked(part string, ttl time.Duration) PartMarked { return PartMarked{part, ttl} }

// PeersChanged reports the live daemons.
type PeersChanged struct{ live []string }

// NewPeersChanged returns the event of a new list of live daemons, which may lack this one.
func NewPeersChanged(live []string) PeersChanged { return PeersChanged{live} }

// UsageReported reports the calls of another daemon at some replicas.
type UsageReported struct {
	from  string
	usage map[string]ReplicaUsage
}

// NewUsageReported returns the event of a daemon's usage of some replicas, by their heads.
func NewUsageReported(from string, usage map[string]ReplicaUsage) UsageReported {
	return UsageReported{from, usage}
}

// CallerLeft reports that the caller of a request disconnected.
type CallerLeft struct{ id ID }

// NewCallerLeft returns the event of a caller that disconnected.
func NewCallerLeft(id ID) CallerLeft { return CallerLeft{id} }

// ReplicaBroken reports that a replica lost a member, so that its calls make no progress.
type ReplicaBroken struct{ head string }

// NewReplicaBroken returns the event of a broken replica, by its head.
func NewReplicaBroken(head string) ReplicaBroken { return ReplicaBroken{head} }

// ReplicaSilent reports that a member of a replica does not answer, but may still be alive.
type ReplicaSilent struct{ head string }

// NewReplicaSilent returns the event of a silent replica, by its head.
func NewReplicaSilent(head string) ReplicaSilent { return ReplicaSilent{head} }

// FleetSizeChanged reports the number of daemons that serve the callers.
type FleetSizeChanged struct{ count int }

// NewFleetSizeChanged returns the event that count daemons, this one included, serve the callers; 0 means that the number is not
// known yet.
func NewFleetSizeChanged(count int) FleetSizeChanged { return FleetSizeChanged{count} }

// RetrySharersChanged reports the number of daemons among which the burst of the retry budget is divided.
type RetrySharersChanged struct{ count int }

// NewRetrySharersChanged returns the event that the burst is divided among count daemons, this one included; 0 means that the number is
// not known, so that this daemon gets no share.
func NewRetrySharersChanged(count int) RetrySharersChanged { return RetrySharersChanged{count} }

// RetryLimitsChanged reports new limits of retries.
type RetryLimitsChanged struct{ limits RetryLimits }

// NewRetryLimitsChanged returns the event of new limits of retries.
func NewRetryLimitsChanged(limits RetryLimits) RetryLimitsChanged {
	return RetryLimitsChanged{limits}
}

// Stopping reports that a graceful shutdown of this daemon begins.
type Stopping struct{ shutdown Shutdown }

// NewStopping returns the event that a shutdown with this schedule begins.
func NewStopping(shutdown Shutdown) Stopping { return Stopping{shutdown} }

// Delayed reports that this daemon handles its events late.
type Delayed struct{ lag time.Duration }

// NewDelayed returns the event that a timer of this daemon is handled lag after it was due.
func NewDelayed(lag time.Duration) Delayed { return Delayed{lag} }

// Ticked reports the passage of time; the driver sends it every 25 ms.
type Ticked struct{}

// NewTicked returns the event of a timer tick.
func NewTicked() Ticked { return Ticked{} }

func (Configured) isEvent() {}

func (Arrived) isEvent() {}

func (Started) isEvent() {}

func (FirstEventReceived) isEvent() {}

func (StreamStalled) isEvent() {}

func (Completed) isEvent() {}

func (Failed) isEvent() {}

func (SlotReply) isEvent() {}

func (SlotRequested) isEvent() {}

func (UsageReported) isEvent() {}

func (PeersChanged) isEvent() {}

func (CrashReported) isEvent() {}

func (PoisonMarked) isEvent() {}

func (PartCrashReported) isEvent() {}

func (PartAnswered) isEvent() {}

func (PartsAsked) isEvent() {}

func (PartMarked) isEvent() {}

func (CallerLeft) isEvent() {}

func (ReplicaBroken) isEvent() {}

func (FleetSizeChanged) isEvent() {}

func (RetrySharersChanged) isEvent() {}

func (RetryLimitsChanged) isEvent() {}

func (Stopping) isEvent() {}

func (Delayed) isEvent() {}

func (Throttled) isEvent() {}

func (Ticked) isEvent() {}

func (UpstreamThrottled) isEvent() {}

func (PathLost) isEvent() {}

func (ReplicaSilent) isEvent() {}

// WithFailure returns the event with another failure.
func (f Failed) WithFailure(failure Failure) Failed {
	f.failure = failure
	return f
}
