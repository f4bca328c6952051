package operator

import "github.com/azurepond/azurepond/pkg/yaml"

// RequestID identifies one request of an operator across the fleet. A retry keeps the ID.
type RequestID string

// Outcome is the outcome of an operator's request: Accepted, Conflict, Refused, Unknown or ReadResult.
type Outcome interface{ isOutcome() }

// Accepted means that the request took effect exactly once.
type Accepted struct{ revision Revision }

// NewAccepted returns the outcome of a request that took effect in revision.
func NewAccepted(revision Revision) Accepted { return Accepted{revision} }

// Revision returns the revision that the request created. For a planned action that was already in effect, it is the
// current revision.
func (a Accepted) Revision() Revision { return a.revision }

// Conflict means that the request took no effect, since the team's configuration has changed since its base revision.
type Conflict struct {
	base    Config
	current Config
	changes []Change
}

// NewConflict returns the outcome of a request based on base. The configuration is now current, after changes.
func NewConflict(base, current Config, changes []Change) Conflict {
	return Conflict{base, current, changes}
}

// Base returns the base configuration of the request. It has only a team and a revision if the history no longer
// contains it.
func (c Conflict) Base() Config { return c.base }

// Current returns the current configuration of the team.
func (c Conflict) Current() Config { return c.current }

// Changes returns the team's changes since the base that are still in the history, oldest first.
func (c Conflict) Changes() []Change { return c.changes }

// Refused means that the request is invalid or cannot be processed, and took no effect.
type Refused struct {
	mistakes []yaml.Mistake
	// permanent reports that no attempt of the request can ever take effect.
	permanent bool
}

// NewRefused returns the outcome of a request that is refused because of mistakes.
func NewRefused(mistakes []yaml.Mistake) Refused { return Refused{mistakes: mistakes} }

// Mistakes returns the reasons for the refusal.
func (r Refused) Mistakes() []yaml.Mistake { return r.mistakes }

// Unknown means that the request may have taken effect. A retry with the same ID is safe and returns the outcome.
type Unknown struct{ reason string }

// NewUnknown returns the outcome of a request that may have taken effect.
func NewUnknown(reason string) Unknown { return Unknown{reason} }

// Reason returns why the outcome is not known.
func (u Unknown) Reason() string { return u.reason }

// ReadResult is the outcome of a read of the store.
type ReadResult struct {
	current Config
	changes []Change
}

// NewReadResult returns the result of a read: the stored configuration of a team and its changes.
func NewReadResult(current Config, changes []Change) ReadResult { return ReadResult{current, changes} }

// Current returns the stored configuration of the team.
func (r ReadResult) Current() Config { return r.current }

// Changes returns the changes of the team in the history, oldest first. For FleetTeam it returns those of all teams.
func (r ReadResult) Changes() []Change { return r.changes }

func (Accepted) isOutcome() {}

func (Conflict) isOutcome() {}

func (Refused) isOutcome() {}

func (Unknown) isOutcome() {}

func (ReadResult) isOutcome() {}
