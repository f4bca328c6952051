package engine

import (
	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/instance"
)

// Effect is an output of State.Reduce for a driver or another package to execute: Send, Cancel, Finish,
// PublishSuspicion, ReadCacheEvents or ResyncCache.
type Effect interface{ isEffect() }

// Send runs a call on a replica.
type Send struct {
	attempt     AttemptID
	call        caller.Call
	replica     instance.ReplicaID
	address     string
	tokenOffset int
}

// Attempt returns the ID of the attempt, which the events about it carry.
func (s Send) Attempt() AttemptID { return s.attempt }

// Call returns the call to run.
func (s Send) Call() caller.Call { return s.call }

// Replica returns the replica that runs it.
func (s Send) Replica() instance.ReplicaID { return s.replica }

// Address returns the address at which the replica accepts calls.
func (s Send) Address() string { return s.address }

// TokenOffset returns the number of tokens that the caller already has. The engine resumes with the next one.
func (s Send) TokenOffset() int { return s.tokenOffset }

// Cancel ends an attempt. From then on the driver forwards nothing of it, and reports Failed or Completed.
type Cancel struct{ attempt AttemptID }

// Attempt returns the attempt to end.
func (c Cancel) Attempt() AttemptID { return c.attempt }

// Finish ends a call with its outcome.
type Finish struct {
	id      caller.ID
	outcome caller.Outcome
}

// ID returns the call that ends.
func (f Finish) ID() caller.ID { return f.id }

// Outcome returns how the call ended.
func (f Finish) Outcome() caller.Outcome { return f.outcome }

// PublishSuspicion sends a suspicion of a call's content to the other daemons.
type PublishSuspicion struct{ suspicion Suspicion }

// Suspicion returns the suspicion to send.
func (s PublishSuspicion) Suspicion() Suspicion { return s.suspicion }

// ReadCacheEvents reads the cache events of a replica. A CacheReported follows for each event, or one without blocks if
// there are none.
type ReadCacheEvents struct {
	replica instance.ReplicaID
	address string
	after   uint64
}

// Replica returns the replica to read from.
func (r ReadCacheEvents) Replica() instance.ReplicaID { return r.replica }

// Address returns the address at which the replica accepts calls.
func (r ReadCacheEvents) Address() string { return r.address }

// After returns the sequence number of the last event received.
func (r ReadCacheEvents) After() uint64 { return r.after }

// ResyncCache reads all that a replica caches. A CacheReported with the snapshot follows.
type ResyncCache struct {
	replica instance.ReplicaID
	address string
}

// Replica returns the replica to read from.
func (r ResyncCache) Replica() instance.ReplicaID { return r.replica }

// Address returns the address at which the replica accepts calls.
func (r ResyncCache) Address() string { return r.address }

func (Send) isEffect() {}

func (Cancel) isEffect() {}

func (Finish) isEffect() {}

func (PublishSuspicion) isEffect() {}

func (ReadCacheEvents) isEffect() {}

func (ResyncCache) isEffect() {}
