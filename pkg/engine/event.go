package engine

import (
	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/instance"
)

// AttemptID identifies one attempt of a call on one replica. It is unique within one daemon.
type AttemptID uint64

// Failure tells how an attempt failed.
type Failure uint8

// The failures that a driver reports.
const (
	// NotSent says that no byte of the call reached the engine.
	NotSent Failure = iota
	// RefusedOverload says that the engine rejected the call before running it because it is overloaded.
	RefusedOverload
	// RefusedPermanently says that the engine rejected the call before running it and would reject it again.
	RefusedPermanently
	// Broken says that the stream was incomplete: it had no end marker, or its token count differs from the announced one.
	Broken
	// IdentityMismatch says that the stream carried the ID of another call.
	IdentityMismatch
	// Crashed says that the connection was reset or closed during the call, as when the engine process dies.
	Crashed
	// TimedOut says that a timeout of the driver expired.
	TimedOut
	// Halted says that a Cancel effect ended the attempt, or that the caller stopped reading.
	Halted
)

// Event is an input of State.Reduce: Configured, Submitted, Started, Progressed, Completed, Failed, Cancelled,
// CacheReported, SuspicionReceived, DrainChanged or Ticked.
type Event interface{ isEvent() }

// Configured says that new settings apply.
type Configured struct{ settings Settings }

// NewConfigured returns the event that settings apply from now on.
func NewConfigured(settings Settings) Configured { return Configured{settings} }

// Submitted says that a call was admitted and is to be run.
type Submitted struct{ call caller.Call }

// NewSubmitted returns the event that call is to be run.
func NewSubmitted(call caller.Call) Submitted { return Submitted{call} }

// Started says that the first byte of an attempt's response arrived.
type Started struct{ attempt AttemptID }

// NewStarted returns the event that the response to attempt started.
func NewStarted(attempt AttemptID) Started { return Started{attempt} }

// Progressed says how many tokens the caller of a call has received so far, over all its attempts.
type Progressed struct {
	attempt AttemptID
	tokens  int
}

// NewProgressed returns the event that attempt progressed and the caller now has that many tokens.
func NewProgressed(attempt AttemptID, tokens int) Progressed { return Progressed{attempt, tokens} }

// Completed says that the answer is complete: the end marker arrived, and the token count and the call ID match.
type Completed struct{ attempt AttemptID }

// NewCompleted returns the event that attempt completed.
func NewCompleted(attempt AttemptID) Completed { return Completed{attempt} }

// Failed says that an attempt ended without a complete answer. The driver forwards nothing more of it.
type Failed struct {
	attempt AttemptID
	failure Failure
	tokens  int
}

// NewFailed returns the event that attempt failed; tokens is the number that the caller received over all attempts.
// A driver reports one Failed (Halted) for each Cancel, or the Completed or other failure that preceded it.
func NewFailed(attempt AttemptID, failure Failure, tokens int) Failed {
	return Failed{attempt, failure, tokens}
}

// Cancelled says that the caller of a call disconnected.
type Cancelled struct{ id caller.ID }

// NewCancelled returns the event that the caller of the call id disconnected.
func NewCancelled(id caller.ID) Cancelled { return Cancelled{id} }

// CacheReported says which prefix blocks a replica added to its cache and removed from it, or lists all that it caches.
type CacheReported struct {
	replica    instance.ReplicaID
	boot       instance.BootID
	sequence   uint64
	isSnapshot bool
	stored     []uint64
	removed    []uint64
}

// NewCacheReported returns the cache event of replica with that sequence number: the hashes of the prefix blocks stored
// and removed.
func NewCacheReported(replica instance.ReplicaID, sequence uint64, stored, removed []uint64) CacheReported {
	return CacheReported{replica: replica, sequence: sequence, stored: stored, removed: removed}
}

// NewCacheSnapshot returns the hashes of all prefix blocks that replica caches after the event with that sequence
// number. It is the response to ResyncCache.
func NewCacheSnapshot(replica instance.ReplicaID, sequence uint64, stored []uint64) CacheReported {
	return CacheReported{replica: replica, sequence: sequence, isSnapshot: true, stored: stored}
}

// WithBoot returns the event as reported by the engine process boot. Each process has its own sequence numbers.
func (c CacheReported) WithBoot(boot instance.BootID) CacheReported {
	c.boot = boot
	return c
}

// SuspicionReceived says that another daemon published a suspicion of a call's content.
type SuspicionReceived struct{ suspicion Suspicion }

// NewSuspicionReceived returns the event that suspicion was received from another daemon.
func NewSuspicionReceived(suspicion Suspicion) SuspicionReceived { return SuspicionReceived{suspicion} }

// DrainChanged says whether a replica is draining; a draining replica gets no new calls.
type DrainChanged struct {
	replica  instance.ReplicaID
	draining bool
}

// NewDrainChanged returns the event that the drain of replica began (draining) or was undone.
func NewDrainChanged(replica instance.ReplicaID, draining bool) DrainChanged {
	return DrainChanged{replica, draining}
}

// Ticked says that the clock advanced. The driver reports it at least every 100 ms.
type Ticked struct{}

// NewTicked returns the event that the clock advanced.
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
