package operator

import "github.com/azurepond/azurepond/pkg/object"

// Effect is an output of State.Reduce: Store, Answer, Publish or ExecuteAction.
type Effect interface{ isEffect() }

// Store sends a request to the object API.
type Store struct{ request object.Request }

// Request returns the request. StoreCompleted reports its result.
func (s Store) Request() object.Request { return s.request }

// Answer answers a request of an operator.
type Answer struct {
	request RequestID
	outcome Outcome
}

// Request returns the ID of the operator's request.
func (a Answer) Request() RequestID { return a.request }

// Outcome returns the outcome of the request.
func (a Answer) Outcome() Outcome { return a.outcome }

// Publish announces a newer configuration, active in this daemon, to the peers.
type Publish struct {
	revision Revision
	document []byte
}

// DocumentName is the name of the configuration among the documents that peers exchange.
const DocumentName = "configuration"

// Revision returns the revision of the configuration. A higher revision replaces a lower one.
func (p Publish) Revision() Revision { return p.revision }

// Document returns the encoded configuration, which ParseFleet and ConfigReceived read.
func (p Publish) Document() []byte { return p.document }

// ExecuteAction executes a planned action in the component that manages its target.
type ExecuteAction struct {
	author string
	action Action
}

// Author returns the operator who requested the action.
func (e ExecuteAction) Author() string { return e.author }

// Action returns the planned action.
func (e ExecuteAction) Action() Action { return e.action }

func (Store) isEffect() {}

func (Answer) isEffect() {}

func (Publish) isEffect() {}

func (ExecuteAction) isEffect() {}
