package operator

import (
	"time"

	"github.com/azurepond/azurepond/pkg/object"
)

// The bounds of what the store keeps beside the configuration itself.
const (
	historyLength = 64
	historyBytes  = 512 << 10
	maxPlans      = 512
	recordBytes   = object.MaxValueBytes - 64<<10
)

// recordKey is the one object that holds the configuration of all teams.
var recordKey = object.NewKey("configurations", "fleet")

// RevisionField is the top-level JSON field of that object that holds the revision.
const RevisionField = "revision"

// ObjectKey returns the object that holds the accepted configuration of all teams.
func ObjectKey() object.Key { return recordKey }

// record is the content of the configuration's object.
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

// Base returns the revision of the team that the change builds on.
func (c Change) Base() Revision { return c.base }

// Team returns the team that made the change.
func (c Change) Team() string { return c.team }

// Author returns who made the change.
func (c Change) Author() string { return c.author }

// AcceptedAt returns when the change was accepted, by the clock of the daemon that wrote it.
func (c Change) AcceptedAt() time.Time { return c.acceptedAt }

// Config returns the team's configuration after the change, the zero value for a planned action.
func (c Change) Config() Config { return c.config }

// Action returns the planned action, the zero value for a configuration.
func (c Change) Action() Action { return c.action }

// IsAction reports whether the change is a planned action.
func (c Change) IsAction() bool { return c.action != Action{} }

// planned is a planned action that holds until it is taken back.
type planned struct {
	action Action
	team   string
	who    string
	at     time.Time
}

// find returns the change that request made.
func (r record) find(request RequestID) (Change, bool) {
	for _, change := range r.history {
		if change.request == request {
			return change, true
		}
	}
	return Change{}, false
}

// at returns team's configuration as it was at base, empty but for its revision when the history does not reach back.
func (r record) at(team string, base Revision) Config {
	for _, change := range r.history {
		if change.team == team && change.revision == base && !change.IsAction() {
			return change.config
		}
	}
	return Config{team: team, revision: base}
}

// since returns team's changes of its configuration after base, and whether none of them is forgotten.
func (r record) since(team string, base Revision) (changes []Change, complete bool) {
	for _, change := range r.history {
		if change.team == team && change.revision > base && !change.IsAction() {
			changes = append(changes, change)
		}
	}
	return changes, len(changes) > 0 && changes[0].base <= base
}

// with returns the record after change, which becomes the newest revision.
func (r record) with(change Change) record {
	next := record{fleet: r.fleet.apply(change)}
	next.history = append(append(next.history, r.history...), change)
	if excess := len(next.history) - historyLength; excess > 0 {
		next.history = next.history[excess:]
	}
	return next.trim()
}

// trim forgets the oldest changes until the history fits its share of the object; the newest is always kept.
func (r record) trim() record {
	size := 0
	for i := len(r.history) - 1; i >= 0; i-- {
		size += len(mustJSON(toWireChange(r.history[i])))
		if size > historyBytes && i < len(r.history)-1 {
			r.history = r.history[i+1:]
			return r
		}
	}
	return r
}
