package operator

import "fmt"

// FleetTeam is the team that runs the daemons. It may plan actions on all targets.
const FleetTeam = "fleet"

// denialReason returns why the team of e may not plan its action, or an empty string if it may. A team may act on the
// targets that it owns and undrain those that it planned an action for. FleetTeam may act on all known targets and undrain
// unknown ones. A nil targets denies FleetTeam nothing.
func (s *State) denialReason(targets TargetResolver, e ActionRequested) string {
	if !e.action.valid() {
		return fmt.Sprintf("%q is no planned action", e.action)
	}
	if e.action.verb == VerbUndrain && s.Fleet().plannedBy(e.action) == e.team {
		return ""
	}
	name, known := "", false
	if targets != nil {
		name, known = targets.ResolveTarget(e.action.kind, e.action.target)
	}
	if config, _ := s.Fleet().Config(e.team); known && (e.team == FleetTeam || config.Owns(name)) {
		return ""
	}
	if e.team == FleetTeam && (targets == nil || e.action.verb == VerbUndrain) {
		return ""
	}
	return fmt.Sprintf("%s %q is not known as one of team %s", e.action.kind, e.action.target, e.team)
}
