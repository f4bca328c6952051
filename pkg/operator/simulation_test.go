package operator_test

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/azurepond/azurepond/pkg/object"
	"github.com/azurepond/azurepond/pkg/operator"
)

// simulation runs several daemons on one store, with random faults from a seed.
type simulation struct {
	random       *rand.Rand
	now          time.Time
	queue        timerQueue
	lastSequence int
	faultsOff    bool
	store        store
	daemons      []*daemon
	tamper       func(object.Result) object.Result
	answers      map[operator.RequestID][]operator.Outcome
	published    map[operator.Revision]string // document of each published revision
	resent       map[operator.RequestID]bool  // requests with a retry
	violations   []string
}

// store holds the object of the platform and all writes to it.
type store struct {
	version          int
	data             []byte
	writes           []storedRecord
	unavailableUntil time.Time
}

// storedRecord is the decoded content of one write.
type storedRecord struct {
	Revision uint64 `json:"revision"`
	History  []struct {
		Revision uint64          `json:"revision"`
		Base     uint64          `json:"base"`
		Team     string          `json:"team"`
		Request  string          `json:"request"`
		Config   json.RawMessage `json:"config"`
	} `json:"history"`
}

type daemon struct {
	name        string
	incarnation int
	state       *operator.State
}

type timer struct {
	at       time.Time
	sequence int
	run      func()
}

type timerQueue []timer

func (q timerQueue) Len() int { return len(q) }

func (q timerQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].sequence < q[j].sequence
}

func (q timerQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *timerQueue) Push(x any) { *q = append(*q, x.(timer)) }

func (q *timerQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func newSimulation(seed uint64, daemons int) *simulation {
	sim := &simulation{
		random:    rand.New(rand.NewPCG(seed, 7)),
		now:       time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC),
		tamper:    func(r object.Result) object.Result { return r },
		answers:   map[operator.RequestID][]operator.Outcome{},
		resent:    map[operator.RequestID]bool{},
		published: map[operator.Revision]string{},
	}
	for i := range daemons {
		d := &daemon{name: fmt.Sprintf("entry-%d", i)}
		sim.daemons = append(sim.daemons, d)
		sim.restart(d)
		sim.tick(d)
	}
	return sim
}

func (sim *simulation) recordViolation(format string, values ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf(format, values...))
}

func (sim *simulation) schedule(d time.Duration, run func()) {
	sim.lastSequence++
	heap.Push(&sim.queue, timer{sim.now.Add(d), sim.lastSequence, run})
}

func (sim *simulation) advance(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.queue) > 0 && !sim.queue[0].at.After(end) {
		next := heap.Pop(&sim.queue).(timer)
		sim.now = next.at
		next.run()
	}
	sim.now = end
}

// restart replaces the daemon by a new one without state. Results of requests of the old one are dropped.
func (sim *simulation) restart(d *daemon) {
	d.incarnation++
	d.state = &operator.State{}
	sim.deliver(d, operator.NewConfigured(d.name, uint64(d.incarnation)))
}

// tick sends a Ticked every 500 ms, and in 1 of 20 cases the stored configuration, as peers do.
func (sim *simulation) tick(d *daemon) {
	sim.deliver(d, operator.Ticked{})
	if sim.store.version > 0 && sim.random.IntN(20) == 0 {
		sim.deliver(d, operator.NewConfigReceived(sim.store.data))
	}
	sim.schedule(500*time.Millisecond, func() { sim.tick(d) })
}

func (sim *simulation) deliver(d *daemon, e operator.Event) {
	before := d.state.Fleet().Revision()
	for _, effect := range d.state.Reduce(sim.now, nil, e) {
		switch effect := effect.(type) {
		case operator.Store:
			sim.sendToStore(d, d.incarnation, effect.Request())
		case operator.Answer:
			sim.answers[effect.Request()] = append(sim.answers[effect.Request()], effect.Outcome())
		case operator.Publish:
			sim.publish(d, before, effect)
		}
	}
	if after := d.state.Fleet().Revision(); after < before {
		sim.recordViolation("%s went back from revision %d to %d", d.name, before, after)
	}
}

func (sim *simulation) publish(d *daemon, before operator.Revision, p operator.Publish) {
	if p.Revision() <= before {
		sim.recordViolation("%s published %d after %d", d.name, p.Revision(), before)
	}
	if known, ok := sim.published[p.Revision()]; ok && known != string(p.Document()) {
		sim.recordViolation("revision %d was published with two different contents", p.Revision())
	}
	sim.published[p.Revision()] = string(p.Document())
	peer := sim.daemons[sim.random.IntN(len(sim.daemons))]
	sim.schedule(sim.randomDelay(300), func() { sim.deliver(peer, operator.NewConfigReceived(p.Document())) })
}

// randomDelay returns a random duration below the limit.
func (sim *simulation) randomDelay(limitMilliseconds int) time.Duration {
	return time.Duration(sim.random.IntN(limitMilliseconds)) * time.Millisecond
}

// sendToStore sends a request to the store. Of 100 requests, 8 are lost, 17 lose their answer and take effect up to 4 s
// later, and 5 are refused. During an outage all are refused.
func (sim *simulation) sendToStore(d *daemon, incarnation int, r object.Request) {
	reply := func(result object.Result) {
		result = sim.tamper(result)
		if d.incarnation == incarnation {
			sim.deliver(d, operator.NewStoreCompleted(result))
		}
	}
	draw := sim.random.IntN(100)
	if sim.faultsOff {
		draw = 100
	}
	switch {
	case sim.now.Before(sim.store.unavailableUntil) && !sim.faultsOff:
		sim.schedule(sim.randomDelay(50), func() { reply(object.NewRefused(r.Ref(), "unavailable")) })
	case draw < 8:
		sim.schedule(time.Second, func() { reply(object.NewLost(r.Ref())) })
	case draw < 25:
		sim.schedule(sim.randomDelay(4000), func() { sim.applyAtStore(r, func(object.Result) {}) })
		sim.schedule(time.Second, func() { reply(object.NewLost(r.Ref())) })
	case draw < 30:
		sim.schedule(sim.randomDelay(50), func() { reply(object.NewRefused(r.Ref(), "busy")) })
	default:
		sim.schedule(sim.randomDelay(100), func() {
			sim.applyAtStore(r, func(result object.Result) { sim.schedule(sim.randomDelay(100), func() { reply(result) }) })
		})
	}
}

func (sim *simulation) applyAtStore(r object.Request, reply func(object.Result)) {
	s := &sim.store
	put, isPut := r.(object.Put)
	current := object.Version("")
	if s.version > 0 {
		current = object.Version(fmt.Sprint(s.version))
	}
	switch {
	case isPut && put.ExpectedVersion() != current:
		reply(object.NewConflict(r.Ref()))
	case isPut:
		s.version++
		s.data = put.Data()
		var content storedRecord
		if err := json.Unmarshal(s.data, &content); err != nil {
			sim.recordViolation("write %d: %v", s.version, err)
		}
		s.writes = append(s.writes, content)
		reply(object.NewStored(r.Ref(), object.Version(fmt.Sprint(s.version))))
	case current == "":
		reply(object.NewAbsent(r.Ref()))
	default:
		reply(object.NewFound(r.Ref(), current, s.data))
	}
}
