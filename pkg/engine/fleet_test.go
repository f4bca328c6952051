package engine

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/instance"
)

// The sizes and times of the fake engines.
const (
	fakeSlots           = 8
	fakeMaxQueue        = 16
	fakeTokenInterval   = 38 * time.Millisecond
	fakePrefillTime     = 150 * time.Millisecond // of a prompt that is not cached
	fakeTokensPerReport = 8
	fakeDelay           = 200 * time.Millisecond // until the daemons get a load report or a cache event
	fakeReportInterval  = 500 * time.Millisecond
	fakeMaxCached       = 8 // prefix blocks per engine
	fakeModel           = "m"
	// fakeCallsPerTenSlots is the number of calls admitted per ten slots, so that no slot is idle until the next call
	// arrives.
	fakeCallsPerTenSlots = 11
)

// timer is a function that runs at a time of the fake clock.
type timer struct {
	at    time.Time
	order int
	run   func()
}

type timerQueue []timer

func (q timerQueue) Len() int { return len(q) }

func (q timerQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].order < q[j].order
}

func (q timerQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *timerQueue) Push(x any) { *q = append(*q, x.(timer)) }

func (q *timerQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// fleet consists of fake engines and daemons with one fake clock.
type fleet struct {
	now                 time.Time
	start               time.Time
	timers              timerQueue
	lastOrder           int
	random              *rand.Rand
	engines             []*fakeEngine
	daemons             []*daemon
	results             map[caller.ID]*result
	poisonous           map[uint64]bool // fingerprints of contents that crash engines
	crashes             int
	chaos               bool // jobs fail at random, and failed ones report late
	cacheEventsDisabled bool
	prefixHits          int // prefills of a cached prefix
	prefills            int
	maxQueue            int
	invariants          *invariants
}

// result is the progress and the outcome of one call.
type result struct {
	call           caller.Call
	wantTokens     int
	arrived        time.Time
	firstToken     time.Time
	ended          time.Time
	receivedTokens int
	outcome        caller.Outcome
	runs           int
	sent           bool
}

func (f *fleet) after(delay time.Duration, run func()) {
	f.lastOrder++
	heap.Push(&f.timers, timer{f.now.Add(delay), f.lastOrder, run})
}

func (f *fleet) runUntil(end time.Time) {
	for len(f.timers) > 0 && !f.timers[0].at.After(end) {
		next := heap.Pop(&f.timers).(timer)
		f.now = next.at
		next.run()
	}
	f.now = end
}

// fakeEngine simulates an engine with continuous batching: a queue, one prefill at a time, and slots that decode.
type fakeEngine struct {
	fleet      *fleet
	upstream   Upstream
	slowdown   float64
	crashed    bool
	hidden     bool
	running    int
	queue      []*job
	prefillEnd time.Time
	cached     []uint64
	sequence   uint64
}

// job is an attempt on a fake engine.
type job struct {
	daemon   *daemon
	send     Send
	engine   *fakeEngine
	result   *result
	position int
	running  bool
	done     bool
}

func (e *fakeEngine) accept(j *job) {
	switch {
	case e.crashed:
		j.fail(NotSent)
	case len(e.queue) >= e.fleet.maxQueue:
		j.fail(RefusedOverload)
	default:
		e.queue = append(e.queue, j)
		e.startQueued()
	}
}

func (e *fakeEngine) startQueued() {
	for e.running < fakeSlots && len(e.queue) > 0 {
		j := e.queue[0]
		e.queue = e.queue[1:]
		if !j.done {
			e.startJob(j)
		}
	}
}

func (e *fakeEngine) startJob(j *job) {
	j.running = true
	j.result.runs++
	e.running++
	if e.prefillEnd.Before(e.fleet.now) {
		e.prefillEnd = e.fleet.now
	}
	e.prefillEnd = e.prefillEnd.Add(e.prefill(j))
	e.fleet.after(e.prefillEnd.Sub(e.fleet.now), func() { e.firstToken(j) })
}

// prefill returns the prefill time of the prompt, which is shorter if it is cached, and caches the prompt.
func (e *fakeEngine) prefill(j *job) time.Duration {
	uncached := time.Duration(float64(fakePrefillTime) * e.slowdown)
	e.fleet.prefills++
	for _, hash := range j.send.call.PrefixHashes() {
		for _, known := range e.cached {
			if known == hash {
				e.fleet.prefixHits++
				return uncached / 4
			}
		}
		var removed []uint64
		if len(e.cached) == fakeMaxCached {
			removed = []uint64{e.cached[0]}
			e.cached = e.cached[1:]
		}
		e.cached = append(e.cached, hash)
		e.publishCache([]uint64{hash}, removed)
	}
	return uncached
}

// publishCache sends a cache event to all daemons after a delay. One event in ten is lost.
func (e *fakeEngine) publishCache(stored, removed []uint64) {
	e.sequence++
	event := NewCacheReported(e.upstream.replica, e.sequence, stored, removed)
	for _, d := range e.fleet.daemons {
		if e.fleet.random.IntN(10) > 0 && !e.fleet.cacheEventsDisabled {
			e.fleet.after(fakeDelay, func() { d.handleEngineEvent(event) })
		}
	}
}

func (e *fakeEngine) firstToken(j *job) {
	if j.done {
		return
	}
	if e.fleet.poisonous[j.result.call.Fingerprint()] {
		e.crash()
		return
	}
	j.daemon.handleEngineEvent(NewStarted(j.send.attempt))
	e.decode(j)
}

func (e *fakeEngine) decode(j *job) {
	if j.done || j.failRandomly() {
		return
	}
	if j.position > j.result.receivedTokens {
		j.result.receivedTokens = j.position
	}
	if j.position > 0 && j.result.firstToken.IsZero() {
		j.result.firstToken = e.fleet.now
	}
	if j.position > j.send.tokenOffset {
		j.daemon.handleEngineEvent(NewProgressed(j.send.attempt, j.position))
	}
	if j.done {
		return
	}
	if j.position >= j.result.wantTokens {
		j.remove()
		j.daemon.handleEngineEvent(NewCompleted(j.send.attempt))
		return
	}
	step := min(fakeTokensPerReport, j.result.wantTokens-j.position)
	if j.position == j.send.tokenOffset {
		step = 1
	}
	j.position += step
	e.fleet.after(time.Duration(float64(step)*float64(fakeTokenInterval)*e.slowdown), func() { e.decode(j) })
}

// failRandomly fails the job with a small probability in a chaos run.
func (j *job) failRandomly() bool {
	failures := []Failure{Broken, IdentityMismatch, TimedOut}
	roll := j.engine.fleet.random.IntN(400)
	if !j.engine.fleet.chaos || roll >= len(failures) {
		return false
	}
	j.fail(failures[roll])
	return true
}

// remove removes the job from the engine.
func (j *job) remove() {
	j.done = true
	delete(j.daemon.jobs, j.send.attempt)
	if j.running {
		j.running = false
		j.engine.running--
		j.engine.startQueued()
	}
}

func (j *job) fail(f Failure) {
	if j.done {
		return
	}
	j.remove()
	j.daemon.handleEngineEvent(NewFailed(j.send.attempt, f, j.result.receivedTokens))
	if e := j.engine; e.fleet.chaos {
		e.fleet.after(fakeDelay, func() {
			j.daemon.handleEngineEvent(NewProgressed(j.send.attempt, j.result.wantTokens))
			j.daemon.handleEngineEvent(NewCompleted(j.send.attempt))
		})
	}
}

// crash stops the engine and fails its jobs. The daemons see it as unavailable a second later.
func (e *fakeEngine) crash() {
	e.crashed = true
	e.fleet.crashes++
	e.queue = nil
	for _, d := range e.fleet.daemons {
		for _, a := range d.router.sortedIDs() {
			if j := d.jobs[a]; j != nil && j.engine == e {
				j.fail(Crashed)
			}
		}
	}
	e.fleet.after(time.Second, func() { e.setHidden(e.crashed) })
}

// restart starts the engine again with an empty cache.
func (e *fakeEngine) restart() {
	e.crashed = false
	e.cached = nil
	e.setHidden(false)
}

// setHidden sets whether the daemons see the engine as unavailable.
func (e *fakeEngine) setHidden(hidden bool) {
	e.hidden = hidden
	e.fleet.updateCapacity()
}

func (e *fakeEngine) report() {
	e.upstream = e.upstream.WithLoad(instance.NewLoad(e.running, len(e.queue), 0), e.fleet.now)
}

func (f *fleet) updateCapacity() {
	slots := 0
	for _, e := range f.engines {
		if !e.hidden {
			slots += fakeSlots * fakeCallsPerTenSlots
		}
	}
	for _, d := range f.daemons {
		d.setCapacity(slots / 10)
	}
}

// fakeReplicas is a daemon's delayed view of the fake engines.
type fakeReplicas struct {
	fleet *fleet
	list  []Upstream
	index map[instance.ReplicaID]int
}

func (r *fakeReplicas) Len(string) int { return len(r.list) }

func (r *fakeReplicas) At(_ string, i int) Upstream { return r.list[i] }

func (r *fakeReplicas) Find(replica instance.ReplicaID) (Upstream, bool) {
	i, isKnown := r.index[replica]
	if !isKnown {
		return Upstream{}, false
	}
	return r.list[i], true
}

// refresh lists all engines that aren't hidden, with their last reported load.
func (r *fakeReplicas) refresh() {
	r.list, r.index = nil, map[instance.ReplicaID]int{}
	for _, e := range r.fleet.engines {
		if !e.hidden {
			r.index[e.upstream.replica] = len(r.list)
			r.list = append(r.list, e.upstream)
		}
	}
}

func newFleet(seed uint64, engines int) *fleet {
	f := &fleet{
		maxQueue:   fakeMaxQueue,
		now:        time.Unix(1_700_000_000, 0),
		start:      time.Unix(1_700_000_000, 0),
		random:     rand.New(rand.NewPCG(seed, 1)),
		results:    map[caller.ID]*result{},
		invariants: &invariants{},
	}
	for i := range engines {
		name := instance.ReplicaID(fmt.Sprintf("r%03d", i))
		upstream := NewUpstream(name, "10.0.0.1:1", fmt.Sprintf("dc%d", i%3))
		f.engines = append(f.engines, &fakeEngine{fleet: f, upstream: upstream, slowdown: 1})
	}
	f.every(fakeReportInterval, func() {
		for _, e := range f.engines {
			e.report()
		}
		f.after(fakeDelay, func() {
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
