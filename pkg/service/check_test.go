package service

import (
	"fmt"
	"strings"
	"time"

	"github.com/azurepond/azurepond/pkg/caller"
)

func (w *world) complain(format string, words ...any) {
	w.problems = append(w.problems, fmt.Sprintf(format, words...))
}

// submit sends a booking to d; kind is keyed, bare or read.
func (w *world) submit(d *daemon, b *booking, kind string, limit time.Duration) *sending {
	return w.submitContent(d, b, kind, limit, 7)
}

func (w *world) submitContent(d *daemon, b *booking, kind string, limit time.Duration, content uint64) *sending {
	d.last++
	id := d.last
	s := &sending{booking: b, kind: kind}
	d.calls[id] = s
	w.all = append(w.all, s)
	c := caller.NewCall(id, caller.Service, "desk", "koinonia", w.now.Add(limit)).WithHashes(content, nil)
	switch kind {
	case "keyed":
		c = c.WithKey(b.key)
	case "read":
		c = c.WithIdempotent()
	}
	boot := d.boot
	w.feed(d, boot, NewSubmitted(c))
	w.after(limit+2*time.Second, func() { w.expectEnd(d, boot, s) })
	return s
}

// expectEnd checks that each call ends soon after its deadline, unless its daemon was paused or replaced.
func (w *world) expectEnd(d *daemon, boot int, s *sending) {
	if d.boot != boot || s.ended != "" {
		return
	}
	if settled := d.paused.Add(2 * time.Second); w.now.Before(settled) {
		w.after(settled.Sub(w.now), func() { w.expectEnd(d, boot, s) })
		return
	}
	w.complain("a %s call of %s never ended", s.kind, s.booking.key)
}

// ran checks, as a call runs, that no key and no keyless call runs twice, and none of which "not run" was said.
func (w *world) ran(s *sending) {
	s.ran++
	if strings.HasPrefix(s.ended, "not run") {
		w.complain("%s ran after its caller was told %q", s.booking.key, s.ended)
	}
	if s.kind == "read" {
		return
	}
	if s.kind == "bare" && s.ran > 1 {
		w.complain("a call without key ran %d times", s.ran)
	}
	if s.kind == "keyed" {
		w.runs[s.booking.key]++
		if w.runs[s.booking.key] > 1 {
			w.complain("%s ran %d times", s.booking.key, w.runs[s.booking.key])
		}
	}
}

// end checks what a caller is told as its call ends.
func (w *world) end(d *daemon, id caller.ID, outcome, replayed string) {
	s := d.calls[id]
	if s.ended != "" {
		w.complain("a call ended twice: %s, then %s", s.ended, outcome)
	}
	s.ended = outcome
	if strings.HasPrefix(outcome, "not run") && s.ran > 0 {
		w.complain("%q was said of %s, which ran", outcome, s.booking.key)
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
	if replayed != "ticket of "+s.booking.key {
		w.complain("%s was answered with the %s", s.booking.key, replayed)
	}
}

// checkQuiet checks that nothing is left in memory or in the store once all keys are too old.
func (w *world) checkQuiet() {
	for _, d := range w.daemons {
		if d.state.Calls() > 0 || d.state.Attempts() > 0 || d.state.ClaimObjects() > 0 || len(d.state.order) > 0 {
			w.complain("%s keeps %d calls, %d attempts, %d objects", d.name, d.state.Calls(), d.state.Attempts(),
				d.state.ClaimObjects())
		}
	}
	if len(w.store.objects) > w.orphans {
		w.complain("%d objects were not removed, %d came too late", len(w.store.objects), w.orphans)
	}
}
