package operator

import (
	"slices"
	"strings"
)

// Fleet is the configuration of all teams, with the planned actions, at one revision.
type Fleet struct {
	revision           Revision
	configs            []Config
	plans              []planned
	organisationsByKey map[Hash]Organisation
}

// NewFleet returns the configuration made of configs, one for each team.
func NewFleet(revision Revision, configs ...Config) Fleet {
	configs = slices.Clone(configs)
	slices.SortFunc(configs, func(a, b Config) int { return strings.Compare(a.team, b.team) })
	fleet := Fleet{revision: revision, configs: configs, organisationsByKey: map[Hash]Organisation{}}
	for _, o := range fleet.Organisations() {
		fleet.organisationsByKey[o.key] = o
	}
	return fleet
}

// Revision returns the revision of the whole.
func (f Fleet) Revision() Revision { return f.revision }

// Configs returns the teams' configurations in the order of the teams' names.
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

// Owner returns the configuration that names the model, service or organisation called name, and whether one does.
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

// Actions returns the planned actions that hold, in the order in which they were planned.
func (f Fleet) Actions() []Action {
	actions := make([]Action, 0, len(f.plans))
	for _, p := range f.plans {
		actions = append(actions, p.action)
	}
	return actions
}

// apply returns the fleet after change.
func (f Fleet) apply(change Change) Fleet {
	if change.IsAction() {
		f.revision = change.revision
		f.plans = f.replan(change)
		return f
	}
	var configs []Config
	for _, c := range f.configs {
		if c.team != change.team {
			configs = append(configs, c)
		}
	}
	next := NewFleet(change.revision, append(configs, change.config)...)
	next.plans = f.plans
	return next
}

// replan returns the planned actions after change; a later action on the same target replaces the earlier one.
func (f Fleet) replan(change Change) []planned {
	var plans []planned
	for _, p := range f.plans {
		if !p.action.sameTarget(change.action) {
			plans = append(plans, p)
		}
	}
	if change.action.verb == VerbUndrain {
		return plans
	}
	return append(plans, planned{change.action, change.team, change.author, change.acceptedAt})
}

// holds reports whether action changes nothing.
func (f Fleet) holds(action Action) bool {
	for _, p := range f.plans {
		if p.action.sameTarget(action) {
			return p.action == action
		}
	}
	return action.verb == VerbUndrain
}

// planner returns the team whose planned action holds on the target of action, empty for none.
func (f Fleet) planner(action Action) string {
	for _, p := range f.plans {
		if p.action.sameTarget(action) {
			return p.team
		}
	}
	return ""
}
