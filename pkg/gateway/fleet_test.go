package gateway

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/azurepond/azurepond/pkg/dispatch"
	"github.com/azurepond/azurepond/pkg/object"
	"github.com/azurepond/azurepond/pkg/peer"
	"github.com/azurepond/azurepond/pkg/relay"
	"github.com/azurepond/azurepond/pkg/replica"
	"github.com/azurepond/azurepond/pkg/route"
)

// The delays of the simulated network, store and engines.
const (
	fleetLinkDelay   = 2 * time.Millisecond
	fleetStoreDelay  = 6 * time.Millisecond
	fleetListDelay   = 60 * time.Millisecond // the pause between two reads of the list and half a heartbeat of lag
	fleetTick        = TickInterval
	fleetRejoinTime  = 200 * time.Millisecond
	fleetUnlistDelay = 3600 * time.Millisecond // three missed heartbeats
	fleetFrameBytes  = 26                      // overhead of a message on a link

	fleetOrderTimeout = 200 * time.Millisecond // as in internal/gateway
	fleetRelayPort    = 7001
)

// The limits of the retries of the fleet.
const (
	fleetRetryRatio  = 0.2
	fleetRetryBurst  = 696.0
	fleetRetryWindow = 10 * time.Second
)

var (
	fleetEpoch     = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	fleetConfigKey = object.NewKey("config", "main")
	fleetRecordKey = object.NewKey("replicas", "main")
)

// fleetSize is the size and the load of a simulated fleet.
type fleetSize struct {
	daemons, engines, centres int
	domain                    int // engines in a fabric domain
	large, small              int // instances in a replica of each model
	loadsPerSecond            float64
	concurrentLoads           int
	callsPerSecond            float64       // from the start of traffic
	cores                     float64       // of each daemon, 0 for a few large ones among small ones
	grace                     time.Duration // of evacuations, 0 if they have no effect
}

// largeFleet is a fleet of hundreds of daemons.
var largeFleet = fleetSize{
	daemons: 295, engines: 925, centres: 5, domain: 37, large: 16, small: 8, loadsPerSecond: 77, concurrentLoads: 115,
	callsPerSecond: 900,
}

// fleetEngine is an engine that carries out orders.
type fleetEngine struct {
	id          replica.ID
	centre      string
	domain      string
	listed      bool
	down        bool
	refuses     bool      // new connections while it is down
	silentUntil time.Time // does not answer probes and orders before
	stalled     bool      // as the head of a replica that lost a member: calls get no events
	leaving     bool
	staged      string
	loaded      string
	lastModel   string
	membership  replica.Membership
	members     []replica.ID
	change      int // number of the last change, so that a superseded one has no effect
	coldUntil   time.Time
	stagedAt    time.Time // end of the last staging
	running     int       // calls
	prefilled   time.Time // when the prompts sent so far will be prefilled
}

// fleetDaemon is a daemon with the counts of its work.
type fleetDaemon struct {
	State
	name          string
	address       string
	down          bool
	watching      bool // the list of upstreams
	started       time.Time
	sentBytes     int
	receivedBytes int
	messages      map[string]int
	events        map[string]int
	orders        map[replica.Verb]int
	leaderChanges []time.Time
	probes        int
	storeCalls    int
	nextCall      dispatch.ID
	life          int       // number of the start
	busyUntil     time.Time // by the events that wait for the processor
	cores         float64
	falseDeaths   int // live engines that this daemon declared dead
	watches       []*fleetWatch
	listWatch     int       // number of the watch of the list
	listSilent    bool      // its connection delivers nothing
	pooledSilent  bool      // the idle connections to the store deliver nothing
	disturbedAt   time.Time // last start, end of a freeze, or loss of connections
	rejected      bool      // by the store
	storeCut      bool      // from the store, silently
	cut           bool      // from its peers and the store
	isSlow        bool
	paths         map[replica.ID]pathFault // to engines
	keptHung      map[replica.ID]bool      // whose open connections are known to deliver nothing
	wasCut        bool                     // from engines, at some time
	checks        int                      // of paths
	relayed       int                      // requests of peers
	gotCalls      int
	relays        map[RelayID]func(RelayDecided)
	phases        []fleetPhase // of evacuations
}

// fleetCall is a call at a daemon.
type fleetCall struct {
	arrived time.Time
	model   string
	outcome string
	first   time.Duration // from the first arrival to the first event, 0 for none
	tries   int
	sends   int

	firstDaemon *fleetDaemon // that got the first try
}

type fleetEvent struct {
	at    time.Time
	order int
	run   func()
}

type fleetQueue []fleetEvent

func (q fleetQueue) Len() int { return len(q) }

func (q fleetQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].order < q[j].order
}

func (q fleetQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *fleetQueue) Push(x any) { *q = append(*q, x.(fleetEvent)) }

func (q *fleetQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// fleet runs the reducers and the codec of many daemons in one process, with engines that carry out orders.
type fleet struct {
	size      fleetSize
	now       time.Time
	queue     fleetQueue
	order     int
	random    *rand.Rand
	daemons   []*fleetDaemon
	byName    map[string]*fleetDaemon
	byAddr    map[string]*fleetDaemon
	linked    map[[2]string]bool
	silent    map[[2]string]bool // links that deliver nothing
	engines   []*fleetEngine
	byID      map[replica.ID]*fleetEngine
	objects   map[string][]byte
	versions  map[string]int
	revision  int                   // of the store
	written   []fleetWrite          // all writes, the latest last
	era       uint64                // of the store
	traffic   time.Time             // its start
	loadFree  time.Time             // when the weight store may start the next load
	calls     map[string]*fleetCall // that have not ended, by daemon and id
	arrivals  []*fleetCall
	repeats   int                      // sends of calls that were sent before in the same try
	isLimited bool                     // the events of a daemon take processor time
	attempts  map[string]*fleetAttempt // that have not ended
	processes []Upstream               // of plain services
	nextRelay RelayID
	relayed   int // requests that went through a peer
	noRelays  bool
	pick      func() *fleetDaemon              // selects the daemon of a call, nil for any
	onCall    func(*fleetDaemon, *fleetEngine) // observes each call that reaches an engine, nil for none
	burst     float64                          // of the retry budget, 0 for fleetRetryBurst
	failing   float64                          // the share of the calls that engines answer with an error
	tried     []time.Time                      // when daemons got the tries of calls
	reached   map[string]bool                  // the tries that have reached an engine
	repeated  []time.Time                      // when tries reached an engine that had reached one before
}

func newFleet(size fleetSize, traffic time.Duration) *fleet {
	f := &fleet{
		size: size, now: fleetEpoch, random: rand.New(rand.NewPCG(1, 2)), byName: map[string]*fleetDaemon{},
		byAddr: map[string]*fleetDaemon{}, linked: map[[2]string]bool{}, byID: map[replica.ID]*fleetEngine{},
		objects: map[string][]byte{fleetConfigKey.String(): []byte(`{"version":1}`)}, versions: map[string]int{fleetConfigKey.String(): 1},
		revision: 1, silent: map[[2]string]bool{},
		traffic: fleetEpoch.Add(traffic), era: 1, calls: map[string]*fleetCall{},
		attempts: map[string]*fleetAttempt{}, reached: map[string]bool{},
	}
	for i := range size.engines {
		e := &fleetEngine{
			id: replica.ID(fmt.Sprintf("i-%04d", i)), centre: fmt.Sprintf("c%d", i*size.centres/size.engines),
			domain: fmt.Sprintf("d%03d", i/size.domain),
		}
		f.engines = append(f.engines, e)
		f.byID[e.id] = e
		f.after(2200*time.Millisecond+time.Duration(f.random.Int64N(int64(4*time.Second))), func() { f.list(e) })
	}
	for i := range size.daemons {
		d := &fleetDaemon{
			name: fmt.Sprintf("edge-%03d", i), address: fmt.Sprintf("10.1.%d.%d:7000", i/250, i%250),
			relays: map[RelayID]func(RelayDecided){}, messages: map[string]int{}, events: map[string]int{}, orders: map[replica.Verb]int{},
		}
		f.daemons = append(f.daemons, d)
		f.byName[d.name], f.byAddr[d.address] = d, d
		f.after(time.Duration(f.random.Int64N(int64(300*time.Millisecond))), func() { f.start(d, i) })
	}
	f.after(traffic, f.startTraffic)
	return f
}

// config returns the configuration that all daemons decode.
func (f *fleet) config() route.Config { return f.configOf(1) }

func (f *fleet) configOf(revision uint64) route.Config {
	engine := route.NewEngine(22,
		route.NewModel("large", f.size.large, 0.5, 1).WithLoadTimes(16*time.Second, 1600*time.Millisecond),
		route.NewModel("small", f.size.small, 0.5, 0.6).WithLoadTimes(12*time.Second, 1100*time.Millisecond)).
		WithStepTimes(6070*time.Microsecond, 241*time.Microsecond, 8, 46000, 2048).
		WithLoadLimits(f.size.loadsPerSecond, f.size.concurrentLoads, 1, 300*time.Millisecond).
		WithCrossDomainFactor(2.5)
	return route.New(revision).
		WithServices(f.services(revision, engine)...).
		WithRoutes(route.NewRoute("draft", "pond", "/draft/", route.Stream).
			WithTimes(6*time.Second, 400*time.Millisecond, 250*time.Millisecond).WithMaxAttempts(2).WithResumable(true).
			WithSplit(route.NewWeightedService("engines", 1))).
		WithOrganisation(route.NewOrganisation("one", 0, false), "one").
		WithOrganisation(route.NewOrganisation("two", 0, false), "two")
}

func (f *fleet) after(d time.Duration, run func()) {
	f.order++
	heap.Push(&f.queue, fleetEvent{f.now.Add(d), f.order, run})
}

// run advances the time to t after the start.
func (f *fleet) run(t time.Duration) {
	end := fleetEpoch.Add(t)
	for f.queue.Len() > 0 && !f.queue[0].at.After(end) {
		next := heap.Pop(&f.queue).(fleetEvent)
		f.now = next.at
		next.run()
	}
	f.now = end
}

func (f *fleet) start(d *fleetDaemon, i int) {
	isFirst := d.started.IsZero()
	d.started, d.cores, d.disturbedAt, d.watches, d.pooledSilent = f.now, f.cores(i), f.now, nil, false
	settings := NewSettings(d.name, fmt.Sprintf("c%d", i%f.size.centres), fmt.Sprint(f.now.UnixNano()), uint64(i+1)).
		WithAddresses(d.address, d.address).WithSeeds(f.daemons[0].address, f.daemons[1].address, f.daemons[2].address).
		WithBootstrap(isFirst).WithResources(f.cores(i), f.cores(i)*250e6).WithConfig(fleetConfigKey, "version").WithRecord(fleetRecordKey).
		WithRetryLimits(dispatch.NewRetryLimits(fleetRetryRatio, cmp.Or(f.burst, fleetRetryBurst), fleetRetryWindow)).WithWatchWait(fleetWatchWait).WithRelayPort(fleetRelayPort).
		WithEvacuationGrace(f.size.grace)
	f.feed(d, NewStarted(settings))
	f.tick(d)
}

// cores returns the processor time of a daemon's instance: three daemons in each data centre have four times as much.
func (f *fleet) cores(i int) float64 {
	if f.size.cores > 0 {
		return f.size.cores
	}
	if i >= len(f.daemons)-3*f.size.centres {
		return 0.8
	}
	return 0.2
}

func (f *fleet) tick(d *fleetDaemon) {
	f.feed(d, NewTicked(f.now))
	life := d.life
	f.after(fleetTick, func() {
		if d.life == life {
			f.tick(d)
		}
	})
}

func (f *fleet) feed(d *fleetDaemon, e Event) {
	f.work(d, eventCost(e), func() { f.reduce(d, e) })
}

func (f *fleet) reduce(d *fleetDaemon, e Event) {
	switch e := e.(type) {
	case PeerEvent:
		d.events[fmt.Sprintf("%T", e.event)]++
	default:
		d.events[fmt.Sprintf("%T", e)]++
	}
	for _, effect := range d.Reduce(f.now, e) {
		f.apply(d, effect)
	}
}

func (f *fleet) apply(d *fleetDaemon, effect Effect) {
	switch effect := effect.(type) {
	case Store:
		d.storeCalls++
		f.after(fleetStoreDelay, func() { f.callStore(d, effect) })
	case DecodeConfig:
		f.after(0, func() { f.feed(d, NewConfigDecoded(f.configOf(effect.Document().Revision()))) })
	case EvacuationChanged:
		d.phases = append(d.phases, fleetPhase{effect, f.now})
	case LeaderChanged:
		d.leaderChanges = append(d.leaderChanges, f.now)
	case ResetStore:
		d.pooledSilent = false
	case WatchUpstreams:
		d.watching, d.listSilent = effect.Enabled(), d.storeCut
		d.listWatch++
		if d.watching {
			f.readList(d, fleetStoreDelay)
		}
	case PeerEffect:
		switch effect := effect.Effect().(type) {
		case peer.Send:
			f.send(d, effect)
		case peer.ResetLinks:
			f.closeLinks(d)
		case peer.StopWatches:
			d.watches = nil
		}
	case ReplicaEffect:
		f.applyReplica(d, effect.Effect())
	case SendOrder:
		f.sendOrder(d, effect)
	case SendProbe:
		f.sendProbe(d, effect)
	case RelayEffect:
		if check, isCheck := effect.Effect().(relay.Check); isCheck {
			f.check(d, check)
		}
	case RelayDecided:
		d.relays[effect.ID()](effect)
	case DispatchEffect:
		f.applyDispatch(d, effect.Effect())
	}
}

// send delivers a message through the codec.
func (f *fleet) send(d *fleetDaemon, send peer.Send) {
	to := f.byAddr[send.Address()]
	if to == nil || to.down || to.started.IsZero() || d.cut || to.cut {
		return // the connection is refused
	}
	data, err := peer.Encode(send.Message())
	if err != nil {
		panic(err)
	}
	size := len(data) + fleetFrameBytes
	d.sentBytes += size
	pair := [2]string{min(d.name, to.name), max(d.name, to.name)}
	if !f.linked[pair] {
		f.linked[pair] = true
		lives := [2]int{d.life, to.life}
		f.after(fleetLinkDelay, func() {
			if lives != [2]int{d.life, to.life} {
				return
			}
			f.feed(to, NewPeerEvent(peer.NewLinkOpened(d.name, d.address)))
			f.feed(d, NewPeerEvent(peer.NewLinkOpened(to.name, to.address)))
		})
	}
	if f.silent[pair] {
		return
	}
	life := to.life
	f.after(fleetLinkDelay, func() {
		if to.life != life {
			return
		}
		message, err := peer.Decode(data)
		if err != nil {
			panic(err)
		}
		to.receivedBytes += size
		f.feed(to, NewPeerEvent(peer.NewReceived(d.name, message, size)))
	})
}

// closeLinks closes the links of a daemon and tells both ends.
func (f *fleet) closeLinks(d *fleetDaemon) {
	for _, other := range f.daemons {
		pair := [2]string{min(d.name, other.name), max(d.name, other.name)}
		if f.linked[pair] {
			f.closeLink(pair)
		}
	}
}

// closeLink closes the link between two daemons and tells both.
func (f *fleet) closeLink(pair [2]string) {
	delete(f.linked, pair)
	delete(f.silent, pair)
	a, b := f.byName[pair[0]], f.byName[pair[1]]
	f.after(0, func() {
		f.feed(a, NewPeerEvent(peer.NewLinkClosed(b.name, b.address)))
		f.feed(b, NewPeerEvent(peer.NewLinkClosed(a.name, a.address)))
	})
}

// freeze suspends a daemon, which receives nothing meanwhile. When it resumes, it reads what the store has answered to its watch of the
// list.
func (f *fleet) freeze(d *fleetDaemon, duration time.Duration) {
	d.down = true
	f.after(duration, func() {
		d.down, d.disturbedAt = false, f.now
		if d.watching && !d.listSilent {
			f.readList(d, fleetTick)
		}
	})
}

func (f *fleet) callStore(d *fleetDaemon, effect Store) {
	request := effect.Request()
	key, ref := request.Key().String(), request.Ref()
	version := object.Version("")
	if f.versions[key] > 0 {
		version = object.Version(fmt.Sprint(f.versions[key]))
	}
	reply := func(result object.Result) {
		f.feed(d, NewStoreCompleted(effect.Component(), object.InEra(result, f.era)))
	}
	if d.rejected {
		f.after(fleetStoreDelay, func() { reply(object.NewRefused(ref, "Service Unavailable")) })
		return
	}
	if d.pooledSilent || d.storeCut {
		f.after(fleetCallTimeout, func() {
			d.pooledSilent = false
			f.feed(d, NewStoreCompleted(effect.Component(), object.NewLost(ref)))
		})
		return
	}
	switch r := request.(type) {
	case object.Watch:
		f.watchObject(d, effect)
	case object.Put:
		if r.ExpectedVersion() != version {
			reply(object.NewConflict(ref))
			return
		}
		f.write(key, r.Data())
		reply(object.NewStored(ref, object.Version(fmt.Sprint(f.versions[key]))))
	default:
		if version == "" {
			reply(object.NewAbsent(ref))
			return
		}
		reply(object.NewFound(ref, version, f.objects[key]))
	}
}
