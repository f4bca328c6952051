package dispatch

import "time"

// An upstream in need names in its answers the rate of requests that it accepts from all daemons together, for as long as it names
// it.

// Limit is what an answer of an upstream says about the rate of requests that it accepts; the zero value says nothing.
type Limit struct {
	isKnown   bool
	perSecond float64 // 0 for no limit
}

// minLimit is the lowest rate per second that a limit may have. The end of a lower one would not be heard for too long.
const minLimit = 0.1

// NewLimit returns a limit of requests per second from all daemons together.
func NewLimit(perSecond float64) Limit { return Limit{true, max(perSecond, minLimit)} }

// NoLimit returns the limit of an answer that names none.
func NoLimit() Limit { return Limit{isKnown: true} }

// PerSecond returns the rate in requests per second, 0 for no limit.
func (l Limit) PerSecond() float64 { return l.perSecond }

// IsKnown reports whether the answer says whether there is a limit.
func (l Limit) IsKnown() bool { return l.isKnown }

// upstreamLimit is the limit of an upstream, as this daemon knows it.
type upstreamLimit struct {
	perSecond float64
	learnedAt time.Time // when an answer or a peer last named it
}

// observeLimit records what an answer to an attempt says about the limit of its upstream. An answer without a limit ends the limit only if
// its request was sent after the limit was last named: answers may overtake each other.
func (s *State) observeLimit(now time.Time, a *attempt, l Limit) {
	if known := s.limits[a.target()]; !l.isKnown || l.perSecond == 0 && !a.sentAt.After(known.learnedAt) {
		return
	}
	s.setLimit(now, a.target(), l.perSecond, answerSource)
}

// answerSource is the source of a limit that an answer to this daemon named.
const answerSource = "answer"

// setLimit records the limit of an upstream, 0 for none, and reports whether it changed.
func (s *State) setLimit(now time.Time, name string, perSecond float64, source string) bool {
	before := s.limits[name].perSecond
	if perSecond > 0 {
		s.limits[name] = upstreamLimit{perSecond, now}
	} else {
		delete(s.limits, name)
	}
	if perSecond != before {
		s.emit(LimitChanged{name, perSecond, source})
	}
	return perSecond != before
}

// Limited returns the number of upstreams that name a limit.
func (s *State) Limited() int { return len(s.limits) }

// forgetLimits removes the limits of upstreams that are no longer listed.
func (s *State) forgetLimits(up Upstreams) {
	if len(s.limits) == 0 {
		return
	}
	listed := map[string]bool{}
	for name := range s.config.Services() {
		for _, t := range up.Processes(name) {
			listed[t.name] = true
		}
	}
	for name := range s.limits {
		if !listed[name] {
			delete(s.limits, name)
		}
	}
}
