package replica

import (
	"maps"
	"slices"
	"time"

	"github.com/azurepond/azurepond/pkg/route"
)

// The instances of an evacuated data centre are not used for new replicas, and replicas are formed elsewhere instead of those that they
// belong to. Unlike those of leaving instances, these replicas stay in the record, so that they serve again at once when the evacuation
// ends. Only a replica that also has members elsewhere is formed again, once its data centre is closed to requests.

// CentresEvacuated carries the data centres that are evacuated now.
type CentresEvacuated struct {
	isClosed map[string]bool // by data centre
}

// NewCentresEvacuated returns the event that exactly these data centres are evacuated; those that are closed get no requests, those that
// are announced still do.
func NewCentresEvacuated(announced, closed []string) CentresEvacuated {
	e := CentresEvacuated{map[string]bool{}}
	for _, centre := range announced {
		e.isClosed[centre] = false
	}
	for _, centre := range closed {
		e.isClosed[centre] = true
	}
	return e
}

func (CentresEvacuated) isEvent() {}

// setEvacuated applies the set of evacuated data centres.
func (s *State) setEvacuated(e CentresEvacuated) {
	s.isPlanUrgent = s.isPlanUrgent || !maps.Equal(s.evacuated, e.isClosed)
	s.evacuated = e.isClosed
}

// isEvacuated reports whether an instance is in an evacuated data centre.
func (s *State) isEvacuated(n *node) bool {
	_, isEvacuated := s.evacuated[n.centre]
	return isEvacuated
}

// isInClosedCentre reports whether an instance is in a data centre that gets no requests.
func (s *State) isInClosedCentre(n *node) bool { return s.evacuated[n.centre] }

// hasEvacuated reports whether a member of g is in an evacuated data centre.
func (s *State) hasEvacuated(g group) bool {
	return len(s.evacuated) > 0 && slices.ContainsFunc(g.members, func(m member) bool {
		n := s.nodes[m.id]
		return n != nil && s.isEvacuated(n)
	})
}

// mustMove reports whether a replica gets no requests, since members are in a closed data centre, while others can be used elsewhere.
func (d *draft) mustMove(g group) bool {
	isClosed, hasOthers := false, false
	for _, m := range g.members {
		isClosed = isClosed || d.isInClosedCentre(d.nodes[m.id])
		hasOthers = hasOthers || !d.isEvacuated(d.nodes[m.id])
	}
	return isClosed && hasOthers
}

// noOpening is the time until the next opening that NextOpening returns if no replica can open before an evacuation ends. No call waits
// for so long.
const noOpening = time.Hour

// canOpen reports whether enough instances for a replica are outside the evacuated data centres.
func (s *State) canOpen(model route.Model) bool {
	if len(s.evacuated) == 0 {
		return true
	}
	count := 0
	for _, n := range s.nodes {
		if n.isAlive() && !n.leaving && !s.isEvacuated(n) {
			count++
		}
	}
	return count >= model.ReplicaSize()
}
