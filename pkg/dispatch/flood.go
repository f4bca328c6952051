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
		cmp.Compare(asNumber(b.started), asNumber(a.started)),
		cmp.Compare(asNumber(s.isShort(b)), asNumber(s.isShort(a))),
		cmp.Compare(s.lateness(now, a), s.lateness(now, b)),
		cmp.Compare(a.priority, b.priority),
		cmp.Compare(s.running[a.organisation], s.running[b.organisation]),
		a.arrived.Compare(b.arrived),
	)
}

// shortPart is below which part of an even share an organisation counts as short of it; organisations differ in size, so
// that most are below an even share.
const shortPart = 0.5

// isShort reports whether the organisation of a call runs far less here than an even share: it is not what causes the
// others to wait.
func (s *State) isShort(c *call) bool {
	all := 0
	for _, running := range s.running {
		all += running
	}
	return float64(s.running[c.organisation]*len(s.running)) < shortPart*float64(all)
}

func asNumber(b bool) int {
	if b {
		return 1
	}
	return 0
}
