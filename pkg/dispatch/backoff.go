package dispatch

import "time"

// An upstream may turn a call away and name a time for which it wants nothing from this daemon. The daemon sends it no call and no
// probe until then. The first call afterwards is a trial, and each one that is answered doubles the number of calls that may run
// there at once, so that the calls that waited do not arrive together.

// The steps in which calls return to an upstream that turned this daemon away.
const (
	firstTrialCalls = 1
	maxTrialCalls   = 16 // at which the limit ends
)

// returnSpread is the time over which the callers return that are refused since all upstreams turn this daemon away.
const returnSpread = 500 * time.Millisecond

// handleTurnedAway sends an upstream nothing for the time that it named. A later answer extends that time and never shortens it.
func (s *State) handleTurnedAway(now time.Time, e TurnedAway) {
	a := s.attempts[e.attempt]
	if a == nil || e.wait <= 0 {
		return
	}
	u := a.upstream
	if until := now.Add(e.wait); until.After(u.turnedAwayUntil) {
		u.turnedAwayUntil = until
	}
	u.trialCalls = firstTrialCalls
	s.emit(Quiet{a.target(), u.turnedAwayUntil})
	s.note(now, a.call, NoteTurnedAway, a.target(), "", Inputs{calls: float64(u.running), expected: e.wait})
}

// isAvailable reports whether this daemon may send another call to an upstream now.
func (u *upstream) isAvailable(now time.Time) bool {
	return !now.Before(u.avoidUntil) && !u.turnsAway(now) && (u.trialCalls == 0 || u.running < u.trialCalls)
}

// turnsAway reports whether an upstream wants nothing from this daemon now.
func (u *upstream) turnsAway(now time.Time) bool { return now.Before(u.turnedAwayUntil) }

// countTrial counts a call that was answered by an upstream that had turned this daemon away.
func (u *upstream) countTrial() {
	if u.trialCalls > 0 {
		u.trialCalls *= 2
	}
	if u.trialCalls >= maxTrialCalls {
		u.trialCalls = 0
	}
}

// untilReturn returns the time until the first upstream that could serve a call wants calls from this daemon again, 0 if one does
// now or if there is none.
func (s *State) untilReturn(now time.Time, up Upstreams, c *call) time.Duration {
	earliest := time.Duration(0)
	for i, t := range s.targets(up, c) {
		u := s.upstream(t.name)
		if !u.turnsAway(now) {
			return 0
		}
		if wait := u.turnedAwayUntil.Sub(now); i == 0 || wait < earliest {
			earliest = wait
		}
	}
	return earliest
}

// TurningAway returns the number of upstreams that want nothing from this daemon now.
func (s *State) TurningAway(now time.Time) int {
	count := 0
	for _, u := range s.upstreams {
		if u.turnsAway(now) {
			count++
		}
	}
	return count
}
