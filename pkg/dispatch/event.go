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
	attempt Attempt
	load    Load
}

// NewStarted returns the event that an attempt is answered, with the load that the upstream reports.
func NewStarted(attempt Attempt, load Load) Started { return Started{attempt, load} }

// Flowed says that the first event of a stream came.
type Flowed struct{ attempt Attempt }

// NewFlowed returns the event that the first event of an attempt came.
func NewFlowed(attempt Attempt) Flowed { return Flowed{attempt} }

// Silenced says that a stream brought nothing for the time that its Send named; it comes again each time that it passes.
type Silenced struct {
	attempt Attempt
	pauses  int
}

// NewSilenced returns the event that an attempt brought nothing for that many pauses in a row.
func NewSilenced(attempt Attempt, pauses int) Silenced { return Silenced{attempt, pauses} }

// Ended says that the caller has the whole answer of an attempt.
type Ended struct{ attempt Attempt }

// NewEnded returns the event that an attempt ended whole.
func NewEnded(attempt Attempt) Ended { return Ended{attempt} }

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
	attempt Attempt
	failure Failure
	started bool
	last    string
	fault   string
	load    Load
}

// NewFailed returns the event that an attempt failed.
func NewFailed(attempt Attempt, failure Failure) Failed {
	return Failed{attempt: attempt, failure: failure}
}

// WithProgress returns the event of an attempt of which the caller has the beginning, up to the event of that id.
func (f Failed) WithProgress(last string) Failed {
	f.started, f.last = true, last
	return f
}

// WithFault returns the event with the upstream that is at fault, and the load that came with the refusal.
func (f Failed) WithFault(fault string, load Load) Failed {
	f.fault, f.load = fault, load
	return f
}

// Verdict is the answer to a question for a place.
type Verdict uint8

// The answers to a question for a place.
const (
	// Denied says that there is no place, and none is to be waited for.
	Denied Verdict = iota
	// Given says that the call has a place.
	Given
	// Waits says that the call gets a place as soon as one is free; another answer follows.
	Waits
	// Uncounted says that the daemon knows of no replica in the share, as after its start.
	Uncounted
)

// Granted says whether there is a place for a call.
type Granted struct {
	ask      uint64
	verdict  Verdict
	upstream string
	calls    int
	excess   int
}

// NewGranted returns the event that a question was answered; excess is how many calls wait in the share, less the places
// that are free.
func NewGranted(ask uint64, verdict Verdict, excess int) Granted {
	return Granted{ask: ask, verdict: verdict, excess: excess}
}

// WithPlace returns the event of a call that has a place at an upstream, which has that many calls with it.
func (g Granted) WithPlace(upstream string, calls int) Granted {
	g.upstream, g.calls = upstream, calls
	return g
}

// Ask returns the number of the question within the daemon that asked.
func (g Granted) Ask() uint64 { return g.ask }

// Verdict returns the answer.
func (g Granted) Verdict() Verdict { return g.verdict }

// Upstream returns the head of the replica at which the call has a place.
func (g Granted) Upstream() string { return g.upstream }

// Calls returns how many calls that replica has.
func (g Granted) Calls() int { return g.calls }

// Excess returns how many calls wait in the share, less the places that are free.
func (g Granted) Excess() int { return g.excess }

// Wished says that another daemon asks for a place.
type Wished struct {
	from string
	wish Wish
}

// NewWished returns the event that the daemon called from asks for a place.
func NewWished(from string, wish Wish) Wished { return Wished{from, wish} }

// Crashed says that a copy of a request was at an upstream that broke off.
type Crashed struct {
	content  uint64
	upstream string
}

// NewCrashed returns the event that a copy of the request with that content was at an upstream that broke off.
func NewCrashed(content uint64, upstream string) Crashed { return Crashed{content, upstream} }

// Condemned says that a request seems to crash upstreams.
type Condemned struct {
	content uint64
	crashes int
	lasts   time.Duration
}

// NewCondemned returns the event that copies of the request with that content were at that many crashes; it counts for a
// while.
func NewCondemned(content uint64, crashes int, lasts time.Duration) Condemned {
	return Condemned{content, crashes, lasts}
}

// Peered says which daemons are live.
type Peered struct{ names []string }

// NewPeered returns the event that the daemons of these names are live, this one among them or not.
func NewPeered(names []string) Peered { return Peered{names} }

// Claimed says how many calls another daemon has at some upstreams.
type Claimed struct {
	from string
	held map[string]Held
}

// NewClaimed returns the event that a daemon has so much at each of some replicas, by their heads.
func NewClaimed(from string, held map[string]Held) Claimed { return Claimed{from, held} }

// Left says that the caller of a request went away.
type Left struct{ id ID }

// NewLeft returns the event that the caller of a request went away.
func NewLeft(id ID) Left { return Left{id} }

// Broke says that a replica lost a member, so that its calls stand still.
type Broke struct{ head string }

// NewBroke returns the event that the replica of that head is broken.
func NewBroke(head string) Broke { return Broke{head} }

// Peers says how many daemons share the budgets.
type Peers struct{ count int }

// NewPeers returns the event that count daemons, this one among them, share the budgets.
func NewPeers(count int) Peers { return Peers{count} }

// Limited says how often requests may be sent again.
type Limited struct{ retries Retries }

// NewLimited returns the event that retries bounds how often requests are sent again.
func NewLimited(retries Retries) Limited { return Limited{retries} }

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

func (Flowed) isEvent() {}

func (Silenced) isEvent() {}

func (Ended) isEvent() {}

func (Failed) isEvent() {}

func (Granted) isEvent() {}

func (Wished) isEvent() {}

func (Claimed) isEvent() {}

func (Peered) isEvent() {}

func (Crashed) isEvent() {}

func (Condemned) isEvent() {}

func (Left) isEvent() {}

func (Broke) isEvent() {}

func (Peers) isEvent() {}

func (Limited) isEvent() {}

func (Stopping) isEvent() {}

func (Ticked) isEvent() {}

// WithFailure returns the event with another failure.
func (f Failed) WithFailure(failure Failure) Failed {
	f.failure = failure
	return f
}
