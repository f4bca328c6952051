package peer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/azurepond/azurepond/pkg/instance"
)

// The delays of the fleet's fakes.
const (
	linkDelay    = 2 * time.Millisecond
	storeDelay   = 5 * time.Millisecond
	probeDelay   = time.Millisecond
	probeTimeout = 500 * time.Millisecond
	// recordBytes is what TLS 1.3 adds to each frame, and lengthBytes what the framing adds.
	recordBytes = 22
	lengthBytes = 4
)

var epoch = time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)

// node is one daemon of a fleet.
type node struct {
	State
	name     string
	settings Settings
	down     bool
	frozen   bool
	held     []Event // what came while frozen
	sent     int
	received int
	frames   int
	events   int
	busy     time.Duration
	adopted  map[string]uint64
	beliefs  map[string]instance.ProbeResult
	latest   []Member
}

// worker is one upstream of a fleet.
type worker struct {
	Upstream
	dead  bool
	boots int
	work  int
}

// due is one event that will happen to one daemon.
type due struct {
	at    time.Time
	order int
	node  int
	run   func()
}

type queue []due

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].order < q[j].order
}

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *queue) Push(x any) { *q = append(*q, x.(due)) }

func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// fleet feeds the real reducers of many daemons from one queue of events, through the real codec.
type fleet struct {
	now     time.Time
	queue   queue
	order   int
	random  *rand.Rand
	nodes   []*node
	byName  map[string]int
	byPlace map[string]int
	workers map[string]*worker
	links   map[[2]int]bool
	loss    float64
	blocked func(from, to int) bool
	broken  func(watcher int, upstream string) bool
	store   fakeStore
	clock   func() time.Time       // measures busy, nil for none
	looks   map[string]time.Time   // last look of watcher, upstream, boot with that result
	tamper  func(n *node, e Event) // breaks a daemon before an event, nil for none
	inspect func(n *node, e Event, effects []Effect)
}

func newFleet(daemons, upstreams, centres int, seed uint64, changes ...func(Settings) Settings) *fleet {
	f := &fleet{
		now:     epoch,
		random:  rand.New(rand.NewPCG(seed, 1)),
		byName:  map[string]int{},
		byPlace: map[string]int{},
		workers: map[string]*worker{},
		links:   map[[2]int]bool{},
		looks:   map[string]time.Time{},
		blocked: func(int, int) bool { return false },
		broken:  func(int, string) bool { return false },
		store:   fakeStore{key: configKey, out: func(int) bool { return false }, watches: noWatches()},
	}
	f.write(1, 20)
	var list []Upstream
	for i := range upstreams {
		u := NewUpstream(fmt.Sprintf("worker-%03d", i), fmt.Sprintf("10.2.%d.%d:8000", i/250, i%250),
			fmt.Sprintf("centre-%d", i%centres), fmt.Sprintf("domain-%d", i/32))
		list = append(list, u)
		f.workers[u.id] = &worker{Upstream: u, work: 10 + i%20}
	}
	for i := range daemons {
		f.add(i, centres, list, seed, changes)
	}
	return f
}

func (f *fleet) add(i, centres int, list []Upstream, seed uint64, changes []func(Settings) Settings) {
	name := fmt.Sprintf("daemon-%03d", i)
	address := fmt.Sprintf("10.1.%d.%d:7000", i/250, i%250)
	settings := NewSettings(name, address, address, fmt.Sprintf("centre-%d", i%centres), seed+uint64(i)).
		WithSeeds("10.1.0.0:7000", "10.1.0.1:7000", "10.1.0.2:7000").
		WithDocuments(NewDocumentSource("config", configKey, "revision"))
	for _, change := range changes {
		settings = change(settings)
	}
	n := &node{name: name, settings: settings, down: true, adopted: map[string]uint64{}, beliefs: map[string]instance.ProbeResult{}}
	f.nodes = append(f.nodes, n)
	f.byName[name] = i
	f.byPlace[address] = i
	phase := time.Duration(f.random.Int64N(int64(settings.GossipInterval())))
	f.after(phase, i, func() { f.boot(i, list) })
	f.after(phase, i, func() { f.tick(i) })
}

// boot starts a daemon that knows nothing but its settings.
func (f *fleet) boot(i int, list []Upstream) {
	f.nodes[i].down = false
	f.feed(i, NewConfigured(f.nodes[i].settings))
	f.feed(i, NewListed(list))
}

// restart replaces a daemon by one that knows nothing.
func (f *fleet) restart(i int) {
	f.cut(i)
	f.nodes[i].State = State{}
	f.nodes[i].adopted = map[string]uint64{}
	f.nodes[i].beliefs = map[string]instance.ProbeResult{}
	delete(f.store.watches, i)
	var list []Upstream
	for _, id := range f.upstreamNames() {
		list = append(list, f.workers[id].Upstream)
	}
	f.boot(i, list)
}

func (f *fleet) after(d time.Duration, i int, run func()) {
	f.order++
	heap.Push(&f.queue, due{f.now.Add(d), f.order, i, run})
}

// checkEvery is how often a condition is looked at while time passes.
const checkEvery = 20 * time.Millisecond

// run lets time pass until d later, or until done says so; it returns how long that took.
func (f *fleet) run(d time.Duration, done func() bool) (time.Duration, bool) {
	start := f.now
	end := f.now.Add(d)
	var check time.Time
	for f.queue.Len() > 0 && !f.queue[0].at.After(end) {
		next := heap.Pop(&f.queue).(due)
		f.now = next.at
		next.run()
		if done == nil || f.now.Before(check) {
			continue
		}
		check = f.now.Add(checkEvery)
		if done() {
			return f.now.Sub(start), true
		}
	}
	f.now = end
	return d, false
}

func (f *fleet) tick(i int) {
	f.feed(i, NewTicked())
	f.after(f.nodes[i].settings.GossipInterval(), i, func() { f.tick(i) })
}

// freeze stops a daemon for d; what comes meanwhile waits in its sockets.
func (f *fleet) freeze(i int, d time.Duration) {
	f.nodes[i].frozen = true
	f.after(d, i, func() {
		n := f.nodes[i]
		n.frozen = false
		for len(n.held) > 0 {
			next := n.held[0]
			n.held = n.held[1:]
			f.feed(i, next)
		}
	})
}

// feed gives one event to one daemon and carries out the effects.
func (f *fleet) feed(i int, e Event) {
	n := f.nodes[i]
	if n.down {
		return
	}
	if n.frozen {
		if _, ticked := e.(Ticked); !ticked {
			n.held = append(n.held, e)
		}
		return
	}
	n.events++
	if f.tamper != nil {
		f.tamper(n, e)
	}
	var begun time.Time
	if f.clock != nil {
		begun = f.clock()
	}
	effects := n.Reduce(f.now, e)
	if f.clock != nil {
		n.busy += f.clock().Sub(begun)
	}
	f.note(n, effects)
	if f.inspect != nil {
		f.inspect(n, e, effects)
	}
	for _, effect := range effects {
		f.perform(i, effect)
	}
}

// note keeps what a daemon believes and has in force.
func (f *fleet) note(n *node, effects []Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case ApplyProbeResult:
			n.beliefs[string(effect.result.ID())] = effect.result
		case Adopt:
			n.adopted[effect.document.name] = effect.document.revision
		case Members:
			n.latest = effect.members
		}
	}
}

func (f *fleet) perform(i int, effect Effect) {
	switch effect := effect.(type) {
	case Send:
		f.transmit(i, effect)
	case Probe:
		f.look(i, effect.upstream)
	case Store:
		f.callStore(i, effect.request)
	case ResetLinks:
		f.cut(i)
	}
}

func pair(a, b int) [2]int { return [2]int{min(a, b), max(a, b)} }

func (f *fleet) cut(i int) {
	for other := range f.nodes {
		if f.links[pair(i, other)] {
			delete(f.links, pair(i, other))
			f.feed(other, NewLinkClosed(f.nodes[i].name, f.nodes[i].settings.address))
		}
	}
	f.nodes[i].held = nil
}

// transmit sends a message through the codec; a lost one is lost as a whole.
func (f *fleet) transmit(i int, send Send) {
	n := f.nodes[i]
	to, known := f.byPlace[send.address]
	if !known {
		return
	}
	var begun time.Time
	if f.clock != nil {
		begun = f.clock()
	}
	data, err := Encode(send.message)
	if f.clock != nil {
		n.busy += f.clock().Sub(begun)
	}
	if err != nil {
		panic(err)
	}
	size := len(data) + lengthBytes + recordBytes
	if f.nodes[to].down || f.blocked(i, to) && !f.links[pair(i, to)] {
		return
	}
	if !f.links[pair(i, to)] && (f.blocked(to, i) || f.nodes[to].frozen) {
		return
	}
	f.connect(i, to)
	n.sent += size
	n.frames++
	if f.blocked(i, to) || f.random.Float64() < f.loss {
		return
	}
	f.after(linkDelay, to, func() { f.arrive(i, to, data, size) })
}

func (f *fleet) connect(i, to int) {
	if f.links[pair(i, to)] {
		return
	}
	f.links[pair(i, to)] = true
	f.after(0, to, func() { f.feed(to, NewLinkOpened(f.nodes[i].name, f.nodes[i].settings.address)) })
	f.after(0, i, func() { f.feed(i, NewLinkOpened(f.nodes[to].name, f.nodes[to].settings.address)) })
}

func (f *fleet) arrive(i, to int, data []byte, size int) {
	if !f.links[pair(i, to)] || f.nodes[to].down {
		return
	}
	n := f.nodes[to]
	n.received += size
	var begun time.Time
	if f.clock != nil {
		begun = f.clock()
	}
	m, err := Decode(data)
	if f.clock != nil {
		n.busy += f.clock().Sub(begun)
	}
	if err != nil {
		panic(err)
	}
	f.feed(to, NewReceived(f.nodes[i].name, m, size))
}

func (f *fleet) upstreamNames() []string {
	set := map[string]bool{}
	for id := range f.workers {
		set[id] = true
	}
	return sortedKeys(set)
}

// believing returns how many running daemons believe that a worker is alive, or is not.
func (f *fleet) believing(id string, alive bool) int {
	count := 0
	for _, n := range f.nodes {
		s, known := n.beliefs[id]
		if !n.down && known && s.Alive() == alive && f.now.Sub(s.At()) <= n.EvidenceTTL() {
			count++
		}
	}
	return count
}

// inForce returns how many running daemons have at least that revision of the configuration in force.
func (f *fleet) inForce(revision uint64) int {
	count := 0
	for _, n := range f.nodes {
		if !n.down && n.adopted["config"] >= revision {
			count++
		}
	}
	return count
}
