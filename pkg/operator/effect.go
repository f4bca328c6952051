package operator

import "github.com/azurepond/azurepond/pkg/object"

// Effect is what the decisions towards operators want done: Store, Answer, Publish or Plan.
type Effect interface{ isEffect() }

// Store wants a request sent to the object API.
type Store struct{ request object.Request }

// Request returns the request; its result comes back as Resulted.
func (s Store) Request() object.Request { return s.request }

// Answer wants an operator's request answered.
type Answer struct {
	request RequestID
	outcome Outcome
}

// Request returns the operator's request.
func (a Answer) Request() RequestID { return a.request }

// Outcome returns what became of it.
func (a Answer) Outcome() Outcome { return a.outcome }

// Publish says that a newer configuration is in force in this daemon and wants it spread to peers.
type Publish struct {
	revision Revision
	document []byte
}

// DocumentName is the name of the configuration among the documents that peers spread.
const DocumentName = "configuration"

// Revision returns the revision of the configuration; a higher one replaces a lower one.
func (p Publish) Revision() Revision { return p.revision }

// Document returns the configuration as bytes, which ParseFleet and Adopted read.
func (p Publish) Document() []byte { return p.document }

// ExecuteAction wants a planned action carried out by the part that it concerns.
type ExecuteAction struct {
	author string
	action Action
}

// Author returns who asked for the action.
func (p ExecuteAction) Author() string { return p.author }

// Action returns the planned action.
func (p ExecuteAction) Action() Action { return p.action }

func (Store) isEffect() {}

func (Answer) isEffect() {}

func (Publish) isEffect() {}

func (ExecuteAction) isEffect() {}
