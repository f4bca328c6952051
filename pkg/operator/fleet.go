package operator

import (
	"slices"
	"strings"
)

// Fleet holds the configurations of all teams and the planned actions at one revision.
type Fleet struct {
	revision           Revision
	configs            []Config
	plannedActions     []plannedAction
	organisationsByKey map[Hash]Organisation
}

// NewFleet returns a Fleet of configs, one for each team.
func NewFleet(revision Revision, configs ...Config) Fleet {
	configs = slices.Clone(configs)
	slices.SortFunc(configs, func(a, b Config) int { return strings.Compare(a.team, b.team) })
	fleet := Fleet{revision: revision, configs: configs, organisationsByKey: map[Hash]Organisation{}}
	for _, o := range fleet.Organisations() {
		fleet.organisationsByKey[o.key] = o
	}
	return fleet
}

// Revision returns the revision of the fleet.
func (f Fleet) Revision() Revision { return f.revision }

// Configs returns the configurations of the teams, sorted by team name.
func (f Fleet) Configs() []Config { return f.configs }

// Config returns the configuration of team, and whether there is one.
func (f Fleet) Config(team string) (Config, bool) {
	for _, c := range f.configs {
		if c.team == team {
			return c, true
		}
	}
	return Config{team: team}, false
}

// Models returns the models of all teams.
func (f Fleet) Models() []Model {
	var models []Model
	for _, c := range f.configs {
		models = append(models, c.models...)
	}
	return models
}

// Services returns the plain services of all teams.
func (f Fleet) Services() []Service {
	var services []Service
	for _, c := range f.configs {
		services = append(services, c.services...)
	}
	return services
}

// Organisations returns the organisations of all teams.
func (f Fleet) Organisations() []Organisation {
	var organisations []Organisation
	for _, c := range f.configs {
		organisations = append(organisations, c.organisations...)
	}
	return organisations
}

// Owner returns the configuration that has a model, service or organisation called name, and whether there is one.
func (f Fleet) Owner(name string) (Config, bool) {
	for _, c := range f.configs {
		if c.Owns(name) {
			return c, true
		}
	}
	return Config{}, false
}

// OrganisationByKey returns the organisation whose API key is key, and whether there is one.
func (f Fleet) OrganisationByKey(key string) (Organisation, bool) {
	o, ok := f.organisationsByKey[NewHash(key)]
	return o, ok
}

// Actions returns the planned actions in effect, in the order in which they were accepted.
func (f Fleet) Actions() []Action {
	actions := make([]Action, 0, len(f.plannedActions))
	for _, p := range f.plannedActions {
		actions = append(actions, p.action)
	}
	return actions
}

// withChange returns the fleet after change.
func (f Fleet) withChange(change Change) Fleet {
	if change.IsAction() {
		f.revision = change.revision
		f.plannedActions = f.actionsAfter(change)
		return f
	}
	var configs []Config
	for _, c := range f.configs {
		if c.team != change.team {
			configs = append(configs, c)
		}
	}
	next := NewFleet(change.revision, append(configs, change.config)...)
	next.plannedActions = f.plannedActions
	return next
}

// actionsAfter returns the planned actions after change. A new action replaces an earlier action on the same target.
func (f Fleet) actionsAfter(change Change) []plannedAction {
	var actions []plannedAction
	for _, p := range f.plannedActions {
		if !p.action.sameTarget(change.action) {
			actions = append(actions, p)
		}
	}
	if change.action.verb == VerbUndrain {
		return actions
	}
	return append(actions, plannedAction{change.action, change.team, change.author, change.acceptedAt})
}

// inEffect reports whether action is already in effect, so that it would change nothing.
func (f Fleet) inEffect(action Action) bool {
	for _, p := range f.plannedActions {
		if p.action.sameTarget(action) {
			return p.action == action
		}
	}
	return action.verb == VerbUndrain
}

// plannedBy returns the team whose planned action is in effect on the target of action, or an empty string.
func (f Fleet) plannedBy(action Action) string {
	for _, p := range f.plannedActions {
		if p.action.sameTarget(action) {
			return p.team
		}
	}
	return ""
}
