package engine

import (
	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/instance"
)

// AttemptID names one try of a call on one replica, unique within one daemon.
type AttemptID uint64

// Failure tells how an attempt failed.
type Failure uint8

// The failures that a driver reports.
const (
	// NotSent says that no byte of the call reached the engine.
	NotSent Failure = iota
	// RefusedOverload says that the engine turned the call away before running it, since it has too much to do.
	RefusedOverload
	// RefusedOther says that the engine turned the call away before running it and would do so again.
	RefusedPermanently
	// Broken says that the stream ended short: no end mark, or another count of tokens than announced.
	Broken
	// Crossed says that the stream carried the identity of another call.
	IdentityMismatch
	// Crashed says that the engine's process died: the connection was reset or closed in the middle of the call.
	Crashed
	// Slow says that a timeout of the driver ran out.
	TimedOut
	// Halted says that the attempt was ended by a Cancel effect, or since its caller takes no more.
	Halted
)

// Event is something that the decisions towards engines react to: Configured, Submitted, Started, Progressed, Ended,
// Failed, Cancelled, Cached, Suspected, Drained or Ticked.
type Event interface{ isEvent() }

// Configured says that new settings are in force.
type Configured struct{ settings Settings }

// NewConfigured returns the event of settings coming into force.
func NewConfigured(settings Settings) Configured { return Configured{settings} }

// Submitted says that a call was admitted and has to run.
type Submitted struct{ call caller.Call }

// NewSubmitted returns the event of call having to run.
func NewSubmitted(call caller.Call) Submitted { return Submitted{call} }

// Started says that the first byte of an attempt's answer came.
type Started struct{ attempt AttemptID }

// NewStarted returns the event of attempt being answered.
func NewStarted(attempt AttemptID) Started { return Started{attempt} }

// Progressed says how many tokens of the call, over all its attempts, were passed to the caller so far.
type Progressed struct {
	attempt AttemptID
	tokens  int
}

// NewProgressed returns the event of attempt having brought the call to tokens passed tokens.
func NewProgressed(attempt AttemptID, tokens int) Progressed { return Progressed{attempt, tokens} }

// Completed says that the answer is whole: the end mark came, the announced count was passed, and the identity matched.
type Completed struct{ attempt AttemptID }

// NewCompleted returns the event of attempt ending whole.
func NewCompleted(attempt AttemptID) Completed { return Completed{attempt} }

// Failed says that an attempt ended without a whole answer; nothing of it is passed on any more.
type Failed struct {
	attempt AttemptID
	failure Failure
	tokens  int
}

// NewFailed returns the event of attempt failing after the call's caller received tokens tokens over all attempts.
// A driver answers each Cancel effect with Failed (Halted) or, if that came first, with Ended or another failure.
func NewFailed(attempt AttemptID, failure Failure, tokens int) Failed {
	return Failed{attempt, failure, tokens}
}

// Cancelled says that the caller of a call went away.
type Cancelled struct{ id caller.ID }

// NewCancelled returns the event of the caller of the call id going away.
func NewCancelled(id caller.ID) Cancelled { return Cancelled{id} }

// CacheReported says which blocks of prompts a replica began or ceased to cache.
type CacheReported struct {
	replica    instance.ReplicaID
	boot       instance.BootID
	sequence   uint64
	isSnapshot bool
	stored     []uint64
	removed    []uint64
}

// NewCacheReported returns the change numbered sequence of what replica caches: hashes of prefix blocks stored and removed.
func NewCacheReported(replica instance.ReplicaID, sequence uint64, stored, removed []uint64) CacheReported {
	return CacheReported{replica: replica, sequence: sequence, stored: stored, removed: removed}
}

// NewCacheSnapshot returns all that replica caches as of the change numbered sequence; it answers Resync.
func NewCacheSnapshot(replica instance.ReplicaID, sequence uint64, stored []uint64) CacheReported {
	return CacheReported{replica: replica, sequence: sequence, isSnapshot: true, stored: stored}
}

// WithBoot returns the event as told by the engine process boot; the numbers of another process do not continue.
func (c CacheReported) WithBoot(boot instance.BootID) CacheReported {
	c.boot = boot
	return c
}

// SuspicionReceived says what another daemon found out about a call's content.
type SuspicionReceived struct{ suspicion Suspicion }

// NewSuspicionReceived returns the event of hearing suspicion.
func NewSuspicionReceived(suspicion Suspicion) SuspicionReceived { return SuspicionReceived{suspicion} }

// DrainChanged says whether a replica gets no new calls.
type DrainChanged struct {
	replica  instance.ReplicaID
	draining bool
}

// NewDrainChanged returns the event of the drain of replica beginning (on) or being taken back.
func NewDrainChanged(replica instance.ReplicaID, on bool) DrainChanged {
	return DrainChanged{replica, on}
}

// Ticked says that time went on; it is due at least every 100 ms.
type Ticked struct{}

// NewTicked returns the event of time going on.
func NewTicked() Ticked { return Ticked{} }

func (Configured) isEvent() {}

func (Submitted) isEvent() {}

func (Started) isEvent() {}

func (Progressed) isEvent() {}

func (Completed) isEvent() {}

func (Failed) isEvent() {}

func (Cancelled) isEvent() {}

func (CacheReported) isEvent() {}

func (SuspicionReceived) isEvent() {}

func (DrainChanged) isEvent() {}

func (Ticked) isEvent() {}
