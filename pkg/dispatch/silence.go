package dispatch

import (
	"maps"
	"slices"
	"time"
)

// An attempt over a connection that delivers nothing any more is noticed by its silence: the path to its upstream is checked, and if that
// is lost, the call is sent again another way.

// The times of attempts without an answer.
const (
	pathCheckDelay = 500 * time.Millisecond // from the send until the path is checked
	silentBackoff  = 500 * time.Millisecond // of an upstream that misses probes; it is excluded as silent after that
)

// checkSilentAttempts checks the paths of attempts that nothing was answered to. An upstream that answers others is only slow.
func (s *State) checkSilentAttempts(now time.Time) {
	var silent []AttemptID
	for id, a := range s.attempts {
		delay := pathCheckDelay + stallWaits*s.lag.Recent(now)
		if a.isDirect && !a.isStarted && !a.isChecked && now.Sub(a.sentAt) >= delay && now.Sub(a.upstream.answeredAt) >= delay {
			silent = append(silent, id)
		}
	}
	slices.Sort(silent)
	for _, id := range silent {
		s.attempts[id].isChecked = true
		s.emit(CheckPath{s.attempts[id].target()})
	}
}

// handlePathLost sends the calls again whose attempts at an upstream are silent since the path to it was lost. Open connections may still
// deliver, so other attempts go on.
func (s *State) handlePathLost(now time.Time, up Upstreams, name string) {
	for _, id := range slices.Sorted(maps.Keys(s.attempts)) {
		a := s.attempts[id]
		if a.isDirect && a.target() == name && (a.isSuspected || !a.isStarted && now.Sub(a.sentAt) >= pathCheckDelay) {
			s.cancelToRetry(now, up, a)
		}
	}
}

// handleReplicaSilent sends no new calls to a replica, and sends those again that are stalled there.
func (s *State) handleReplicaSilent(now time.Time, up Upstreams, head string) {
	u := s.upstream(head)
	u.avoidUntil = now.Add(silentBackoff)
	for _, id := range slices.Sorted(maps.Keys(s.attempts)) {
		if a := s.attempts[id]; a.upstream == u && a.isSuspected {
			s.cancelToRetry(now, up, a)
		}
	}
}
