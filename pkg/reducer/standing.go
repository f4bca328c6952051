package reducer

import (
	"time"

	"github.com/azurepond/azurepond/pkg/instance"
)

// smallFleet is the number of daemons up to which evidence reaches all of them well within the default of pkg/instance,
// and all of them may contend for leases.
const smallFleet = 16

// leaseDuty is the name by which those daemons are drawn that contend for leases in a large fleet.
const leaseDuty = "leases"

// standing is what the decisions over instances need of this daemon's place among the others.
type standing struct {
	fresh    time.Duration // how long evidence counts in a large fleet, 0 in a small one
	observer bool          // contends for no lease
}

// stand works out the daemon's place: in a large fleet evidence counts for as long as it takes to reach all, and only a
// few daemons of each data centre contend for leases; one that leaves gives its own up.
func (s *State) stand() standing {
	if s.leaving {
		return standing{fresh: s.standing.fresh, observer: true}
	}
	if len(s.peer.Members(s.now)) <= smallFleet {
		return standing{}
	}
	return standing{fresh: s.peer.EvidenceTTL(), observer: !s.peer.IsReader(s.now, leaseDuty)}
}

// restand hands a changed place on.
func (s *State) restand() {
	now := s.stand()
	if now == s.standing {
		return
	}
	s.standing = now
	if fleet := s.operator.Fleet(); fleet.Revision() > 0 {
		s.toInstance(instance.NewConfigured(instanceSettings(s.identity, fleet, now)))
	}
}
