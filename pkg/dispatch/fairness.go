package dispatch

import (
	"cmp"
	"time"
)

// Fairness during a burst of one organisation: calls of the other organisations go first.

// compare orders queued calls: first those with a partial answer, then those of underserved organisations, those that
// can still meet their latency goal, those of a more urgent priority, those of organisations with fewer running calls,
// and the older ones.
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

// isUnderserved reports whether the organisation of a call runs far less than an even share here. It is then not the
// cause of the queue.
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
