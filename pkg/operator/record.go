package operator

import (
	"time"

	"github.com/azurepond/azurepond/pkg/object"
)

// The limits of the stored record.
const (
	maxHistoryChanges = 64
	maxHistoryBytes   = 512 << 10
	maxPlannedActions = 512
	maxRecordBytes    = object.MaxValueBytes - 64<<10
)

// recordKey is the key of the object that holds the configuration of all teams.
var recordKey = object.NewKey("configurations", "fleet")

// RevisionField is the name of the top-level JSON field that holds the revision in the object under ObjectKey.
const RevisionField = "revision"

// ObjectKey returns the key of the object that holds the accepted configuration of all teams.
func ObjectKey() object.Key { return recordKey }

// record is the content of the object under recordKey.
type record struct {
	fleet   Fleet
	history []Change
}

// Change is one accepted change of the configuration.
type Change struct {
	revision   Revision
	base       Revision
	team       string
	author     string
	request    RequestID
	acceptedAt time.Time
	config     Config
	action     Action
}

// Revision returns the revision that the change created.
func (c Change) Revision() Revision { return c.revision }

// Base returns the revision of the team's configuration that the change is based on.
func (c Change) Base() Revision { return c.base }

// Team returns the team that made the change.
func (c Change) Team() string { return c.team }

// Author returns the operator who made the change.
func (c Change) Author() string { return c.author }

// AcceptedAt returns when the change was accepted, by the clock of the daemon that wrote it.
func (c Change) AcceptedAt() time.Time { return c.acceptedAt }

// Config returns the team's configuration after the change, or the zero value for a planned action.
func (c Change) Config() Config { return c.config }

// Action returns the planned action, or the zero value for a change of a configuration.
func (c Change) Action() Action { return c.action }

// IsAction reports whether the change is a planned action.
func (c Change) IsAction() bool { return c.action != Action{} }

// plannedAction is a planned action in effect until it is undrained or replaced.
type plannedAction struct {
	action     Action
	team       string
	author     string
	acceptedAt time.Time
}

// changeByRequest returns the change made by request, and whether there is one in the history.
func (r record) changeByRequest(request RequestID) (Change, bool) {
	for _, change := range r.history {
		if change.request == request {
			return change, true
		}
	}
	return Change{}, false
}

// configAt returns the configuration of team at revision base. It has only a team and a revision if the history does
// not contain it.
func (r record) configAt(team string, base Revision) Config {
	for _, change := range r.history {
		if change.team == team && change.revision == base && !change.IsAction() {
			return change.config
		}
	}
	return Config{team: team, revision: base}
}

// configChangesSince returns the configuration changes of team after base, and whether the history contains them all.
func (r record) configChangesSince(team string, base Revision) (changes []Change, complete bool) {
	for _, change := range r.history {
		if change.team == team && change.revision > base && !change.IsAction() {
			changes = append(changes, change)
		}
	}
	return changes, len(changes) > 0 && changes[0].base <= base
}

// withChange returns the record after change, the newest revision.
func (r record) withChange(change Change) record {
	next := record{fleet: r.fleet.withChange(change)}
	next.history = append(append(next.history, r.history...), change)
	if excess := len(next.history) - maxHistoryChanges; excess > 0 {
		next.history = next.history[excess:]
	}
	return next.trimHistory()
}

// trimHistory removes the oldest changes until the history fits into maxHistoryBytes. It keeps the newest change.
func (r record) trimHistory() record {
	size := 0
	for i := len(r.history) - 1; i >= 0; i-- {
		size += len(mustJSON(toWireChange(r.history[i])))
		if size > maxHistoryBytes && i < len(r.history)-1 {
			r.history = r.history[i+1:]
			return r
		}
	}
	return r
}
