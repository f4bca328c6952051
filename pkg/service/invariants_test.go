package service

import (
	"fmt"
	"strings"
	"time"

	"github.com/azurepond/azurepond/pkg/caller"
)

func (sim *simulation) addViolation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf(format, args...))
}

// submit submits a request to d; kind is keyed, no-key or idempotent.
func (sim *simulation) submit(d *daemon, req *clientRequest, kind string, timeout time.Duration) *submission {
	return sim.submitWithFingerprint(d, req, kind, timeout, 7)
}

func (sim *simulation) submitWithFingerprint(
	d *daemon, req *clientRequest, kind string, timeout time.Duration, fingerprint uint64,
) *submission {
	d.lastID++
	id := d.lastID
	s := &submission{request: req, kind: kind}
	d.calls[id] = s
	sim.submissions = append(sim.submissions, s)
	c := caller.NewCall(id, caller.Service, "desk", "koinonia", sim.now.Add(timeout)).WithHashes(fingerprint, nil)
	switch kind {
	case "keyed":
		c = c.WithKey(req.key)
	case "idempotent":
		c = c.WithIdempotent()
	}
	incarnation := d.incarnation
	sim.feed(d, incarnation, NewSubmitted(c))
	sim.after(timeout+2*time.Second, func() { sim.expectEnd(d, incarnation, s) })
	return s
}

// expectEnd checks that each call ends soon after its deadline, unless its daemon was paused or restarted.
func (sim *simulation) expectEnd(d *daemon, incarnation int, s *submission) {
	if d.incarnation != incarnation || s.outcome != "" {
		return
	}
	if settled := d.pausedUntil.Add(2 * time.Second); sim.now.Before(settled) {
		sim.after(settled.Sub(sim.now), func() { sim.expectEnd(d, incarnation, s) })
		return
	}
	sim.addViolation("a %s call of %s never ended", s.kind, s.request.key)
}

// checkRun counts a run of a call. It checks that no key and no call without a key runs twice, and that no call runs after
// it was reported as not run.
func (sim *simulation) checkRun(s *submission) {
	s.runs++
	if strings.HasPrefix(s.outcome, "not run") {
		sim.addViolation("%s ran after its outcome %q was reported", s.request.key, s.outcome)
	}
	if s.kind == "idempotent" {
		return
	}
	if s.kind == "no-key" && s.runs > 1 {
		sim.addViolation("a call without a key ran %d times", s.runs)
	}
	if s.kind == "keyed" {
		sim.runsByKey[s.request.key]++
		if sim.runsByKey[s.request.key] > 1 {
			sim.addViolation("%s ran %d times", s.request.key, sim.runsByKey[s.request.key])
		}
	}
}

// checkEnd checks the outcome of a call when it ends.
func (sim *simulation) checkEnd(d *daemon, id caller.ID, outcome, replayed string) {
	s := d.calls[id]
	if s.outcome != "" {
		sim.addViolation("a call ended twice: %s, then %s", s.outcome, outcome)
	}
	s.outcome = outcome
	if strings.HasPrefix(outcome, "not run") && s.runs > 0 {
		sim.addViolation("outcome %q was reported for %s, which ran", outcome, s.request.key)
	}
	if outcome != "answered" {
		return
	}
	if replayed == "" {
		replayed = s.reply
	}
	if replayed == "" {
		return
	}
	if replayed != "ticket of "+s.request.key {
		sim.addViolation("%s was answered with the %s", s.request.key, replayed)
	}
}

// checkCleanedUp checks that memory and store are empty after all keys have expired.
func (sim *simulation) checkCleanedUp() {
	for _, d := range sim.daemons {
		if d.state.Calls() > 0 || d.state.Attempts() > 0 || d.state.ClaimObjects() > 0 || len(d.state.tracked) > 0 {
			sim.addViolation("%s still has %d calls, %d attempts, %d objects", d.name, d.state.Calls(), d.state.Attempts(),
				d.state.ClaimObjects())
		}
	}
	if len(sim.store.objects) > sim.orphans {
		sim.addViolation("%d objects were not removed, %d were created after the sweep",
			len(sim.store.objects), sim.orphans)
	}
}
