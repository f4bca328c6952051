package soak

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// The bounds of the platform's rules.
const (
	stabilityWindow = 3 * time.Second        // faults count that long after their end
	lossSlack       = 200 * time.Millisecond // a request that a daemon holds longer was read
	lateStart       = 3 * time.Second        // after SIGTERM; see isAllowed
)

// isWhole reports whether the answer is complete and right.
func (r record) isWhole() bool {
	return r.status == http.StatusOK && r.err == nil && r.body == expectedBody(r.id, r.path)
}

// judge checks all requests once the run is over.
func (s *stopsSoak) judge(begin time.Time) {
	counts := map[string]int{}
	for _, r := range s.requests {
		verdict, isFailure := s.verdict(r)
		counts[verdict]++
		if isFailure {
			s.recordFailure(verdict + ": " + s.describe(r, begin))
		} else if verdict == "lost elsewhere" {
			s.t.Log(verdict + ": " + s.describe(r, begin))
		}
	}
	s.t.Logf("grace %s, %d stops, %d faults, statuses %v, %v", s.setup.grace, len(s.stops), len(s.faults), s.statusCounts, counts)
}

// verdict says what became of a request, and whether that breaks a rule.
func (s *stopsSoak) verdict(r record) (verdict string, isFailure bool) {
	hasRun := s.fleet.RunCount(r.id) > 0
	isRefused := r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests
	switch {
	case r.isWhole():
		return "whole", false
	case isRefused && hasRun:
		return "ran although refused", true
	case isRefused && r.followsList && strings.HasPrefix(r.body, "stopping"):
		return "listed, but stopping", true
	case isRefused:
		return "refused", false
	case r.status == http.StatusOK && r.err == nil:
		return "wrong answer", true
	case !hasRun && (!r.isWritten || r.status != 0 || r.ended.Sub(r.sent) <= lossSlack):
		return "not passed on", false
	case s.fleet.Work(r.id).IsBroken():
		return "engine broke off", false
	case r.ended.Sub(r.sent) >= r.limit:
		return "out of time", false
	case s.isFaulty(r):
		return "fault", false
	}
	stopped := s.stopOf(r)
	switch {
	case stopped == nil:
		return "lost elsewhere", false
	case s.isAllowed(r, *stopped):
		return "work in the last sixth", false
	}
	return "lost", true
}

// isFaulty reports whether an unplanned fault of the daemon or of the store counts for a request.
func (s *stopsSoak) isFaulty(r record) bool {
	for _, f := range s.faults {
		isOnWay := f.daemon == r.daemon || f.daemon == allDaemons
		if isOnWay && !f.from.After(r.ended) && r.sent.Before(f.to.Add(stabilityWindow)) {
			return true
		}
	}
	return false
}

// stopOf returns the last stop of the daemon around which a request ended, nil if there is none.
func (s *stopsSoak) stopOf(r record) (last *stop) {
	for _, p := range s.stops {
		if p.daemon == r.daemon && !r.ended.Before(p.at) && r.sent.Before(p.at.Add(s.setup.grace+time.Second)) {
			last = &p
		}
	}
	return last
}

// isAllowed reports whether the rule LOST allows the end of a request: it was sent no later than lateStart after the SIGTERM,
// and an upstream was still at work on it in the last sixth of the grace period.
func (s *stopsSoak) isAllowed(r record, p stop) bool {
	return !r.sent.After(p.at.Add(lateStart)) && !r.ended.Before(p.at.Add(s.setup.grace*5/6)) &&
		!s.fleet.Work(r.id).EndedAt().Before(r.ended)
}

func (s *stopsSoak) describe(r record, begin time.Time) string {
	text := fmt.Sprintf("%s %s at d%d, sent %.2f s, ended after %.2f of %.2f s with status %d (%.40q, error %v), ran %d times",
		r.id, r.path, r.daemon, r.sent.Sub(begin).Seconds(), r.ended.Sub(r.sent).Seconds(), r.limit.Seconds(), r.status, r.body,
		r.err, s.fleet.RunCount(r.id))
	if p := s.stopOf(r); p != nil {
		text += fmt.Sprintf(", sent %+.2f s and ended %+.2f s from SIGTERM", r.sent.Sub(p.at).Seconds(), r.ended.Sub(p.at).Seconds())
	}
	return text
}

// deny answers each tenth request that was served as if it had been refused.
type deny struct {
	next  http.RoundTripper
	count int
}

// RoundTrip implements http.RoundTripper for the one caller that uses the transport.
func (d *deny) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := d.next.RoundTrip(r)
	if d.count++; err == nil && d.count%10 == 0 {
		response.StatusCode = http.StatusServiceUnavailable
	}
	return response, err
}

// TestChecksOfStops guards against checks that pass whatever the daemons do: each has to fail with a variant that is
// deliberately broken.
func TestChecksOfStops(t *testing.T) {
	const grace = 4 * time.Second
	for _, broken := range []struct {
		name, variant, failure string
		change                 func(s *stopsSoak)
	}{
		{"daemons exit at SIGTERM", exitsAtTerm, "lost: ", func(*stopsSoak) {}},
		{"requests that ran are refused", intact, "ran although refused: ", func(s *stopsSoak) {
			s.transport = func(next http.RoundTripper) http.RoundTripper { return &deny{next: next} }
		}},
		{"stopping daemons stay listed", intact, "listed, but stopping: ", func(s *stopsSoak) { s.hasFixedList = true }},
	} {
		t.Run(broken.name, func(t *testing.T) {
			s := newStopsSoak(t, 1, broken.variant, grace)
			broken.change(s)
			if failures := s.run(grace); !strings.Contains(strings.Join(failures, "\n"), broken.failure) {
				t.Errorf("not noticed: %q", failures)
			}
		})
	}
}
