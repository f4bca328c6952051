package service

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/azurepond/azurepond/internal/golden"
	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/object"
)

// simulation runs several daemons with one store and one service in virtual time, with random faults.
type simulation struct {
	random          *rand.Rand
	now             time.Time
	timers          timerQueue
	lastTimer       int
	store           *store
	storeOutUntil   time.Time
	daemons         []*daemon
	runsByKey       map[string]int
	requests        []*clientRequest
	submissions     []*submission
	mutate          func(Event) Event
	injectFaults    bool
	orphans         int
	leavingUpstream string
	violations      []string
}

// daemon is one process. A restart replaces its state and drops its pending requests and answers.
type daemon struct {
	name        string
	incarnation int
	state       State
	pausedUntil time.Time
	calls       map[caller.ID]*submission
	attempts    map[AttemptID]*submission
	lastID      caller.ID
	puts        map[object.Ref]bool
	sends       int
}

// clientRequest is a request that must run at most once. A caller may submit it several times.
type clientRequest struct {
	key      string
	answered string
}

// submission is one call at one daemon.
type submission struct {
	request     *clientRequest
	kind        string
	reply       string
	runs        int
	outcome     string
	submittedAt time.Time
	sentAt      time.Time
}

type timer struct {
	at     time.Time
	number int
	run    func()
}

type timerQueue []timer

func (q timerQueue) Len() int { return len(q) }

func (q timerQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].number < q[j].number
}

func (q timerQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *timerQueue) Push(x any) { *q = append(*q, x.(timer)) }

func (q *timerQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newSimulation(seed uint64, daemons int, injectFaults bool, mutate func(Event) Event) *simulation {
	sim := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), now: golden.Epoch, store: newStore(), injectFaults: injectFaults,
		runsByKey: map[string]int{}, mutate: mutate,
	}
	for i := range daemons {
		d := &daemon{name: fmt.Sprintf("e%d", i)}
		sim.daemons = append(sim.daemons, d)
		sim.restart(d)
		sim.tick(d)
	}
	return sim
}

func (sim *simulation) after(wait time.Duration, run func()) {
	sim.lastTimer++
	heap.Push(&sim.timers, timer{sim.now.Add(wait), sim.lastTimer, run})
}

// run advances the virtual time by duration.
func (sim *simulation) run(duration time.Duration) {
	end := sim.now.Add(duration)
	for len(sim.timers) > 0 && !sim.timers[0].at.After(end) {
		next := heap.Pop(&sim.timers).(timer)
		sim.now = next.at
		next.run()
	}
	sim.now = end
}

func (sim *simulation) restart(d *daemon) {
	d.incarnation++
	d.state = State{}
	d.calls, d.attempts = map[caller.ID]*submission{}, map[AttemptID]*submission{}
	d.puts = map[object.Ref]bool{}
	writer := fmt.Sprintf("%s-%d", d.name, d.incarnation)
	settings := NewSettings(writer, "athens", uint64(d.incarnation), NewService("desk", sim.random.IntN(2) == 0))
	d.state.Reduce(sim.now, NewConfigured(settings))
	d.state.Reduce(sim.now, NewPeersChanged("e0", "e1", "e2"))
	d.state.sweeper.peers[0] = d.name
	d.state.Reduce(sim.now, NewUpstreamsChanged("desk", NewUpstream("u1", "athens", 0), NewUpstream("u2", "athens", 0),
		NewUpstream("u3", "patras", 0)))
}

func (sim *simulation) tick(d *daemon) {
	sim.feed(d, d.incarnation, NewTicked())
	pause := 100 * time.Millisecond
	if d.state.Calls() == 0 && d.state.ClaimObjects() == 0 && d.state.Attempts() == 0 {
		pause = time.Second
	}
	sim.after(pause, func() { sim.tick(d) })
}

// feed passes an event to d once d is not paused. It drops the event if d was restarted.
func (sim *simulation) feed(d *daemon, incarnation int, e Event) {
	sim.whenRunning(d, incarnation, func() {
		if sim.mutate != nil {
			e = sim.mutate(e)
		}
		for _, effect := range d.state.Reduce(sim.now, e) {
			sim.execute(d, effect)
		}
	})
}

func (sim *simulation) whenRunning(d *daemon, incarnation int, run func()) {
	if d.incarnation != incarnation {
		return
	}
	if sim.now.Before(d.pausedUntil) {
		sim.after(d.pausedUntil.Sub(sim.now), func() { sim.whenRunning(d, incarnation, run) })
		return
	}
	run()
}

// execute carries out an effect after a short delay, in which a pause or a restart may occur.
func (sim *simulation) execute(d *daemon, effect Effect) {
	incarnation := d.incarnation
	switch e := effect.(type) {
	case Store:
		sim.after(sim.delay(2), func() {
			sim.whenRunning(d, incarnation, func() { sim.request(d, incarnation, e.Request()) })
		})
	case Send:
		s := d.calls[e.Call().ID()]
		d.attempts[e.Attempt()] = s
		d.sends++
		s.sentAt = sim.now
		if e.Address() == sim.leavingUpstream {
			sim.addViolation("a call was sent to an upstream that is leaving")
		}
		sim.after(sim.delay(1), func() { sim.whenRunning(d, incarnation, func() { sim.send(d, incarnation, e, s) }) })
	case Cancel:
		sim.after(sim.delay(1), func() { sim.feed(d, incarnation, NewFailed(e.Attempt(), Halted)) })
	case Finish:
		sim.checkEnd(d, e.ID(), describeOutcome(e.Outcome()), "")
	case Replay:
		sim.checkEnd(d, e.ID(), "answered", string(e.Answer().Body()))
	}
}

// delay returns a random duration of up to maxMilliseconds.
func (sim *simulation) delay(maxMilliseconds int) time.Duration {
	return time.Duration(sim.random.IntN(maxMilliseconds*1000)+1) * time.Microsecond
}

func (sim *simulation) chance(percent int) bool {
	return sim.injectFaults && sim.random.IntN(100) < percent
}

// request carries out one request to the store. Requests and answers may be lost or delayed for a long time.
func (sim *simulation) request(d *daemon, incarnation int, r object.Request) {
	answer := func(result object.Result) {
		sim.after(sim.delay(4), func() { sim.feed(d, incarnation, NewStoreCompleted(result)) })
	}
	switch {
	case sim.now.Before(sim.storeOutUntil) && sim.chance(70):
		answer(object.NewRefused(r.Ref(), "out"))
	case sim.now.Before(sim.storeOutUntil):
		answer(object.NewLost(r.Ref()))
	case sim.chance(4):
		sim.applyRequest(r)
		answer(object.NewLost(r.Ref()))
	case sim.chance(2):
		sim.after(sim.delay(5_000_000), func() { sim.applyRequest(r) })
		answer(object.NewLost(r.Ref()))
	default:
		answer(sim.applyRequest(r))
	}
}

// applyRequest applies a request to the store and counts the objects that are created after the sweep has passed them.
func (sim *simulation) applyRequest(r object.Request) object.Result {
	if put, isPut := r.(object.Put); isPut && put.ExpectedVersion() == "" {
		span, _ := strconv.ParseInt(strings.Split(r.Key().Name(), "-")[1], 10, 64)
		if isSpanExpired(span, sim.now) {
			sim.orphans++
		}
	}
	return sim.store.do(r)
}

// send sends a call to an upstream. The call may arrive much later than the limit, as if the daemon had paused between
// the check and the send.
func (sim *simulation) send(d *daemon, incarnation int, e Send, s *submission) {
	if sim.now.After(e.NotAfter()) || sim.chance(5) {
		sim.feed(d, incarnation, NewFailed(e.Attempt(), NotSent))
		return
	}
	latency := sim.delay(2)
	if sim.chance(2) {
		latency = sim.delay(7_200_000)
	}
	sim.after(latency, func() { sim.arrive(d, incarnation, e, s) })
}

func (sim *simulation) arrive(d *daemon, incarnation int, e Send, s *submission) {
	switch {
	case sim.chance(3):
		sim.feed(d, incarnation, NewFailed(e.Attempt(), AnswerIncomplete))
		return
	case sim.chance(3):
		sim.feed(d, incarnation, NewReplied(e.Attempt(), NewAnswer(tooManyRequests, "", nil)))
		return
	}
	sim.checkRun(s)
	body := "ticket of " + s.request.key
	switch {
	case sim.chance(4):
		sim.feed(d, incarnation, NewFailed(e.Attempt(), IdentityMismatch))
	case sim.chance(6):
		sim.feed(d, incarnation, NewFailed(e.Attempt(), AnswerIncomplete))
	default:
		sim.after(sim.delay(300), func() {
			s.reply = body
			sim.feed(d, incarnation, NewReplied(e.Attempt(), NewAnswer(201, "text/plain", []byte(body))))
		})
	}
}
