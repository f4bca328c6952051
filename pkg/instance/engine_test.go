package instance

import (
	"strconv"
	"time"
)

// fakeEngine stands for the engine of one instance.
type fakeEngine struct {
	row           Instance
	starts        int
	alive         bool
	paused        bool
	loadStalled   bool // loads never end
	lateOrder     bool // took an order long after its deadline, since it doesn't check fencing numbers
	checksFencing bool
	highestToken  FencingToken
	assignment    Assignment
	model         string
	rank          int
	phase         Phase
	remaining     time.Duration
	running       int
	leftAt        time.Time
	bootID        BootID
	lastReady     map[Assignment]time.Time // when each assignment was last ready in the present start
	lastAlive     map[BootID]time.Time     // when each start was last alive
}

func newFakeEngine(row Instance, checks bool) *fakeEngine {
	return &fakeEngine{
		row: row, bootID: BootID(row.id) + ".0", alive: true, checksFencing: checks,
		lastReady: map[Assignment]time.Time{}, lastAlive: map[BootID]time.Time{},
	}
}

func (f *fakeEngine) boot() BootID { return f.bootID }

func (f *fakeEngine) answers() bool { return f.alive && !f.paused }

func (f *fakeEngine) loading() bool { return f.answers() && f.phase == Loading }

// restart begins a new start that holds nothing.
func (f *fakeEngine) restart() {
	f.starts++
	f.bootID = BootID(string(f.row.id) + "." + strconv.Itoa(f.starts))
	f.alive, f.paused, f.loadStalled = true, false, false
	f.assignment, f.phase, f.highestToken, f.running = Assignment{}, Idle, 0, 0
	f.lastReady = map[Assignment]time.Time{}
}

// advance lets time pass by step.
func (f *fakeEngine) advance(step time.Duration) {
	if !f.answers() {
		return
	}
	if f.phase == Loading && !f.loadStalled {
		f.remaining -= step
		if f.remaining <= 0 {
			f.phase = Ready
		}
	}
}

// note keeps what the checkers ask for: when this start was last alive, and when it was last ready in its place.
func (f *fakeEngine) recordHistory(now time.Time) {
	if !f.answers() {
		return
	}
	f.lastAlive[f.boot()] = now
	if f.phase == Ready {
		f.lastReady[f.assignment] = now
	}
}

// take carries out an order and reports whether it did.
func (f *fakeEngine) handleOrder(o Order, load time.Duration) bool {
	if f.checksFencing && o.assignment.fencingToken < f.highestToken {
		return false
	}
	f.highestToken = max(f.highestToken, o.assignment.fencingToken)
	keeps := f.phase != Idle && f.assignment.replica == o.assignment.replica && f.model == o.model && f.rank == o.rank
	f.assignment, f.model, f.rank = o.assignment, o.model, o.rank
	switch {
	case o.IsRelease():
		f.phase = Idle
	case !keeps:
		f.phase, f.remaining = Loading, load
	}
	return true
}

func (f *fakeEngine) probe(watcher string, now time.Time) ProbeResult {
	if !f.answers() {
		return NewFailedProbe(f.row.id, watcher, now)
	}
	return NewProbeResult(f.row.id, f.boot(), f.assignment, f.phase, NewLoad(f.running, 0, 0), watcher, now)
}
