package service

import (
	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/object"
)

// AttemptID identifies one attempt to run a call on one upstream, within one daemon.
type AttemptID uint64

// Failure is how an attempt failed.
type Failure uint8

// The failures that a driver reports.
const (
	// NotSent means that no byte of the call reached the upstream, nor ever will.
	NotSent Failure = iota
	// AnswerIncomplete means that the call may have run, but its complete answer did not arrive.
	AnswerIncomplete
	// IdentityMismatch means that the answer belongs to another call; this one may have run.
	IdentityMismatch
	// Halted means that a Cancel effect ended the attempt; the call may have run.
	Halted
)

// Answer is the response of a service.
type Answer struct {
	status      int
	contentType string
	body        []byte
	bodyStored  bool // false if the body was dropped
}

// NewAnswer returns an answer with an HTTP status, a content type and a body. A body of more than MaxStoredAnswerBytes
// is dropped.
func NewAnswer(status int, contentType string, body []byte) Answer {
	if len(body) > MaxStoredAnswerBytes {
		return Answer{status: status, contentType: contentType}
	}
	return Answer{status: status, contentType: contentType, body: body, bodyStored: true}
}

// Status returns the HTTP status.
func (a Answer) Status() int { return a.status }

// ContentType returns the content type.
func (a Answer) ContentType() string { return a.contentType }

// Body returns the body.
func (a Answer) Body() []byte { return a.body }

// Event is an input of State.Reduce: Configured, Submitted, StoreCompleted, Replied, Failed, Cancelled,
// UpstreamsChanged, PeersChanged or Ticked.
type Event interface{ isEvent() }

// Configured replaces the settings.
type Configured struct{ settings Settings }

// NewConfigured returns the event that replaces the settings.
func NewConfigured(settings Settings) Configured { return Configured{settings} }

// Submitted reports an admitted call that must run.
type Submitted struct{ call caller.Call }

// NewSubmitted returns the event that call was admitted.
func NewSubmitted(call caller.Call) Submitted { return Submitted{call} }

// StoreCompleted reports the result of a Store effect.
type StoreCompleted struct{ result object.Result }

// NewStoreCompleted returns the event that a request to the object API ended with result.
func NewStoreCompleted(result object.Result) StoreCompleted { return StoreCompleted{result} }

// Replied reports the complete answer of an attempt; the driver keeps it until Finish.
type Replied struct {
	attempt AttemptID
	answer  Answer
}

// NewReplied returns the event that answer is the complete answer of attempt.
func NewReplied(attempt AttemptID, answer Answer) Replied { return Replied{attempt, answer} }

// Failed reports that an attempt ended without a complete answer.
type Failed struct {
	attempt AttemptID
	failure Failure
}

// NewFailed returns the event that attempt failed. A driver sends it for each Cancel unless it has sent Replied before.
func NewFailed(attempt AttemptID, failure Failure) Failed { return Failed{attempt, failure} }

// Cancelled reports that the caller of a call disconnected.
type Cancelled struct{ id caller.ID }

// NewCancelled returns the event that the caller of the call id disconnected.
func NewCancelled(id caller.ID) Cancelled { return Cancelled{id} }

// UpstreamsChanged replaces the list of live processes of a service.
type UpstreamsChanged struct {
	service   string
	upstreams []Upstream
}

// NewUpstreamsChanged returns the event that upstreams are the live processes of service.
func NewUpstreamsChanged(service string, upstreams ...Upstream) UpstreamsChanged {
	return UpstreamsChanged{service, upstreams}
}

// PeersChanged replaces the list of live daemons, which includes this one.
type PeersChanged struct{ names []string }

// NewPeersChanged returns the event that names are the live daemons and own is the name of this one.
func NewPeersChanged(own string, names ...string) PeersChanged {
	return PeersChanged{append([]string{own}, names...)}
}

// Ticked drives the timeouts. It must arrive at least every 100 ms.
type Ticked struct{}

// NewTicked returns the event that drives the timeouts.
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
