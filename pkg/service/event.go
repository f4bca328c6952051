package service

import (
	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/object"
)

// AttemptID names one try of a call on one upstream, unique within one daemon.
type AttemptID uint64

// Failure tells how an attempt failed.
type Failure uint8

// The failures that a driver reports.
const (
	// NotSent says that no byte of the call reached the upstream, nor ever will.
	NotSent Failure = iota
	// Broken says that the call may have run, but its whole answer did not come.
	AnswerIncomplete
	// Crossed says that the answer belongs to another call; this one may have run.
	IdentityMismatch
	// Halted says that the attempt was ended by a Cancel effect; the call may have run.
	Halted
)

// Answer is what a service answered.
type Answer struct {
	status      int
	contentType string
	body        []byte
	bodyStored  bool
}

// NewAnswer returns an answer with an HTTP status, a content type and a body, of which only up to MaxKept is kept.
func NewAnswer(status int, kind string, body []byte) Answer {
	if len(body) > MaxStoredAnswerBytes {
		return Answer{status: status, contentType: kind}
	}
	return Answer{status: status, contentType: kind, body: body, bodyStored: true}
}

// Status returns the HTTP status.
func (a Answer) Status() int { return a.status }

// ContentType returns the content type.
func (a Answer) ContentType() string { return a.contentType }

// Body returns the body.
func (a Answer) Body() []byte { return a.body }

// Event is something that the decisions towards services react to: Configured, Submitted, Resulted, Replied, Failed,
// Cancelled, Upstreams, Peers or Ticked.
type Event interface{ isEvent() }

// Configured says that new settings are in force.
type Configured struct{ settings Settings }

// NewConfigured returns the event of settings coming into force.
func NewConfigured(settings Settings) Configured { return Configured{settings} }

// Submitted says that a call was admitted and has to run.
type Submitted struct{ call caller.Call }

// NewSubmitted returns the event of call having to run.
func NewSubmitted(call caller.Call) Submitted { return Submitted{call} }

// StoreCompleted says what became of a Store effect.
type StoreCompleted struct{ result object.Result }

// NewStoreCompleted returns the event of a request to the object API ending with result.
func NewStoreCompleted(result object.Result) StoreCompleted { return StoreCompleted{result} }

// Replied says that the whole answer of an attempt came; the driver keeps it until Finish.
type Replied struct {
	attempt AttemptID
	answer  Answer
}

// NewReplied returns the event of attempt being answered.
func NewReplied(attempt AttemptID, answer Answer) Replied { return Replied{attempt, answer} }

// Failed says that an attempt ended without a whole answer.
type Failed struct {
	attempt AttemptID
	failure Failure
}

// NewFailed returns the event of attempt failing; a driver answers each Cancel with it unless Replied came first.
func NewFailed(attempt AttemptID, failure Failure) Failed { return Failed{attempt, failure} }

// Cancelled says that the caller of a call went away.
type Cancelled struct{ id caller.ID }

// NewCancelled returns the event of the caller of the call id going away.
func NewCancelled(id caller.ID) Cancelled { return Cancelled{id} }

// UpstreamsChanged says which processes of a service live; it replaces the list before it.
type UpstreamsChanged struct {
	service   string
	upstreams []Upstream
}

// NewUpstreamsChanged returns the event of learning which processes of service live.
func NewUpstreamsChanged(service string, upstreams ...Upstream) UpstreamsChanged {
	return UpstreamsChanged{service, upstreams}
}

// PeersChanged says which daemons live, this one included; it replaces the list before it.
type PeersChanged struct{ names []string }

// NewPeersChanged returns the event of learning that the daemons called names live and that this one is called own.
func NewPeersChanged(own string, names ...string) PeersChanged {
	return PeersChanged{append([]string{own}, names...)}
}

// Ticked says that time went on; it is due at least every 100 ms.
type Ticked struct{}

// NewTicked returns the event of time going on.
func NewTicked() Ticked { return Ticked{} }

func (Configured) isEvent() {}

func (Submitted) isEvent() {}

func (StoreCompleted) isEvent() {}

func (Replied) isEvent() {}

func (Failed) isEvent() {}

func (Cancelled) isEvent() {}

func (UpstreamsChanged) isEvent() {}

func (PeersChanged) isEvent() {}

func (Ticked) isEvent() {}
