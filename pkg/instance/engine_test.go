package instance

import (
	"strconv"
	"time"
)

// fakeEngine simulates the engine of one instance.
type fakeEngine struct {
	listing       Instance
	restarts      int
	alive         bool
	paused        bool
	loadStalled   bool // its loads never finish
	lateOrder     bool // accepted an order long after its deadline
	checksFencing bool
	highestToken  FencingToken
	assignment    Assignment
	model         string
	rank          int
	phase         Phase
	remaining     time.Duration // until the load ends
	running       int
	leftAt        time.Time
	bootID        BootID
	lastReady     map[Assignment]time.Time // when each assignment was last ready in the current boot
	lastAlive     map[BootID]time.Time     // when each boot was last alive
}

func newFakeEngine(listing Instance, checksFencing bool) *fakeEngine {
	return &fakeEngine{
		listing: listing, bootID: BootID(listing.id) + ".0", alive: true, checksFencing: checksFencing,
		lastReady: map[Assignment]time.Time{}, lastAlive: map[BootID]time.Time{},
	}
}

func (f *fakeEngine) boot() BootID { return f.bootID }

func (f *fakeEngine) answers() bool { return f.alive && !f.paused }

func (f *fakeEngine) loading() bool { return f.answers() && f.phase == PhaseLoading }

// restart starts a new boot without an assignment.
func (f *fakeEngine) restart() {
	f.restarts++
	f.bootID = BootID(string(f.listing.id) + "." + strconv.Itoa(f.restarts))
	f.alive, f.paused, f.loadStalled = true, false, false
	f.assignment, f.phase, f.highestToken, f.running = Assignment{}, PhaseIdle, 0, 0
	f.lastReady = map[Assignment]time.Time{}
}

// advance simulates the passing of step.
func (f *fakeEngine) advance(step time.Duration) {
	if !f.answers() {
		return
	}
	if f.phase == PhaseLoading && !f.loadStalled {
		f.remaining -= step
		if f.remaining <= 0 {
			f.phase = PhaseReady
		}
	}
}

// recordHistory records for the checkers when this boot was last alive, and when it was last ready with its assignment.
func (f *fakeEngine) recordHistory(now time.Time) {
	if !f.answers() {
		return
	}
	f.lastAlive[f.boot()] = now
	if f.phase == PhaseReady {
		f.lastReady[f.assignment] = now
	}
}

// handleOrder carries out an order and reports whether it did.
func (f *fakeEngine) handleOrder(o Order, load time.Duration) bool {
	if f.checksFencing && o.assignment.fencingToken < f.highestToken {
		return false
	}
	f.highestToken = max(f.highestToken, o.assignment.fencingToken)
	keepsModel := f.phase != PhaseIdle && f.assignment.replica == o.assignment.replica && f.model == o.model && f.rank == o.rank
	f.assignment, f.model, f.rank = o.assignment, o.model, o.rank
	switch {
	case o.IsRelease():
		f.phase = PhaseIdle
	case !keepsModel:
		f.phase, f.remaining = PhaseLoading, load
	}
	return true
}

func (f *fakeEngine) probe(watcher string, now time.Time) ProbeResult {
	if !f.answers() {
		return NewFailedProbe(f.listing.id, watcher, now)
	}
	return NewProbeResult(f.listing.id, f.boot(), f.assignment, f.phase, NewLoad(f.running, 0, 0), watcher, now)
}
