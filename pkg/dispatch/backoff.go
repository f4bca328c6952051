package dispatch

import "time"

// An upstream throttles this daemon by refusing a call with a Retry-After time. The daemon sends it no call and no probe until
// then. The first call afterwards is a trial, and each one that is answered doubles the number of calls that may run there at
// once, so that the calls that waited do not arrive together.

// The steps in which calls return to an upstream that throttled this daemon.
const (
	firstTrialCalls = 1
	maxTrialCalls   = 16 // at which the limit ends
)

// throttleSpread is the jitter of the Retry-After time of calls that are refused since all upstreams throttle this daemon.
const throttleSpread = 500 * time.Millisecond

// handleThrottled excludes an upstream for its Retry-After time. A later answer extends that time and never shortens it.
func (s *State) handleThrottled(now time.Time, e Throttled) {
	a := s.attempts[e.attempt]
	if a == nil || e.wait <= 0 {
		return
	}
	s.throttle(a.upstream, a.target(), now.Add(e.wait))
	s.note(now, a.call, NoteThrottled, a.target(), "", Inputs{calls: float64(a.upstream.running), expected: e.wait})
}

// throttle excludes an upstream until then.
func (s *State) throttle(u *upstream, name string, until time.Time) {
	if until.After(u.throttledUntil) {
		u.throttledUntil = until
	}
	u.trialCalls = firstTrialCalls
	s.emit(PauseProbes{name, u.throttledUntil})
}

// IsThrottling reports whether an upstream throttles this daemon now.
func (s *State) IsThrottling(now time.Time, name string) bool {
	u := s.upstreams[name]
	return u != nil && u.isThrottling(now)
}

// isAvailable reports whether this daemon may send another call to an upstream now.
func (u *upstream) isAvailable(now time.Time) bool {
	return !now.Before(u.avoidUntil) && !u.isThrottling(now) && (u.trialCalls == 0 || u.running < u.trialCalls)
}

// isThrottling reports whether an upstream throttles this daemon now.
func (u *upstream) isThrottling(now time.Time) bool { return now.Before(u.throttledUntil) }

// countTrial counts a call that was answered by an upstream that had throttled this daemon.
func (u *upstream) countTrial() {
	if u.trialCalls > 0 {
		u.trialCalls *= 2
	}
	if u.trialCalls >= maxTrialCalls {
		u.trialCalls = 0
	}
}

// throttledFor returns the time until the first of the upstreams of a call no longer throttles this daemon, 0 if one does not now or
// if there is none.
func (s *State) throttledFor(now time.Time, up Upstreams, c *call) time.Duration {
	earliest := time.Duration(0)
	for i, t := range s.targets(up, c) {
		u := s.upstream(t.name)
		if !u.isThrottling(now) {
			return 0
		}
		if wait := u.throttledUntil.Sub(now); i == 0 || wait < earliest {
			earliest = wait
		}
	}
	return earliest
}

// Throttling returns the number of upstreams that throttle this daemon now.
func (s *State) Throttling(now time.Time) int {
	count := 0
	for _, u := range s.upstreams {
		if u.isThrottling(now) {
			count++
		}
	}
	return count
}
