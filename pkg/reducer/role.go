package reducer

import (
	"time"

	"github.com/azurepond/azurepond/pkg/instance"
)

// maxSmallFleet is the number of daemons up to which probe results reach all of them well within the default MaxProbeAge
// of pkg/instance, and all of them may contend for leases.
const maxSmallFleet = 16

// leaseCandidates is the name that selects the daemons that contend for leases in a large fleet.
const leaseCandidates = "leases"

// role is what pkg/instance needs to know of the fleet and this daemon's part in it.
type role struct {
	evidenceTTL time.Duration // how long a probe result is valid in a large fleet, 0 in a small one
	observer    bool          // does not contend for leases
}

// currentRole returns the role of this daemon. In a large fleet probe results are valid for as long as they take to reach
// all daemons, and only a few daemons of each data centre contend for leases. A leaving daemon releases its leases.
func (s *State) currentRole() role {
	if s.leaving {
		return role{evidenceTTL: s.role.evidenceTTL, observer: true}
	}
	if len(s.peer.Members(s.now)) <= maxSmallFleet {
		return role{}
	}
	return role{evidenceTTL: s.peer.EvidenceTTL(), observer: !s.peer.IsReader(s.now, leaseCandidates)}
}

// refreshRole passes a changed role to pkg/instance.
func (s *State) refreshRole() {
	current := s.currentRole()
	if current == s.role {
		return
	}
	s.role = current
	if fleet := s.operator.Fleet(); fleet.Revision() > 0 {
		s.reduceInstance(instance.NewConfigured(instanceSettings(s.settings, fleet, current)))
	}
}
