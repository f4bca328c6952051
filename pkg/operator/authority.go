package operator

import "fmt"

// FleetTeam is the team of those who run the daemons; it may plan actions on everything.
const FleetTeam = "fleet"

// forbid returns why the team of e may not plan its action, or nothing when it may.
func (s *State) forbid(owners TargetResolver, e ActionRequested) string {
	if !e.action.valid() {
		return fmt.Sprintf("%q is no planned action", e.action)
	}
	if e.action.verb == VerbUndrain && s.Fleet().planner(e.action) == e.team {
		return ""
	}
	owner, known := "", false
	if owners != nil {
		owner, known = owners.ResolveTarget(e.action.kind, e.action.target)
	}
	if config, _ := s.Fleet().Config(e.team); known && (e.team == FleetTeam || config.Owns(owner)) {
		return ""
	}
	if e.team == FleetTeam && (owners == nil || e.action.verb == VerbUndrain) {
		return ""
	}
	return fmt.Sprintf("%s %q is not known as one of team %s", e.action.kind, e.action.target, e.team)
}
