package service

import (
	"time"

	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/object"
)

// Effect is an action for the driver: Store, Send, Cancel, Finish or Replay.
type Effect interface{ isEffect() }

// Store sends one request to the object API; a StoreCompleted event follows.
type Store struct{ request object.Request }

// Request returns the request to send.
func (s Store) Request() object.Request { return s.request }

// Send starts an attempt to run a call on an upstream. It continues after the call finished, unless a Cancel ends it.
type Send struct {
	attempt  AttemptID
	call     caller.Call
	address  string
	notAfter time.Time
}

// Attempt returns the ID of the attempt.
func (s Send) Attempt() AttemptID { return s.attempt }

// Call returns the call to run.
func (s Send) Call() caller.Call { return s.call }

// Address returns the address (host:port) of the upstream.
func (s Send) Address() string { return s.address }

// NotAfter returns the time after which the first byte must not be sent. The attempt then fails with NotSent.
func (s Send) NotAfter() time.Time { return s.notAfter }

// Cancel ends an attempt; Failed follows, or Replied if the answer was complete before.
type Cancel struct{ attempt AttemptID }

// Attempt returns the ID of the attempt to end.
func (c Cancel) Attempt() AttemptID { return c.attempt }

// Finish ends a call. If the outcome is Answered, the driver forwards the answer of the attempt that replied.
type Finish struct {
	id      caller.ID
	outcome caller.Outcome
}

// ID returns the ID of the call.
func (f Finish) ID() caller.ID { return f.id }

// Outcome returns the outcome of the call.
func (f Finish) Outcome() caller.Outcome { return f.outcome }

// Replay ends a call as Answered, with the stored answer of an earlier call with the same key.
type Replay struct {
	id     caller.ID
	answer Answer
}

// ID returns the ID of the call.
func (r Replay) ID() caller.ID { return r.id }

// Answer returns the stored answer.
func (r Replay) Answer() Answer { return r.answer }

func (Store) isEffect() {}

func (Send) isEffect() {}

func (Cancel) isEffect() {}

func (Finish) isEffect() {}

func (Replay) isEffect() {}
