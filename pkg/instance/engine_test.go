package instance

import (
	"strconv"
	"time"
)

// fakeEngine stands for the engine of one instance.
type fakeEngine struct {
	row        Instance
	starts     int
	alive      bool
	paused     bool
	jammed     bool // loads never end
	excused    bool // took an order long after its deadline, since it doesn't check fencing numbers
	checks     bool
	highest    FencingToken
	assignment Assignment
	model      string
	rank       int
	phase      Phase
	remaining  time.Duration
	running    int
	leftAt     time.Time
	name       BootID
	matched    map[Assignment]time.Time // when each assignment was last ready in the present start
	boots      map[BootID]time.Time     // when each start was last alive
}

func newFakeEngine(row Instance, checks bool) *fakeEngine {
	return &fakeEngine{
		row: row, name: BootID(row.id) + ".0", alive: true, checks: checks,
		matched: map[Assignment]time.Time{}, boots: map[BootID]time.Time{},
	}
}

func (f *fakeEngine) boot() BootID { return f.name }

func (f *fakeEngine) answers() bool { return f.alive && !f.paused }

func (f *fakeEngine) loading() bool { return f.answers() && f.phase == Loading }

// restart begins a new start that holds nothing.
func (f *fakeEngine) restart() {
	f.starts++
	f.name = BootID(string(f.row.id) + "." + strconv.Itoa(f.starts))
	f.alive, f.paused, f.jammed = true, false, false
	f.assignment, f.phase, f.highest, f.running = Assignment{}, Idle, 0, 0
	f.matched = map[Assignment]time.Time{}
}

// advance lets time pass by step.
func (f *fakeEngine) advance(step time.Duration) {
	if !f.answers() {
		return
	}
	if f.phase == Loading && !f.jammed {
		f.remaining -= step
		if f.remaining <= 0 {
			f.phase = Ready
		}
	}
}

// note keeps what the checkers ask for: when this start was last alive, and when it was last ready in its place.
func (f *fakeEngine) note(now time.Time) {
	if !f.answers() {
		return
	}
	f.boots[f.boot()] = now
	if f.phase == Ready {
		f.matched[f.assignment] = now
	}
}

// take carries out an order and reports whether it did.
func (f *fakeEngine) take(o Order, load time.Duration) bool {
	if f.checks && o.assignment.fencingToken < f.highest {
		return false
	}
	f.highest = max(f.highest, o.assignment.fencingToken)
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

func (f *fakeEngine) sighting(watcher string, now time.Time) ProbeResult {
	if !f.answers() {
		return NewFailedProbe(f.row.id, watcher, now)
	}
	return NewProbeResult(f.row.id, f.boot(), f.assignment, f.phase, NewLoad(f.running, 0, 0), watcher, now)
}
