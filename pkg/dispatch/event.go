package dispatch

import (
	"time"

	"github.com/azurepond/azurepond/pkg/route"
)

// Event is something that happened to requests: Configured, Arrived, Started, Flowed, Silenced, Ended, Failed, Left,
// Granted, Wished, Claimed,
// Peered, Crashed, Condemned, Broke, Peers or Ticked.
type Event interface{ isEvent() }

// Configured says which configuration is in force.
type Configured struct{ config route.Config }

// NewConfigured returns the event that config is in force.
func NewConfigured(config route.Config) Configured { return Configured{config} }

// Arrived says that a caller sent a request, which was read whole.
type Arrived struct{ request Request }

// NewArrived returns the event that request came.
func NewArrived(request Request) Arrived { return Arrived{request} }

// Started says that an upstream began to answer with success.
type Started struct {
	attempt AttemptID
	load    Load
}

// NewStarted returns the event that an attempt is answered, with the load that the upstream reports.
func NewStarted(attempt AttemptID, load Load) Started { return Started{attempt, load} }

// FirstEventReceived says that the first event of a stream came.
type FirstEventReceived struct{ attempt AttemptID }

// NewFirstEventReceived returns the event that the first event of an attempt came.
func NewFirstEventReceived(attempt AttemptID) FirstEventReceived { return FirstEventReceived{attempt} }

// StreamStalled says that a stream brought nothing for the time that its Send named; it comes again each time that it passes.
type StreamStalled struct {
	attempt  AttemptID
	timeouts int
}

// NewStreamStalled returns the event that an attempt brought nothing for that many pauses in a row.
func NewStreamStalled(attempt AttemptID, timeouts int) StreamStalled {
	return StreamStalled{attempt, timeouts}
}

// Completed says that the caller has the whole answer of an attempt.
type Completed struct{ attempt AttemptID }

// NewCompleted returns the event that an attempt ended whole.
func NewCompleted(attempt AttemptID) Completed { return Completed{attempt} }

// Failure tells how an attempt failed.
type Failure uint8

// The failures that a driver reports.
const (
	// NoFailure stands for an attempt that did not fail.
	NoFailure Failure = iota
	// NotSent says that no byte of the request reached the upstream.
	NotSent
	// NotRun says that the upstream turned the request away and will not run it.
	NotRun
	// Misdirected says that another upstream has the address.
	Misdirected
	// Errored says that the upstream ran the request and answered with a failure, which the driver holds.
	Errored
	// Garbled says that what came was no whole answer to the request.
	Garbled
	// Interrupted says that the connection ended before the whole answer.
	Interrupted
	// Halted says that the attempt was ended by a Cancel effect.
	Halted
)

var failureNames = [...]string{
	"none", "not sent", "not run", "misdirected", "errored", "garbled", "interrupted", "halted",
}

// String returns the name of the failure.
func (f Failure) String() string { return failureNames[f] }

// ran reports whether the request may have run.
func (f Failure) ran() bool { return f != NotSent && f != NotRun && f != Misdirected }

// Failed says that an attempt ended without a whole answer.
type Failed struct {
	attempt     AttemptID
	failure     Failure
	started     bool
	lastEventID string
	fault       string
	load        Load
}

// NewFailed returns the event that an attempt failed.
func NewFailed(attempt AttemptID, failure Failure) Failed {
	return Failed{attempt: attempt, failure: failure}
}

// WithProgress returns the event of an attempt of which the caller has the beginning, up to the event of that id.
func (f Failed) WithProgress(lastEventID string) Failed {
	f.started, f.lastEventID = true, lastEventID
	return f
}

// WithFault returns the event with the upstream that is at fault, and the load that came with the refusal.
func (f Failed) WithFault(fault string, load Load) Failed {
	f.fault, f.load = fault, load
	return f
}

// SlotStatus is the answer to a question for a place.
type SlotStatus uint8

// The answers to a question for a place.
const (
	// Denied says that there is no place, and none is to be waited for.
	SlotDenied SlotStatus = iota
	// Given says that the call has a place.
	SlotGranted
	// Waits says that the call gets a place as soon as one is free; another answer follows.
	SlotQueued
	// Uncounted says that the daemon knows of no replica in the share, as after its start.
	SlotNoReplicas
)

// SlotReply says whether there is a place for a call.
type SlotReply struct {
	requestID uint64
	status    SlotStatus
	upstream  string
	calls     int
	excess    int
}

// NewSlotReply returns the event that a question was answered; excess is how many calls wait in the share, less the places
// that are free.
func NewSlotReply(requestID uint64, status SlotStatus, excess int) SlotReply {
	return SlotReply{requestID: requestID, status: status, excess: excess}
}

// WithSlot returns the event of a call that has a place at an upstream, which has that many calls with it.
func (r SlotReply) WithSlot(upstream string, calls int) SlotReply {
	r.upstream, r.calls = upstream, calls
	return r
}

// RequestID returns the number of the question within the daemon that asked.
func (r SlotReply) RequestID() uint64 { return r.requestID }

// Status returns the answer.
func (r SlotReply) Status() SlotStatus { return r.status }

// Upstream returns the head of the replica at which the call has a place.
func (r SlotReply) Upstream() string { return r.upstream }

// Calls returns how many calls that replica has.
func (r SlotReply) Calls() int { return r.calls }

// Excess returns how many calls wait in the share, less the places that are free.
func (r SlotReply) Excess() int { return r.excess }

// SlotRequested says that another daemon asks for a place.
type SlotRequested struct {
	from    string
	request SlotRequest
}

// NewSlotRequested returns the event that the daemon called from asks for a place.
func NewSlotRequested(from string, request SlotRequest) SlotRequested {
	return SlotRequested{from, request}
}

// CrashReported says that a copy of a request was at an upstream that broke off.
type CrashReported struct {
	contentHash uint64
	upstream    string
}

// NewCrashReported returns the event that a copy of the request with that content was at an upstream that broke off.
func NewCrashReported(contentHash uint64, upstream string) CrashReported {
	return CrashReported{contentHash, upstream}
}

// PoisonMarked says that a request seems to crash upstreams.
type PoisonMarked struct {
	contentHash uint64
	crashes     int
	ttl         time.Duration
}

// NewPoisonMarked returns the event that copies of the request with that content were at that many crashes; it counts for a
// while.
func NewPoisonMarked(contentHash uint64, crashes int, ttl time.Duration) PoisonMarked {
	return PoisonMarked{contentHash, crashes, ttl}
}

// PeersChanged says which daemons are live.
type PeersChanged struct{ live []string }

// NewPeersChanged returns the event that the daemons of these names are live, this one among them or not.
func NewPeersChanged(live []string) PeersChanged { return PeersChanged{live} }

// UsageReported says how many calls another daemon has at some upstreams.
type UsageReported struct {
	from  string
	usage map[string]ReplicaUsage
}

// NewUsageReported returns the event that a daemon has so much at each of some replicas, by their heads.
func NewUsageReported(from string, usage map[string]ReplicaUsage) UsageReported {
	return UsageReported{from, usage}
}

// CallerLeft says that the caller of a request went away.
type CallerLeft struct{ id ID }

// NewCallerLeft returns the event that the caller of a request went away.
func NewCallerLeft(id ID) CallerLeft { return CallerLeft{id} }

// ReplicaBroken says that a replica lost a member, so that its calls stand still.
type ReplicaBroken struct{ head string }

// NewReplicaBroken returns the event that the replica of that head is broken.
func NewReplicaBroken(head string) ReplicaBroken { return ReplicaBroken{head} }

// BudgetPeersChanged says how many daemons share the budgets.
type BudgetPeersChanged struct{ count int }

// NewBudgetPeersChanged returns the event that count daemons, this one among them, share the budgets.
func NewBudgetPeersChanged(count int) BudgetPeersChanged { return BudgetPeersChanged{count} }

// RetryLimitsChanged says how often requests may be sent again.
type RetryLimitsChanged struct{ limits RetryLimits }

// NewRetryLimitsChanged returns the event that retries bounds how often requests are sent again.
func NewRetryLimitsChanged(limits RetryLimits) RetryLimitsChanged {
	return RetryLimitsChanged{limits}
}

// Stopping says that this daemon takes no new requests any more.
type Stopping struct{}

// NewStopping returns the event that this daemon takes no new requests.
func NewStopping() Stopping { return Stopping{} }

// Ticked says that time has passed; it is due every 25 ms.
type Ticked struct{}

// NewTicked returns the event that time has passed.
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

func (CallerLeft) isEvent() {}

func (ReplicaBroken) isEvent() {}

func (BudgetPeersChanged) isEvent() {}

func (RetryLimitsChanged) isEvent() {}

func (Stopping) isEvent() {}

func (Ticked) isEvent() {}

// WithFailure returns the event with another failure.
func (f Failed) WithFailure(failure Failure) Failed {
	f.failure = failure
	return f
}
