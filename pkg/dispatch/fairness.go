package dispatch

import (
	"cmp"
	"time"
)

// The decisions of this file answer a burst that one organisation causes: those that did not cause it go first.

// compare orders calls that wait: those whose callers have the beginning of an answer, those of an organisation that has
// far less than its part, those that can be on time, the more urgent, those of the organisation that runs least here, the
// older.
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

// shortPart is below which part of an even share an organisation counts as short of it; organisations differ in size, so
// that most are below an even share.
const underservedRatio = 0.5

// isShort reports whether the organisation of a call runs far less here than an even share: it is not what causes the
// others to wait.
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
