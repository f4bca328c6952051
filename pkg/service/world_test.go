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

// world runs several daemons before one store and one service in virtual time, with failures drawn from a seed.
type world struct {
	random   *rand.Rand
	now      time.Time
	agenda   agenda
	number   int
	store    *store
	storeOut time.Time
	daemons  []*daemon
	runs     map[string]int
	bookings []*booking
	all      []*sending
	breaking func(Event) Event
	faults   bool
	orphans  int
	leaving  string
	problems []string
}

// daemon is one entry; a restart replaces its state and drops what it had on its way.
type daemon struct {
	name    string
	boot    int
	state   State
	paused  time.Time
	calls   map[caller.ID]*sending
	tries   map[AttemptID]*sending
	last    caller.ID
	puts    map[object.Ref]bool
	started int
}

// booking is what one caller wants to run once.
type booking struct {
	key      string
	answered string
}

// sending is one call as one daemon saw it.
type sending struct {
	booking *booking
	kind    string
	reply   string
	ran     int
	ended   string
	at      time.Time
	began   time.Time
}

type task struct {
	at     time.Time
	number int
	run    func()
}

type agenda []task

func (a agenda) Len() int { return len(a) }

func (a agenda) Less(i, j int) bool {
	return a[i].at.Before(a[j].at) || a[i].at.Equal(a[j].at) && a[i].number < a[j].number
}

func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

func (a *agenda) Push(x any) { *a = append(*a, x.(task)) }

func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

func newWorld(seed uint64, daemons int, faults bool, breaking func(Event) Event) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 1)), now: golden.Epoch, store: newStore(), faults: faults,
		runs: map[string]int{}, breaking: breaking,
	}
	for i := range daemons {
		d := &daemon{name: fmt.Sprintf("e%d", i)}
		w.daemons = append(w.daemons, d)
		w.restart(d)
		w.tick(d)
	}
	return w
}

func (w *world) after(wait time.Duration, run func()) {
	w.number++
	heap.Push(&w.agenda, task{w.now.Add(wait), w.number, run})
}

// run goes on until limit.
func (w *world) run(limit time.Duration) {
	end := w.now.Add(limit)
	for len(w.agenda) > 0 && !w.agenda[0].at.After(end) {
		next := heap.Pop(&w.agenda).(task)
		w.now = next.at
		next.run()
	}
	w.now = end
}

func (w *world) restart(d *daemon) {
	d.boot++
	d.state = State{}
	d.calls, d.tries = map[caller.ID]*sending{}, map[AttemptID]*sending{}
	d.puts = map[object.Ref]bool{}
	writer := fmt.Sprintf("%s-%d", d.name, d.boot)
	settings := NewSettings(writer, "athens", uint64(d.boot), NewService("desk", w.random.IntN(2) == 0))
	d.state.Reduce(w.now, NewConfigured(settings))
	d.state.Reduce(w.now, NewPeersChanged("e0", "e1", "e2"))
	d.state.sweep.peers[0] = d.name
	d.state.Reduce(w.now, NewUpstreamsChanged("desk", NewUpstream("u1", "athens", 0), NewUpstream("u2", "athens", 0),
		NewUpstream("u3", "patras", 0)))
}

func (w *world) tick(d *daemon) {
	w.feed(d, d.boot, NewTicked())
	pause := 100 * time.Millisecond
	if d.state.Calls() == 0 && d.state.ClaimObjects() == 0 && d.state.Attempts() == 0 {
		pause = time.Second
	}
	w.after(pause, func() { w.tick(d) })
}

// feed hands an event to d once it is not paused, unless it was restarted meanwhile.
func (w *world) feed(d *daemon, boot int, e Event) {
	w.awake(d, boot, func() {
		if w.breaking != nil {
			e = w.breaking(e)
		}
		for _, effect := range d.state.Reduce(w.now, e) {
			w.execute(d, effect)
		}
	})
}

func (w *world) awake(d *daemon, boot int, run func()) {
	if d.boot != boot {
		return
	}
	if w.now.Before(d.paused) {
		w.after(d.paused.Sub(w.now), func() { w.awake(d, boot, run) })
		return
	}
	run()
}

// execute carries out an effect a little later, so that a pause or a restart may come between.
func (w *world) execute(d *daemon, effect Effect) {
	boot := d.boot
	switch e := effect.(type) {
	case Store:
		w.after(w.delay(2), func() { w.awake(d, boot, func() { w.request(d, boot, e.Request()) }) })
	case Send:
		s := d.calls[e.Call().ID()]
		d.tries[e.Attempt()] = s
		d.started++
		s.began = w.now
		if e.Address() == w.leaving {
			w.complain("a call went to an upstream that is leaving")
		}
		w.after(w.delay(1), func() { w.awake(d, boot, func() { w.send(d, boot, e, s) }) })
	case Cancel:
		w.after(w.delay(1), func() { w.feed(d, boot, NewFailed(e.Attempt(), Halted)) })
	case Finish:
		w.end(d, e.ID(), describeOutcome(e.Outcome()), "")
	case Replay:
		w.end(d, e.ID(), "answered", string(e.Answer().Body()))
	}
}

// delay draws up to most milliseconds.
func (w *world) delay(most int) time.Duration {
	return time.Duration(w.random.IntN(most*1000)+1) * time.Microsecond
}

func (w *world) chance(percent int) bool { return w.faults && w.random.IntN(100) < percent }

// request carries out one request to the store, with answers and requests that get lost or come much later.
func (w *world) request(d *daemon, boot int, r object.Request) {
	answer := func(result object.Result) { w.after(w.delay(4), func() { w.feed(d, boot, NewStoreCompleted(result)) }) }
	switch {
	case w.now.Before(w.storeOut) && w.chance(70):
		answer(object.NewRefused(r.Ref(), "out"))
	case w.now.Before(w.storeOut):
		answer(object.NewLost(r.Ref()))
	case w.chance(4):
		w.reach(r)
		answer(object.NewLost(r.Ref()))
	case w.chance(2):
		w.after(w.delay(5_000_000), func() { w.reach(r) })
		answer(object.NewLost(r.Ref()))
	default:
		answer(w.reach(r))
	}
}

// reach lets a request take effect, and counts the objects that are created when nobody looks for them any more.
func (w *world) reach(r object.Request) object.Result {
	if put, isPut := r.(object.Put); isPut && put.ExpectedVersion() == "" {
		number, _ := strconv.ParseInt(strings.Split(r.Key().Name(), "-")[1], 10, 64)
		if expired(number, w.now) {
			w.orphans++
		}
	}
	return w.store.do(r)
}

// send hands a call over to an upstream; a pause after the check of the limit makes it arrive much later.
func (w *world) send(d *daemon, boot int, e Send, s *sending) {
	if w.now.After(e.NotAfter()) || w.chance(5) {
		w.feed(d, boot, NewFailed(e.Attempt(), NotSent))
		return
	}
	travel := w.delay(2)
	if w.chance(2) {
		travel = w.delay(7_200_000)
	}
	w.after(travel, func() { w.arrive(d, boot, e, s) })
}

func (w *world) arrive(d *daemon, boot int, e Send, s *sending) {
	switch {
	case w.chance(3):
		w.feed(d, boot, NewFailed(e.Attempt(), AnswerIncomplete))
		return
	case w.chance(3):
		w.feed(d, boot, NewReplied(e.Attempt(), NewAnswer(tooManyRequests, "", nil)))
		return
	}
	w.ran(s)
	body := "ticket of " + s.booking.key
	switch {
	case w.chance(4):
		w.feed(d, boot, NewFailed(e.Attempt(), IdentityMismatch))
	case w.chance(6):
		w.feed(d, boot, NewFailed(e.Attempt(), AnswerIncomplete))
	default:
		w.after(w.delay(300), func() {
			s.reply = body
			w.feed(d, boot, NewReplied(e.Attempt(), NewAnswer(201, "text/plain", []byte(body))))
		})
	}
}
