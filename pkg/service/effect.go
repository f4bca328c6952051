package service

import (
	"time"

	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/object"
)

// Effect is what the driver has to carry out: Store, Send, Cancel, Finish or Replay.
type Effect interface{ isEffect() }

// Store asks for one call to the object API, which answers with Resulted.
type Store struct{ request object.Request }

// Request returns the call to make.
func (s Store) Request() object.Request { return s.request }

// Send runs a call on an upstream; it goes on after the call finished, unless a Cancel ends it.
type Send struct {
	attempt  AttemptID
	call     caller.Call
	address  string
	notAfter time.Time
}

// Attempt returns the name of the try, which its reports carry.
func (s Send) Attempt() AttemptID { return s.attempt }

// Call returns the call to run.
func (s Send) Call() caller.Call { return s.call }

// Address returns the address (host:port) of the upstream.
func (s Send) Address() string { return s.address }

// NotAfter returns the time after which the first byte must not be sent; such an attempt fails as NotSent.
func (s Send) NotAfter() time.Time { return s.notAfter }

// Cancel ends an attempt; Failed follows, or Replied if that came first.
type Cancel struct{ attempt AttemptID }

// Attempt returns the try to end.
func (c Cancel) Attempt() AttemptID { return c.attempt }

// Finish ends a call; on Answered the driver passes on the answer of the attempt that replied.
type Finish struct {
	id      caller.ID
	outcome caller.Outcome
}

// ID returns the call that ends.
func (f Finish) ID() caller.ID { return f.id }

// Outcome returns how it ended.
func (f Finish) Outcome() caller.Outcome { return f.outcome }

// Replay ends a call as Answered with the answer that an earlier call with its key received.
type Replay struct {
	id     caller.ID
	answer Answer
}

// ID returns the call that ends.
func (r Replay) ID() caller.ID { return r.id }

// Answer returns the earlier answer.
func (r Replay) Answer() Answer { return r.answer }

func (Store) isEffect() {}

func (Send) isEffect() {}

func (Cancel) isEffect() {}

func (Finish) isEffect() {}

func (Replay) isEffect() {}
