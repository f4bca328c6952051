package dispatch

import (
	"time"

	"github.com/azurepond/azurepond/pkg/route"
)

// Effect is what a driver has to do: Send, Cancel, Refuse, Fail, Deliver, Drop, Suspect or Note.
type Effect interface{ isEffect() }

// Send runs a request at an upstream.
type Send struct {
	attempt      Attempt
	id           ID
	route        string
	upstream     string
	address      string
	organisation string
	priority     int
	left         time.Duration
	last         string
	kind         route.Kind
	silence      time.Duration
}

// Attempt returns the name of the try, which its reports carry.
func (s Send) Attempt() Attempt { return s.attempt }

// ID returns the request.
func (s Send) ID() ID { return s.id }

// Route returns the name of the route that the request came on.
func (s Send) Route() string { return s.route }

// Upstream returns the upstream that runs it.
func (s Send) Upstream() string { return s.upstream }

// Address returns where the upstream listens, as host:port.
func (s Send) Address() string { return s.address }

// Organisation returns the organisation whose caller it is, empty on a public route.
func (s Send) Organisation() string { return s.organisation }

// Priority returns the priority of the request, 0 for the most urgent.
func (s Send) Priority() int { return s.priority }

// Left returns the time in which the answer is due.
func (s Send) Left() time.Duration { return s.left }

// Last returns the id of the last event that the caller has, empty to begin from the start.
func (s Send) Last() string { return s.last }

// Kind returns what may be repeated.
func (s Send) Kind() route.Kind { return s.kind }

// Silence returns the pause after which Silenced is to be reported.
func (s Send) Silence() time.Duration { return s.silence }

// Cancel ends an attempt; Failed or Ended follows.
type Cancel struct{ attempt Attempt }

// Attempt returns the try to end.
func (c Cancel) Attempt() Attempt { return c.attempt }

// Refuse tells the caller that the request did not run and never will.
type Refuse struct {
	id     ID
	reason Reason
	again  time.Duration
}

// ID returns the request.
func (r Refuse) ID() ID { return r.id }

// Reason returns why.
func (r Refuse) Reason() Reason { return r.reason }

// Again returns when to come back, 0 if that does not help.
func (r Refuse) Again() time.Duration { return r.again }

// Fail tells the caller that there is no answer, and promises nothing; an answer that has begun is broken off.
type Fail struct {
	id      ID
	reason  Reason
	expired bool
}

// ID returns the request.
func (f Fail) ID() ID { return f.id }

// Reason returns why.
func (f Fail) Reason() Reason { return f.reason }

// Expired reports whether the time for an answer ran out.
func (f Fail) Expired() bool { return f.expired }

// Deliver passes on the failure that the last attempt's upstream answered with.
type Deliver struct{ id ID }

// ID returns the request.
func (d Deliver) ID() ID { return d.id }

// Drop ends a request whose caller is gone.
type Drop struct{ id ID }

// ID returns the request.
func (d Drop) ID() ID { return d.id }

// Ask asks the daemon that keeps count of a replica for a place; Granted follows if it is answered.
type Ask struct {
	owner string
	wish  Wish
}

// Owner returns the daemon that is asked.
func (a Ask) Owner() string { return a.owner }

// Wish returns the question.
func (a Ask) Wish() Wish { return a.wish }

// Claim tells the daemon that keeps count how many calls this one has at some replicas.
type Claim struct {
	owner string
	held  map[string]Held
}

// Owner returns the daemon that is told.
func (c Claim) Owner() string { return c.owner }

// Held returns what this daemon has at each replica, by its head.
func (c Claim) Held() map[string]Held { return c.held }

// Grant answers a daemon that asked for a place.
type Grant struct {
	to     string
	answer Granted
}

// To returns the daemon that asked.
func (g Grant) To() string { return g.to }

// Answer returns what it is told.
func (g Grant) Answer() Granted { return g.answer }

// Crash tells the daemon that counts crashes that a copy of a request was at an upstream that broke off.
type Crash struct {
	content  uint64
	upstream string
}

// Content returns the hash of what the request asks for.
func (c Crash) Content() uint64 { return c.content }

// Upstream returns the upstream that broke off.
func (c Crash) Upstream() string { return c.upstream }

// Condemn tells all daemons at how many crashes copies of a request were.
type Condemn struct {
	content uint64
	crashes int
	lasts   time.Duration
}

// Content returns the hash of what the request asks for.
func (c Condemn) Content() uint64 { return c.content }

// Crashes returns at how many crashes copies were.
func (c Condemn) Crashes() int { return c.crashes }

// Lasts returns for how long that counts.
func (c Condemn) Lasts() time.Duration { return c.lasts }

// Suspect says that an upstream may be dead.
type Suspect struct {
	upstream string
	reason   string
}

// Upstream returns the upstream that may be dead.
func (s Suspect) Upstream() string { return s.upstream }

// Reason returns what makes it suspect.
func (s Suspect) Reason() string { return s.reason }

// What was decided on a request.
const (
	NoteSent      = "sent"
	NoteQueued    = "queued"
	NoteRefused   = "refused"
	NoteAnswered  = "answered"
	NoteFailed    = "failed"
	NoteDelivered = "failure passed on"
	NoteDropped   = "dropped"
	NoteAttempt   = "attempt failed"
)

// Note is a decision on a request, for the log.
type Note struct {
	name     string
	content  uint64
	what     string
	route    string
	upstream string
	reason   string
	after    time.Duration
	inputs   Inputs
}

// Inputs are what decided on a request.
type Inputs struct {
	heads   int
	calls   float64
	best    time.Duration
	waiting int
	age     time.Duration
}

// Name returns the name that the caller gave the request.
func (n Note) Name() string { return n.name }

// Content returns the hash of what the request asks for, by which lines about copies of it are found.
func (n Note) Content() uint64 { return n.content }

// What returns the decision in a word.
func (n Note) What() string { return n.what }

// Route returns the name of the route.
func (n Note) Route() string { return n.route }

// Upstream returns the upstream that the decision is about, empty for none.
func (n Note) Upstream() string { return n.upstream }

// Reason returns why it was decided.
func (n Note) Reason() string { return n.reason }

// After returns how long after its arrival the request was decided on.
func (n Note) After() time.Duration { return n.after }

// Inputs returns what decided.
func (n Note) Inputs() Inputs { return n.inputs }

// Upstreams returns how many upstreams could be chosen from.
func (i Inputs) Upstreams() int { return i.heads }

// Calls returns how many calls the chosen upstream was believed to have.
func (i Inputs) Calls() float64 { return i.calls }

// Expected returns the time to the first event that was expected there.
func (i Inputs) Expected() time.Duration { return i.best }

// Waiting returns how many requests waited here.
func (i Inputs) Waiting() int { return i.waiting }

// Age returns the age of the load that the upstream last reported.
func (i Inputs) Age() time.Duration { return i.age }

func (Send) isEffect() {}

func (Cancel) isEffect() {}

func (Refuse) isEffect() {}

func (Fail) isEffect() {}

func (Deliver) isEffect() {}

func (Drop) isEffect() {}

func (Ask) isEffect() {}

func (Claim) isEffect() {}

func (Grant) isEffect() {}

func (Crash) isEffect() {}

func (Condemn) isEffect() {}

func (Suspect) isEffect() {}

func (Note) isEffect() {}

// Reason says why a request is not answered.
type Reason uint8

// The reasons.
const (
	Unconfigured Reason = iota
	NoRoute
	NoKey
	NoUpstream
	Overload
	Exhausted
	BudgetSpent
	Lost
	Timeout
	CallerGone
	Stopped
	Poison
)

var reasonNames = [...]string{
	"no configuration yet", "no route", "unknown key", "no upstream", "overload", "attempts exhausted",
	"retry budget spent", "answer lost", "timeout", "caller gone", "stopping", "crashes upstreams",
}

// String returns the reason in words.
func (r Reason) String() string { return reasonNames[r] }
