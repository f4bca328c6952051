package soak

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/azurepond/azurepond/platform/standin"
)

// The bounds of the platform's rules.
const (
	stabilityWindow = 3 * time.Second        // faults count that long after their end
	lossSlack       = 200 * time.Millisecond // a request that a daemon holds longer was read
	lateStart       = 3 * time.Second        // after SIGTERM; see isAllowed
)

// relayFault is the verdict on a request that went through another daemon, or over its paths, with an unplanned fault.
const relayFault = "fault of a relay"

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
			s.logRequest(r.id, begin)
		} else if verdict == "lost elsewhere" || verdict == relayFault {
			s.t.Log(verdict + ": " + s.describe(r, begin))
			s.logRequest(r.id, begin)
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
	case s.isFaulty(r, r.daemon):
		return "fault", false
	}
	stopped := s.stopOf(r)
	switch {
	case stopped == nil:
		return "lost elsewhere", false
	case s.isAllowed(r, *stopped):
		return "work in the last sixth", false
	}
	for _, other := range s.othersOnWay(r) {
		if s.isFaulty(r, other) {
			return relayFault, false
		}
	}
	return "lost", true
}

// isFaulty reports whether an unplanned fault of a daemon or of the store counts for a request.
func (s *stopsSoak) isFaulty(r record, daemon int) bool {
	for _, f := range s.faults {
		isOnWay := f.daemon == daemon || f.daemon == allDaemons
		if isOnWay && !f.from.After(r.ended) && r.sent.Before(f.to.Add(stabilityWindow)) {
			return true
		}
	}
	return false
}

var (
	relayField  = regexp.MustCompile(` relay="d([0-9]+)"`)
	remoteField = regexp.MustCompile(`->(127\.0\.0\.1:[0-9]+): `) // in the error of a connection
)

// othersOnWay returns the other daemons that a request failed at: those through which its daemon sent it, and those whose path to an upstream
// it took. A daemon that reads the list from a peer connects to the addresses that this peer got from the store.
func (s *stopsSoak) othersOnWay(r record) (others []int) {
	for _, line := range s.logLines(s.daemons[r.daemon], r.id) {
		if field := relayField.FindStringSubmatch(line); field != nil {
			relay, err := strconv.Atoi(field[1])
			if err != nil {
				s.t.Error(err)
			}
			others = append(others, relay)
		}
		if field := remoteField.FindStringSubmatch(line); field != nil {
			for _, p := range s.daemons {
				if p.paths != nil && p.paths.has(field[1]) {
					others = append(others, p.index)
				}
			}
		}
	}
	return others
}

// logLines returns what a daemon logged about a request.
func (s *stopsSoak) logLines(p *process, id string) (lines []string) {
	text, err := os.ReadFile(p.logFile())
	if err != nil {
		s.t.Error(err)
	}
	for line := range strings.Lines(string(text)) {
		if strings.Contains(line, ` id="`+id+`" `) {
			lines = append(lines, line)
		}
	}
	return lines
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

// logRequest logs what the daemons logged about a request.
func (s *stopsSoak) logRequest(id string, begin time.Time) {
	for _, p := range s.daemons {
		for _, line := range s.logLines(p, id) {
			s.t.Logf("d%d, begin at %s: %s", p.index, begin.Format("15:04:05.000000"), line)
		}
	}
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

// TestFaultsOfRelays guards against counting a request as lost by a planned stop that was cut by an unplanned fault of the daemon through
// which it went, and against excusing it for a fault of any other daemon or for a planned stop of the relay.
func TestFaultsOfRelays(t *testing.T) {
	begin := time.Now()
	p := &process{index: 0, settingsFile: filepath.Join(t.TempDir(), "settings.yaml")}
	log := `I1207 23:09:30.7 16321 logwriter.go:101] "upstream: no answer" id="c1-4" upstream="desk-0" relay="d20" failure="relay lost"` + "\n" +
		`I1207 23:09:30.8 16321 logwriter.go:101] "upstream: no answer" id="c1-40" upstream="desk-0" relay="d21" failure="relay lost"` + "\n"
	q := &process{index: 2, paths: &paths{proxies: map[string]*proxy{}}}
	address := q.paths.proxyTo("127.0.0.1:1")
	direct := `I1208 00:23:58.7 25260 logwriter.go:101] "upstream: no answer" id="c1-5" upstream="desk-0" relay="" failure="interrupted" ` +
		`err="read tcp 127.0.0.1:36954->` + address + `: read: connection reset by peer"` + "\n"
	if err := os.WriteFile(p.logFile(), []byte(log+direct), 0o600); err != nil {
		t.Fatal(err)
	}
	r := record{id: "c1-4", sent: begin, ended: begin.Add(time.Second), isWritten: true, limit: time.Minute}
	for _, c := range []struct {
		name    string
		id      string
		faults  []fault
		verdict string
	}{
		{"of the relay", "c1-4", []fault{{20, begin, begin.Add(time.Second)}}, relayFault},
		{"of the relay, later", "c1-4", []fault{{20, begin.Add(2 * time.Second), begin.Add(3 * time.Second)}}, "lost"},
		{"of another daemon", "c1-4", []fault{{21, begin, begin.Add(time.Second)}}, "lost"},
		{"planned stop of the relay", "c1-4", nil, "lost"},
		{"of the daemon whose path was taken", "c1-5", []fault{{2, begin, begin.Add(time.Second)}}, relayFault},
		{"of a daemon whose path was not taken", "c1-5", []fault{{20, begin, begin.Add(time.Second)}}, "lost"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &stopsSoak{
				soak: &soak{
					t: t, daemons: []*process{p, q}, fleet: &standin.Fleet{Store: &standin.Store{}}, setup: setup{grace: 4 * time.Second},
				},
				stops: []stop{{0, begin}, {20, begin}}, faults: c.faults,
			}
			r.id = c.id
			if verdict, _ := s.verdict(r); verdict != c.verdict {
				t.Errorf("verdict %q, want %q", verdict, c.verdict)
			}
		})
	}
}
