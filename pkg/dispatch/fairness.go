package dispatch

import (
	"cmp"
	"time"
)

// Fairness during a burst of one organisation: calls of the other organisations go first.

// compare orders queued calls. First are those with a partial answer, then by underserved organisation, ability to meet
// the latency goal, priority, running calls of the organisation (fewest first) and age.
func (s *State) compare(now time.Time, a, b *call) int {
	return cmp.Or(
		cmp.Compare(boolToInt(b.hasPartialAnswer), boolToInt(a.hasPartialAnswer)),
		cmp.Compare(boolToInt(s.isUnderserved(b)), boolToInt(s.isUnderserved(a))),
		cmp.Compare(s.lateness(now, a), s.lateness(now, b)),
		cmp.Compare(a.priority, b.priority),
		cmp.Compare(s.runningByOrganisation[a.organisation], s.runningByOrganisation[b.organisation]),
		a.arrived.Compare(b.arrived),
	)
}

// underservedRatio is the fraction of an even share below which an organisation is underserved. It is well below 1,
// since organisations differ in size and most are below an even share.
const underservedRatio = 0.5

// isUnderserved reports whether the organisation of a call runs far less than an even share here, so that it does not
// cause the others to wait.
func (s *State) isUnderserved(c *call) bool {
	total := 0
	for _, running := range s.runningByOrganisation {
		total += running
	}
	return float64(s.runningByOrganisation[c.organisation]*len(s.runningByOrganisation)) < underservedRatio*float64(total)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
