package dispatch

import (
	"slices"
	"time"
)

// A suspicion that a request, or a part of prompts, crashes upstreams is tried again from time to time: the daemon that counts its crashes
// admits one of the requests that it refuses otherwise. An answer ends the suspicion everywhere.

// The waits from a refusal, and from a trial that crashed its upstream, until the next trial.
var (
	partTrialWaits    = []time.Duration{15 * time.Second, time.Minute, 2 * time.Minute}
	contentTrialWaits = []time.Duration{time.Minute, 2 * time.Minute} // an innocent request is refused alone
)

// trialRetryWait is the wait after a trial that did not run.
const trialRetryWait = time.Second

// suspicionRetryAfter is the Retry-After time of a request that is refused on suspicion, in which a trial may have ended it.
const suspicionRetryAfter = 5 * time.Second

// trial is the trials of one suspicion.
type trial struct {
	waits     []time.Duration
	count     int // of those that crashed their upstreams
	next      time.Time
	isRunning bool
}

// newTrial returns the trials of a suspicion that begins now.
func newTrial(now time.Time, waits []time.Duration) trial {
	return trial{waits: waits, next: now.Add(waits[0])}
}

// beginTrial admits a call that is refused on suspicion if it is time for a trial, and reports whether it does.
func (s *State) beginTrial(now time.Time, c *call) bool {
	t := s.trialOf(now, c)
	if t == nil || t.isRunning || now.Before(t.next) {
		return false
	}
	t.isRunning, c.trial = true, t
	s.note(now, c, NoteTrial, "", Poison.String(), Inputs{})
	return true
}

// trialOf returns the trials of the suspicion for which a call is refused, nil if there are several, or another daemon counts the crashes.
func (s *State) trialOf(now time.Time, c *call) *trial {
	var found []*trial
	if s.isPoison(now, c, crashesToRefuse) {
		record := s.crashes[c.contentHash]
		if record == nil {
			return nil
		}
		found = append(found, &record.trial)
	}
	for _, part := range c.parts {
		if !s.isPartRefused(now, part) {
			continue
		}
		record := s.parts.records[part]
		if record == nil || !record.refused {
			return nil
		}
		found = append(found, &record.trial)
	}
	if len(found) != 1 {
		return nil
	}
	return found[0]
}

// endTrial handles that a call has ended that was a trial.
func (s *State) endTrial(now time.Time, c *call) {
	t := c.trial
	if t == nil {
		return
	}
	c.trial, t.isRunning = nil, false
	if c.runs == 0 {
		t.next = now.Add(trialRetryWait)
		return
	}
	t.count++
	t.next = now.Add(t.waits[min(t.count, len(t.waits)-1)])
}

// leastLoaded returns the candidate with the fewest calls, which a crash would interrupt.
func leastLoaded(candidates []candidate) candidate {
	return slices.MinFunc(candidates, func(a, b candidate) int {
		switch {
		case a.calls < b.calls:
			return -1
		case a.calls > b.calls:
			return 1
		}
		return 0
	})
}

// The limits of the answers that are kept as controls.
const (
	controlTime = 30 * time.Second
	maxControls = 64
)

// controls are the calls that were answered lately. Crashes say nothing of what all requests have in common: only what others lack that
// were answered meanwhile is suspect.
type controls []control

type control struct {
	at          time.Time
	contentHash uint64
	parts       []uint64
}

// add adds an answered call.
func (l *controls) add(now time.Time, c *call) {
	next := control{at: now, contentHash: c.contentHash}
	for _, part := range c.parts {
		next.parts = append(next.parts, partHash(part))
	}
	*l = append(*l, next)
	if len(*l) > maxControls {
		*l = slices.Delete(*l, 0, len(*l)-maxControls)
	}
}

// hasWithoutPart reports whether a call without a part was answered lately.
func (l controls) hasWithoutPart(now time.Time, part string) bool {
	hash := partHash(part)
	return slices.ContainsFunc(l, func(c control) bool { return now.Sub(c.at) < controlTime && !slices.Contains(c.parts, hash) })
}

// hasOther reports whether a call with other content was answered lately.
func (l controls) hasOther(now time.Time, contentHash uint64) bool {
	return slices.ContainsFunc(l, func(c control) bool { return now.Sub(c.at) < controlTime && c.contentHash != contentHash })
}

// momentSpacing is the time between two crashes that have separate causes. Those of a power loss, a domain or a restart come together.
const momentSpacing = time.Second

// moments counts the moments of crashes.
type moments struct {
	count    int
	last     time.Time
	lastFrom string // the daemon that reported the last one
}

// add adds a crash.
func (m *moments) add(now time.Time) {
	if m.count == 0 || now.Sub(m.last) >= momentSpacing {
		m.count, m.last = m.count+1, now
	}
}

// addFrom adds a crash that a daemon reports, which reports those that come together only once.
func (m *moments) addFrom(now time.Time, daemon string) {
	if daemon == m.lastFrom {
		m.last = time.Time{}
	}
	m.lastFrom = daemon
	m.add(now)
}
