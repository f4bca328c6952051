package engine

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/instance"
)

// The sizes of the fake engines.
const (
	fakeSlots    = 8
	fakeQueue    = 16
	fakeInterval = 38 * time.Millisecond
	fakePrefill  = 150 * time.Millisecond
	fakeChunk    = 8
	fakeLag      = 200 * time.Millisecond
	fakeReport   = 500 * time.Millisecond
	fakeCached   = 8
	fakeModel    = "m"
	// fakeDepth is how many calls are admitted for ten slots, so that no slot waits for the next call.
	fakeDepth = 11
)

// task is something that happens at a time of the fake clock.
type task struct {
	at    time.Time
	order int
	run   func()
}

type agenda []task

func (a agenda) Len() int { return len(a) }

func (a agenda) Less(i, j int) bool {
	if !a[i].at.Equal(a[j].at) {
		return a[i].at.Before(a[j].at)
	}
	return a[i].order < a[j].order
}

func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

func (a *agenda) Push(x any) { *a = append(*a, x.(task)) }

func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// fleet is fake engines and daemons under one fake clock.
type fleet struct {
	now     time.Time
	begun   time.Time
	agenda  agenda
	order   int
	random  *rand.Rand
	workers []*worker
	daemons []*daemon
	results map[caller.ID]*result
	poison  map[uint64]bool
	crashes int
	chaos   bool
	silent  bool // no cache events come
	hits    int  // calls that began with a cached prefix
	fills   int  // calls that began
	depth   int
	checks  *checks
}

// result is what became of one call.
type result struct {
	call    caller.Call
	want    int
	arrived time.Time
	first   time.Time
	ended   time.Time
	tokens  int
	outcome caller.Outcome
	runs    int
	sent    bool
}

func (f *fleet) after(delay time.Duration, run func()) {
	f.order++
	heap.Push(&f.agenda, task{f.now.Add(delay), f.order, run})
}

func (f *fleet) runUntil(end time.Time) {
	for len(f.agenda) > 0 && !f.agenda[0].at.After(end) {
		next := heap.Pop(&f.agenda).(task)
		f.now = next.at
		next.run()
	}
	f.now = end
}

// worker is a fake engine with continuous batching: a queue, one prefill at a time, and slots that decode.
type worker struct {
	fleet    *fleet
	seen     Upstream
	slow     float64
	dead     bool
	hidden   bool
	running  int
	queue    []*job
	busy     time.Time
	cached   []uint64
	sequence uint64
}

// job is an attempt as the fake engine sees it.
type job struct {
	daemon  *daemon
	send    Send
	worker  *worker
	result  *result
	at      int
	running bool
	over    bool
}

func (w *worker) accept(j *job) {
	switch {
	case w.dead:
		j.fail(NotSent)
	case len(w.queue) >= w.fleet.depth:
		j.fail(RefusedOverload)
	default:
		w.queue = append(w.queue, j)
		w.pump()
	}
}

func (w *worker) pump() {
	for w.running < fakeSlots && len(w.queue) > 0 {
		j := w.queue[0]
		w.queue = w.queue[1:]
		if !j.over {
			w.begin(j)
		}
	}
}

func (w *worker) begin(j *job) {
	j.running = true
	j.result.runs++
	w.running++
	if w.busy.Before(w.fleet.now) {
		w.busy = w.fleet.now
	}
	w.busy = w.busy.Add(w.prefill(j))
	w.fleet.after(w.busy.Sub(w.fleet.now), func() { w.first(j) })
}

// prefill returns how long the prompt takes, less if it is cached, and caches it.
func (w *worker) prefill(j *job) time.Duration {
	full := time.Duration(float64(fakePrefill) * w.slow)
	w.fleet.fills++
	for _, hash := range j.send.call.Prefix() {
		for _, known := range w.cached {
			if known == hash {
				w.fleet.hits++
				return full / 4
			}
		}
		var removed []uint64
		if len(w.cached) == fakeCached {
			removed = []uint64{w.cached[0]}
			w.cached = w.cached[1:]
		}
		w.cached = append(w.cached, hash)
		w.announce([]uint64{hash}, removed)
	}
	return full
}

// announce tells all daemons what is cached, late; one event in ten is lost.
func (w *worker) announce(stored, removed []uint64) {
	w.sequence++
	event := NewCacheReported(w.seen.replica, w.sequence, stored, removed)
	for _, d := range w.fleet.daemons {
		if w.fleet.random.IntN(10) > 0 && !w.fleet.silent {
			w.fleet.after(fakeLag, func() { d.engine(event) })
		}
	}
}

func (w *worker) first(j *job) {
	if j.over {
		return
	}
	if w.fleet.poison[j.result.call.Fingerprint()] {
		w.crash()
		return
	}
	j.daemon.engine(NewStarted(j.send.attempt))
	w.decode(j)
}

func (w *worker) decode(j *job) {
	if j.over || j.breaks() {
		return
	}
	if j.at > j.result.tokens {
		j.result.tokens = j.at
	}
	if j.at > 0 && j.result.first.IsZero() {
		j.result.first = w.fleet.now
	}
	if j.at > j.send.tokenOffset {
		j.daemon.engine(NewProgressed(j.send.attempt, j.at))
	}
	if j.over {
		return
	}
	if j.at >= j.result.want {
		j.leave()
		j.daemon.engine(NewCompleted(j.send.attempt))
		return
	}
	step := min(fakeChunk, j.result.want-j.at)
	if j.at == j.send.tokenOffset {
		step = 1
	}
	j.at += step
	w.fleet.after(time.Duration(float64(step)*float64(fakeInterval)*w.slow), func() { w.decode(j) })
}

// breaks fails the job now and then if the fleet is in chaos.
func (j *job) breaks() bool {
	failures := []Failure{Broken, IdentityMismatch, TimedOut}
	roll := j.worker.fleet.random.IntN(400)
	if !j.worker.fleet.chaos || roll >= len(failures) {
		return false
	}
	j.fail(failures[roll])
	return true
}

// leave takes the job out of the engine.
func (j *job) leave() {
	j.over = true
	delete(j.daemon.jobs, j.send.attempt)
	if j.running {
		j.running = false
		j.worker.running--
		j.worker.pump()
	}
}

func (j *job) fail(f Failure) {
	if j.over {
		return
	}
	j.leave()
	j.daemon.engine(NewFailed(j.send.attempt, f, j.result.tokens))
	if w := j.worker; w.fleet.chaos {
		w.fleet.after(fakeLag, func() {
			j.daemon.engine(NewProgressed(j.send.attempt, j.result.want))
			j.daemon.engine(NewCompleted(j.send.attempt))
		})
	}
}

// crash kills the engine with all that runs there; it is hidden from the daemons a second later.
func (w *worker) crash() {
	w.dead = true
	w.fleet.crashes++
	w.queue = nil
	for _, d := range w.fleet.daemons {
		for _, a := range d.routes.sortedIDs() {
			if j := d.jobs[a]; j != nil && j.worker == w {
				j.fail(Crashed)
			}
		}
	}
	w.fleet.after(time.Second, func() { w.hide(w.dead) })
}

// revive starts the engine again, empty.
func (w *worker) revive() {
	w.dead = false
	w.cached = nil
	w.hide(false)
}

// hide lets the daemons take the engine for not whole, or for whole again.
func (w *worker) hide(hidden bool) {
	w.hidden = hidden
	w.fleet.resize()
}

func (w *worker) report() {
	w.seen = w.seen.WithLoad(instance.NewLoad(w.running, len(w.queue), 0), w.fleet.now)
}

func (f *fleet) resize() {
	slots := 0
	for _, w := range f.workers {
		if !w.hidden {
			slots += fakeSlots * fakeDepth
		}
	}
	for _, d := range f.daemons {
		d.capacity(slots / 10)
	}
}

// reports is a daemon's lagging view of the fake engines.
type reports struct {
	fleet *fleet
	list  []Upstream
	index map[instance.ReplicaID]int
}

func (r *reports) Len(string) int { return len(r.list) }

func (r *reports) At(_ string, i int) Upstream { return r.list[i] }

func (r *reports) Find(replica instance.ReplicaID) (Upstream, bool) {
	i, isKnown := r.index[replica]
	if !isKnown {
		return Upstream{}, false
	}
	return r.list[i], true
}

// refresh reads all engines that are not known to be dead, as they were when they reported.
func (r *reports) refresh() {
	r.list, r.index = nil, map[instance.ReplicaID]int{}
	for _, w := range r.fleet.workers {
		if !w.hidden {
			r.index[w.seen.replica] = len(r.list)
			r.list = append(r.list, w.seen)
		}
	}
}

func newFleet(seed uint64, workers int) *fleet {
	f := &fleet{
		depth:   fakeQueue,
		now:     time.Unix(1_700_000_000, 0),
		begun:   time.Unix(1_700_000_000, 0),
		random:  rand.New(rand.NewPCG(seed, 1)),
		results: map[caller.ID]*result{},
		checks:  &checks{},
	}
	for i := range workers {
		name := instance.ReplicaID(fmt.Sprintf("r%03d", i))
		seen := NewUpstream(name, "10.0.0.1:1", fmt.Sprintf("dc%d", i%3))
		f.workers = append(f.workers, &worker{fleet: f, seen: seen, slow: 1})
	}
	f.every(fakeReport, func() {
		for _, w := range f.workers {
			w.report()
		}
		f.after(fakeLag, func() {
			for _, d := range f.daemons {
				d.replicas.refresh()
			}
		})
	})
	return f
}

func (f *fleet) every(period time.Duration, run func()) {
	run()
	f.after(period, func() { f.every(period, run) })
}
