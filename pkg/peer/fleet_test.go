package peer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/azurepond/azurepond/pkg/instance"
)

// The delays of the simulated network, store and upstreams.
const (
	linkDelay    = 2 * time.Millisecond
	storeDelay   = 5 * time.Millisecond
	probeDelay   = time.Millisecond
	probeTimeout = 500 * time.Millisecond
	// tlsRecordBytes is the overhead of TLS 1.3 for each frame.
	tlsRecordBytes    = 22
	lengthPrefixBytes = 4
)

var epoch = time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)

// node is one simulated daemon.
type node struct {
	State
	name          string
	settings      Settings
	down          bool
	frozen        bool
	queued        []Event // events that arrived while frozen
	sentBytes     int
	receivedBytes int
	sentFrames    int
	events        int
	cpuTime       time.Duration
	inForce       map[string]uint64
	probeResults  map[string]instance.ProbeResult
	liveMembers   []Member
}

// fakeUpstream is one simulated upstream.
type fakeUpstream struct {
	Upstream
	dead      bool
	bootCount int
	running   int
}

type scheduledEvent struct {
	at    time.Time
	order int
	node  int
	run   func()
}

type queue []scheduledEvent

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].order < q[j].order
}

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *queue) Push(x any) { *q = append(*q, x.(scheduledEvent)) }

func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// fleet simulates many daemons in one event queue, with the real reducer and the real codec.
type fleet struct {
	now          time.Time
	queue        queue
	order        int
	random       *rand.Rand
	nodes        []*node
	byName       map[string]int
	byAddress    map[string]int
	upstreams    map[string]*fakeUpstream
	links        map[[2]int]bool
	loss         float64
	linkBlocked  func(from, to int) bool
	probeBlocked func(watcher int, upstream string) bool
	store        fakeStore
	clock        func() time.Time       // measures cpuTime, nil for none
	lastProbes   map[string]time.Time   // of the last probe, by probeKey
	tamper       func(n *node, e Event) // corrupts the state of a daemon before an event, nil for none
	inspect      func(n *node, e Event, effects []Effect)
}

func newFleet(daemons, upstreams, centres int, seed uint64, changes ...func(Settings) Settings) *fleet {
	f := &fleet{
		now:          epoch,
		random:       rand.New(rand.NewPCG(seed, 1)),
		byName:       map[string]int{},
		byAddress:    map[string]int{},
		upstreams:    map[string]*fakeUpstream{},
		links:        map[[2]int]bool{},
		lastProbes:   map[string]time.Time{},
		linkBlocked:  func(int, int) bool { return false },
		probeBlocked: func(int, string) bool { return false },
		store:        fakeStore{key: configKey, unreachable: func(int) bool { return false }, watches: noWatches()},
	}
	f.writeConfig(1, 20)
	var list []Upstream
	for i := range upstreams {
		u := NewUpstream(fmt.Sprintf("worker-%03d", i), fmt.Sprintf("10.2.%d.%d:8000", i/250, i%250),
			fmt.Sprintf("centre-%d", i%centres), fmt.Sprintf("domain-%d", i/32))
		list = append(list, u)
		f.upstreams[u.id] = &fakeUpstream{Upstream: u, running: 10 + i%20}
	}
	for i := range daemons {
		f.addNode(i, centres, list, seed, changes)
	}
	return f
}

func (f *fleet) addNode(i, centres int, list []Upstream, seed uint64, changes []func(Settings) Settings) {
	name := fmt.Sprintf("daemon-%03d", i)
	address := fmt.Sprintf("10.1.%d.%d:7000", i/250, i%250)
	settings := NewSettings(name, address, address, fmt.Sprintf("centre-%d", i%centres), seed+uint64(i)).
		WithSeeds("10.1.0.0:7000", "10.1.0.1:7000", "10.1.0.2:7000").
		WithDocuments(NewDocumentSource("config", configKey, "revision"))
	for _, change := range changes {
		settings = change(settings)
	}
	n := &node{
		name: name, settings: settings, down: true, inForce: map[string]uint64{}, probeResults: map[string]instance.ProbeResult{},
	}
	f.nodes = append(f.nodes, n)
	f.byName[name] = i
	f.byAddress[address] = i
	phase := time.Duration(f.random.Int64N(int64(settings.GossipInterval())))
	f.schedule(phase, i, func() { f.start(i, list) })
	f.schedule(phase, i, func() { f.tick(i) })
}

// start starts a daemon with no state.
func (f *fleet) start(i int, list []Upstream) {
	f.nodes[i].down = false
	f.deliver(i, NewConfigured(f.nodes[i].settings))
	f.deliver(i, NewUpstreamsChanged(list))
}

// restart replaces a daemon by one with no state.
func (f *fleet) restart(i int) {
	f.closeLinks(i)
	f.nodes[i].State = State{}
	f.nodes[i].inForce = map[string]uint64{}
	f.nodes[i].probeResults = map[string]instance.ProbeResult{}
	delete(f.store.watches, i)
	var list []Upstream
	for _, id := range f.upstreamNames() {
		list = append(list, f.upstreams[id].Upstream)
	}
	f.start(i, list)
}

func (f *fleet) schedule(d time.Duration, i int, run func()) {
	f.order++
	heap.Push(&f.queue, scheduledEvent{f.now.Add(d), f.order, i, run})
}

// checkInterval is the interval at which run evaluates its condition.
const checkInterval = 20 * time.Millisecond

// run advances the time by d, or until done returns true. It returns the elapsed time and whether done returned true.
func (f *fleet) run(d time.Duration, done func() bool) (time.Duration, bool) {
	start := f.now
	end := f.now.Add(d)
	var nextCheck time.Time
	for f.queue.Len() > 0 && !f.queue[0].at.After(end) {
		next := heap.Pop(&f.queue).(scheduledEvent)
		f.now = next.at
		next.run()
		if done == nil || f.now.Before(nextCheck) {
			continue
		}
		nextCheck = f.now.Add(checkInterval)
		if done() {
			return f.now.Sub(start), true
		}
	}
	f.now = end
	return d, false
}

func (f *fleet) tick(i int) {
	f.deliver(i, NewTicked())
	f.schedule(f.nodes[i].settings.GossipInterval(), i, func() { f.tick(i) })
}

// freeze stops a daemon for d and queues the events that arrive meanwhile.
func (f *fleet) freeze(i int, d time.Duration) {
	f.nodes[i].frozen = true
	f.schedule(d, i, func() {
		n := f.nodes[i]
		n.frozen = false
		for len(n.queued) > 0 {
			next := n.queued[0]
			n.queued = n.queued[1:]
			f.deliver(i, next)
		}
	})
}

// deliver applies one event to a daemon and executes the effects.
func (f *fleet) deliver(i int, e Event) {
	n := f.nodes[i]
	if n.down {
		return
	}
	if n.frozen {
		if _, ticked := e.(Ticked); !ticked {
			n.queued = append(n.queued, e)
		}
		return
	}
	n.events++
	if f.tamper != nil {
		f.tamper(n, e)
	}
	var start time.Time
	if f.clock != nil {
		start = f.clock()
	}
	effects := n.Reduce(f.now, e)
	if f.clock != nil {
		n.cpuTime += f.clock().Sub(start)
	}
	f.record(n, effects)
	if f.inspect != nil {
		f.inspect(n, e, effects)
	}
	for _, effect := range effects {
		f.execute(i, effect)
	}
}

// record stores the latest probe results, revisions and members of a daemon.
func (f *fleet) record(n *node, effects []Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case ApplyProbeResult:
			n.probeResults[string(effect.result.ID())] = effect.result
		case Adopt:
			n.inForce[effect.document.name] = effect.document.revision
		case Members:
			n.liveMembers = effect.members
		}
	}
}

func (f *fleet) execute(i int, effect Effect) {
	switch effect := effect.(type) {
	case Send:
		f.transmit(i, effect)
	case Probe:
		f.probeUpstream(i, effect.upstream)
	case Store:
		f.callStore(i, effect.request)
	case ResetLinks:
		f.closeLinks(i)
	}
}

func pair(a, b int) [2]int { return [2]int{min(a, b), max(a, b)} }

func (f *fleet) closeLinks(i int) {
	for other := range f.nodes {
		if f.links[pair(i, other)] {
			delete(f.links, pair(i, other))
			f.deliver(other, NewLinkClosed(f.nodes[i].name, f.nodes[i].settings.address))
		}
	}
	f.nodes[i].queued = nil
}

// transmit sends a message through the codec. Messages are lost as a whole.
func (f *fleet) transmit(i int, send Send) {
	n := f.nodes[i]
	to, known := f.byAddress[send.address]
	if !known {
		return
	}
	var start time.Time
	if f.clock != nil {
		start = f.clock()
	}
	data, err := Encode(send.message)
	if f.clock != nil {
		n.cpuTime += f.clock().Sub(start)
	}
	if err != nil {
		panic(err)
	}
	size := len(data) + lengthPrefixBytes + tlsRecordBytes
	if f.nodes[to].down || f.linkBlocked(i, to) && !f.links[pair(i, to)] {
		return
	}
	if !f.links[pair(i, to)] && (f.linkBlocked(to, i) || f.nodes[to].frozen) {
		return
	}
	f.connect(i, to)
	n.sentBytes += size
	n.sentFrames++
	if f.linkBlocked(i, to) || f.random.Float64() < f.loss {
		return
	}
	f.schedule(linkDelay, to, func() { f.arrive(i, to, data, size) })
}

func (f *fleet) connect(i, to int) {
	if f.links[pair(i, to)] {
		return
	}
	f.links[pair(i, to)] = true
	f.schedule(0, to, func() { f.deliver(to, NewLinkOpened(f.nodes[i].name, f.nodes[i].settings.address)) })
	f.schedule(0, i, func() { f.deliver(i, NewLinkOpened(f.nodes[to].name, f.nodes[to].settings.address)) })
}

func (f *fleet) arrive(i, to int, data []byte, size int) {
	if !f.links[pair(i, to)] || f.nodes[to].down {
		return
	}
	n := f.nodes[to]
	n.receivedBytes += size
	var start time.Time
	if f.clock != nil {
		start = f.clock()
	}
	m, err := Decode(data)
	if f.clock != nil {
		n.cpuTime += f.clock().Sub(start)
	}
	if err != nil {
		panic(err)
	}
	f.deliver(to, NewReceived(f.nodes[i].name, m, size))
}

func (f *fleet) upstreamNames() []string {
	set := map[string]bool{}
	for id := range f.upstreams {
		set[id] = true
	}
	return sortedKeys(set)
}

// countResults returns the number of running daemons whose latest probe result of an upstream has that outcome and has not
// expired.
func (f *fleet) countResults(id string, alive bool) int {
	count := 0
	for _, n := range f.nodes {
		result, known := n.probeResults[id]
		if !n.down && known && result.Alive() == alive && f.now.Sub(result.At()) <= n.EvidenceTTL() {
			count++
		}
	}
	return count
}

// countInForce returns the number of running daemons that have at least that revision of the configuration in force.
func (f *fleet) countInForce(revision uint64) int {
	count := 0
	for _, n := range f.nodes {
		if !n.down && n.inForce["config"] >= revision {
			count++
		}
	}
	return count
}
