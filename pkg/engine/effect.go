package engine

import (
	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/instance"
)

// Effect is what a driver or another part has to do: Send, Cancel, Finish, Suspect, Read or Resync.
type Effect interface{ isEffect() }

// Send runs a call on a replica.
type Send struct {
	attempt     AttemptID
	call        caller.Call
	replica     instance.ReplicaID
	address     string
	tokenOffset int
}

// Attempt returns the name of the try, which its reports carry.
func (s Send) Attempt() AttemptID { return s.attempt }

// Call returns the call to run.
func (s Send) Call() caller.Call { return s.call }

// Replica returns the replica that runs it.
func (s Send) Replica() instance.ReplicaID { return s.replica }

// Address returns where the replica takes calls.
func (s Send) Address() string { return s.address }

// TokenOffset returns the number of tokens that the caller has; the engine begins with the one after them.
func (s Send) TokenOffset() int { return s.tokenOffset }

// Cancel ends an attempt; from then on nothing of it is passed on, and Failed or Ended follows.
type Cancel struct{ attempt AttemptID }

// Attempt returns the try to end.
func (c Cancel) Attempt() AttemptID { return c.attempt }

// Finish ends a call.
type Finish struct {
	id      caller.ID
	outcome caller.Outcome
}

// ID returns the call that ends.
func (f Finish) ID() caller.ID { return f.id }

// Outcome returns how it ended.
func (f Finish) Outcome() caller.Outcome { return f.outcome }

// PublishSuspicion tells the other daemons what was found out about a call's content.
type PublishSuspicion struct{ suspicion Suspicion }

// Suspicion returns what was found out.
func (s PublishSuspicion) Suspicion() Suspicion { return s.suspicion }

// ReadCacheEvents reads the cache events of a replica; a Cached for each follows, or one without blocks if there are none.
type ReadCacheEvents struct {
	replica instance.ReplicaID
	address string
	after   uint64
}

// Replica returns the replica to ask.
func (r ReadCacheEvents) Replica() instance.ReplicaID { return r.replica }

// Address returns where the replica takes calls.
func (r ReadCacheEvents) Address() string { return r.address }

// After returns the number of the last event that is known.
func (r ReadCacheEvents) After() uint64 { return r.after }

// ResyncCache reads again all that a replica caches; Cached with the whole list follows.
type ResyncCache struct {
	replica instance.ReplicaID
	address string
}

// Replica returns the replica to ask.
func (r ResyncCache) Replica() instance.ReplicaID { return r.replica }

// Address returns where the replica takes calls.
func (r ResyncCache) Address() string { return r.address }

func (Send) isEffect() {}

func (Cancel) isEffect() {}

func (Finish) isEffect() {}

func (PublishSuspicion) isEffect() {}

func (ReadCacheEvents) isEffect() {}

func (ResyncCache) isEffect() {}
