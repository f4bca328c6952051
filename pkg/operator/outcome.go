package operator

import "github.com/azurepond/azurepond/pkg/yaml"

// RequestID names one request of an operator across the fleet; one that is sent again keeps its ID.
type RequestID string

// Outcome is what became of an operator's request: Accepted, Conflict, Refused, Unknown or Told.
type Outcome interface{ isOutcome() }

// Accepted says that the request took effect, once.
type Accepted struct{ revision Revision }

// NewAccepted returns the outcome of a request that created revision.
func NewAccepted(revision Revision) Accepted { return Accepted{revision} }

// Revision returns the revision that the request created; for a planned action, the one in force.
func (a Accepted) Revision() Revision { return a.revision }

// Conflict says that the request took no effect, since the team's configuration is no longer the one it builds on.
type Conflict struct {
	base    Config
	current Config
	changes []Change
}

// NewConflict returns the outcome of a request that builds on base, when the team's configuration is current by changes.
func NewConflict(base, current Config, changes []Change) Conflict {
	return Conflict{base, current, changes}
}

// Base returns the configuration that the request builds on, empty but for its revision when it is no longer kept.
func (c Conflict) Base() Config { return c.base }

// Current returns the team's present configuration.
func (c Conflict) Current() Config { return c.current }

// Changes returns the team's changes since the base that are still known, oldest first.
func (c Conflict) Changes() []Change { return c.changes }

// Refused says that the request took no effect, for good reasons.
type Refused struct {
	mistakes []yaml.Mistake
	// final says that no sending of the request can ever take effect.
	final bool
}

// NewRefused returns the outcome of a request that is turned away for mistakes.
func NewRefused(mistakes []yaml.Mistake) Refused { return Refused{mistakes: mistakes} }

// Mistakes returns the reasons.
func (r Refused) Mistakes() []yaml.Mistake { return r.mistakes }

// Unknown says that the request may have taken effect; sending it again under the same ID is safe and tells.
type Unknown struct{ reason string }

// NewUnknown returns the outcome of a request that may have taken effect.
func NewUnknown(reason string) Unknown { return Unknown{reason} }

// Reason returns why it is not known.
func (u Unknown) Reason() string { return u.reason }

// ReadResult answers a question to the store; it changes nothing.
type ReadResult struct {
	current Config
	changes []Change
}

// NewReadResult returns the answer that the store holds current for a team, and changes of it.
func NewReadResult(current Config, changes []Change) ReadResult { return ReadResult{current, changes} }

// Current returns the team's configuration as the store holds it.
func (t ReadResult) Current() Config { return t.current }

// Changes returns the team's changes that are still kept, oldest first; for FleetTeam, those of all teams.
func (t ReadResult) Changes() []Change { return t.changes }

func (Accepted) isOutcome() {}

func (Conflict) isOutcome() {}

func (Refused) isOutcome() {}

func (Unknown) isOutcome() {}

func (ReadResult) isOutcome() {}
