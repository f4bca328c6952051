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

// world runs several daemons over one store, with faults drawn from a seed.
type world struct {
	random  *rand.Rand
	now     time.Time
	todo    agenda
	order   int
	calm    bool
	store   store
	nodes   []*node
	tamper  func(object.Result) object.Result
	answers map[operator.RequestID][]operator.Outcome
	spread  map[operator.Revision]string
	resent  map[operator.RequestID]bool
	faults  []string
}

// store is the platform's object with all its writes.
type store struct {
	version int
	data    []byte
	writes  []written
	out     time.Time
}

// written is what one write left in the store.
type written struct {
	Revision uint64 `json:"revision"`
	History  []struct {
		Revision uint64          `json:"revision"`
		Base     uint64          `json:"base"`
		Team     string          `json:"team"`
		Request  string          `json:"request"`
		Config   json.RawMessage `json:"config"`
	} `json:"history"`
}

type node struct {
	name  string
	life  int
	state *operator.State
}

type task struct {
	at    time.Time
	order int
	run   func()
}

type agenda []task

func (a agenda) Len() int { return len(a) }

func (a agenda) Less(i, j int) bool {
	return a[i].at.Before(a[j].at) || a[i].at.Equal(a[j].at) && a[i].order < a[j].order
}

func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

func (a *agenda) Push(x any) { *a = append(*a, x.(task)) }

func (a *agenda) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

func newWorld(seed uint64, nodes int) *world {
	w := &world{
		random:  rand.New(rand.NewPCG(seed, 7)),
		now:     time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC),
		tamper:  func(r object.Result) object.Result { return r },
		answers: map[operator.RequestID][]operator.Outcome{},
		resent:  map[operator.RequestID]bool{},
		spread:  map[operator.Revision]string{},
	}
	for i := range nodes {
		n := &node{name: fmt.Sprintf("entry-%d", i)}
		w.nodes = append(w.nodes, n)
		w.boot(n)
		w.tick(n)
	}
	return w
}

func (w *world) fault(format string, values ...any) {
	w.faults = append(w.faults, fmt.Sprintf(format, values...))
}

func (w *world) after(d time.Duration, run func()) {
	w.order++
	heap.Push(&w.todo, task{w.now.Add(d), w.order, run})
}

func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.todo) > 0 && !w.todo[0].at.After(end) {
		next := heap.Pop(&w.todo).(task)
		w.now = next.at
		next.run()
	}
	w.now = end
}

// boot starts the daemon anew; what was on its way to the former one never arrives.
func (w *world) boot(n *node) {
	n.life++
	n.state = &operator.State{}
	w.feed(n, operator.NewConfigured(n.name, uint64(n.life)))
}

// tick lets time pass at the daemon, and now and then lets it hear what the store holds, as peers do.
func (w *world) tick(n *node) {
	w.feed(n, operator.Ticked{})
	if w.store.version > 0 && w.random.IntN(20) == 0 {
		w.feed(n, operator.NewConfigReceived(w.store.data))
	}
	w.after(500*time.Millisecond, func() { w.tick(n) })
}

func (w *world) feed(n *node, e operator.Event) {
	before := n.state.Fleet().Revision()
	for _, effect := range n.state.Reduce(w.now, nil, e) {
		switch effect := effect.(type) {
		case operator.Store:
			w.request(n, n.life, effect.Request())
		case operator.Answer:
			w.answers[effect.Request()] = append(w.answers[effect.Request()], effect.Outcome())
		case operator.Publish:
			w.publish(n, before, effect)
		}
	}
	if after := n.state.Fleet().Revision(); after < before {
		w.fault("%s went back from revision %d to %d", n.name, before, after)
	}
}

func (w *world) publish(n *node, before operator.Revision, p operator.Publish) {
	if p.Revision() <= before {
		w.fault("%s published %d after %d", n.name, p.Revision(), before)
	}
	if known, ok := w.spread[p.Revision()]; ok && known != string(p.Document()) {
		w.fault("revision %d has two contents", p.Revision())
	}
	w.spread[p.Revision()] = string(p.Document())
	peer := w.nodes[w.random.IntN(len(w.nodes))]
	w.after(w.delay(300), func() { w.feed(peer, operator.NewConfigReceived(p.Document())) })
}

// delay draws a time below so many milliseconds.
func (w *world) delay(most int) time.Duration {
	return time.Duration(w.random.IntN(most)) * time.Millisecond
}

// request carries a request to the store: it may get lost, take effect late, or lose its answer.
func (w *world) request(n *node, life int, r object.Request) {
	back := func(result object.Result) {
		result = w.tamper(result)
		if n.life == life {
			w.feed(n, operator.NewStoreCompleted(result))
		}
	}
	dice := w.random.IntN(100)
	if w.calm {
		dice = 100
	}
	switch {
	case w.now.Before(w.store.out) && !w.calm:
		w.after(w.delay(50), func() { back(object.NewRefused(r.Ref(), "out")) })
	case dice < 8:
		w.after(time.Second, func() { back(object.NewLost(r.Ref())) })
	case dice < 25:
		w.after(w.delay(4000), func() { w.effect(r, func(object.Result) {}) })
		w.after(time.Second, func() { back(object.NewLost(r.Ref())) })
	case dice < 30:
		w.after(w.delay(50), func() { back(object.NewRefused(r.Ref(), "busy")) })
	default:
		w.after(w.delay(100), func() {
			w.effect(r, func(result object.Result) { w.after(w.delay(100), func() { back(result) }) })
		})
	}
}

func (w *world) effect(r object.Request, back func(object.Result)) {
	s := &w.store
	put, isPut := r.(object.Put)
	current := object.Version("")
	if s.version > 0 {
		current = object.Version(fmt.Sprint(s.version))
	}
	switch {
	case isPut && put.ExpectedVersion() != current:
		back(object.NewConflict(r.Ref()))
	case isPut:
		s.version++
		s.data = put.Data()
		var content written
		if err := json.Unmarshal(s.data, &content); err != nil {
			w.fault("write %d: %v", s.version, err)
		}
		s.writes = append(s.writes, content)
		back(object.NewStored(r.Ref(), object.Version(fmt.Sprint(s.version))))
	case current == "":
		back(object.NewAbsent(r.Ref()))
	default:
		back(object.NewFound(r.Ref(), current, s.data))
	}
}
