package gateway

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/azurepond/azurepond/pkg/dispatch"
	"github.com/azurepond/azurepond/pkg/object"
	"github.com/azurepond/azurepond/pkg/peer"
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
	callsPerSecond            float64 // from the start of traffic
	cores                     float64 // of each daemon, 0 for a few large ones among small ones
}

// largeFleet is a fleet of hundreds of daemons.
var largeFleet = fleetSize{
	daemons: 295, engines: 925, centres: 5, domain: 37, large: 16, small: 8, loadsPerSecond: 77, concurrentLoads: 115,
	callsPerSecond: 900,
}

// fleetEngine is an engine that carries out orders.
type fleetEngine struct {
	id         replica.ID
	centre     string
	domain     string
	listed     bool
	down       bool
	staged     string
	loaded     string
	lastModel  string
	membership replica.Membership
	members    []replica.ID
	change     int       // number of the last change, so that a superseded one has no effect
	stagedAt   time.Time // end of the last staging
	running    int       // calls
	prefilled  time.Time // when the prompts sent so far will be prefilled
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
}

// fleetCall is a call at a daemon.
type fleetCall struct {
	arrived time.Time
	model   string
	outcome string
	first   time.Duration // from the first arrival to the first event, 0 for none
	tries   int
	sends   int
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
	engines   []*fleetEngine
	byID      map[replica.ID]*fleetEngine
	objects   map[string][]byte
	versions  map[string]int
	written   []fleetWrite          // all writes, the latest last
	era       uint64                // of the store
	traffic   time.Time             // its start
	loadFree  time.Time             // when the weight store may start the next load
	calls     map[string]*fleetCall // that have not ended, by daemon and id
	arrivals  []*fleetCall
	repeats   int                      // sends of calls that were sent before in the same try
	isLimited bool                     // the events of a daemon take processor time
	attempts  map[string]*fleetAttempt // that have not ended
}

func newFleet(size fleetSize, traffic time.Duration) *fleet {
	f := &fleet{
		size: size, now: fleetEpoch, random: rand.New(rand.NewPCG(1, 2)), byName: map[string]*fleetDaemon{},
		byAddr: map[string]*fleetDaemon{}, linked: map[[2]string]bool{}, byID: map[replica.ID]*fleetEngine{},
		objects: map[string][]byte{fleetConfigKey.String(): []byte(`{"version":1}`)}, versions: map[string]int{fleetConfigKey.String(): 1},
		traffic: fleetEpoch.Add(traffic), era: 1, calls: map[string]*fleetCall{},
		attempts: map[string]*fleetAttempt{},
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
			messages: map[string]int{}, events: map[string]int{}, orders: map[replica.Verb]int{},
		}
		f.daemons = append(f.daemons, d)
		f.byName[d.name], f.byAddr[d.address] = d, d
		f.after(time.Duration(f.random.Int64N(int64(300*time.Millisecond))), func() { f.start(d, i) })
	}
	f.after(traffic, f.startTraffic)
	return f
}

// config returns the configuration that all daemons decode.
func (f *fleet) config() route.Config {
	engine := route.NewEngine(22,
		route.NewModel("large", f.size.large, 0.5, 1).WithLoadTimes(16*time.Second, 1600*time.Millisecond),
		route.NewModel("small", f.size.small, 0.5, 0.6).WithLoadTimes(12*time.Second, 1100*time.Millisecond)).
		WithStepTimes(6070*time.Microsecond, 241*time.Microsecond, 8, 46000, 2048).
		WithLoadLimits(f.size.loadsPerSecond, f.size.concurrentLoads, 1, 300*time.Millisecond).
		WithCrossDomainFactor(2.5)
	return route.New(1).
		WithServices(route.NewService("engines", "/h", 1988).WithEngine(engine)).
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
	d.started, d.cores = f.now, f.cores(i)
	settings := NewSettings(d.name, fmt.Sprintf("c%d", i%f.size.centres), fmt.Sprint(f.now.UnixNano()), uint64(i+1)).
		WithAddresses(d.address, d.address).WithSeeds(f.daemons[0].address, f.daemons[1].address, f.daemons[2].address).
		WithBootstrap(isFirst).WithResources(f.cores(i), f.cores(i)*250e6).WithConfig(fleetConfigKey, "version").WithRecord(fleetRecordKey).
		WithRetryLimits(dispatch.NewRetryLimits(0.2, 696, 10*time.Second))
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
		f.after(0, func() { f.feed(d, NewConfigDecoded(f.config())) })
	case LeaderChanged:
		d.leaderChanges = append(d.leaderChanges, f.now)
	case WatchUpstreams:
		d.watching = effect.Enabled()
		if d.watching {
			d.storeCalls++
			f.after(fleetStoreDelay, func() { f.feed(d, NewListed(f.listed()).WithEra(f.era)) })
		}
	case PeerEffect:
		switch effect := effect.Effect().(type) {
		case peer.Send:
			f.send(d, effect)
		case peer.ResetLinks:
			f.closeLinks(d)
		}
	case ReplicaEffect:
		f.applyReplica(d, effect.Effect())
	case DispatchEffect:
		f.applyDispatch(d, effect.Effect())
	}
}

// send delivers a message through the codec.
func (f *fleet) send(d *fleetDaemon, send peer.Send) {
	to := f.byAddr[send.Address()]
	if to == nil || to.down || to.started.IsZero() {
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
			delete(f.linked, pair)
			f.after(0, func() {
				f.feed(d, NewPeerEvent(peer.NewLinkClosed(other.name, other.address)))
				f.feed(other, NewPeerEvent(peer.NewLinkClosed(d.name, d.address)))
			})
		}
	}
}

// freeze suspends a daemon, which receives nothing meanwhile.
func (f *fleet) freeze(d *fleetDaemon, duration time.Duration) {
	d.down = true
	f.after(duration, func() { d.down = false })
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
	switch r := request.(type) {
	case object.Put:
		if r.ExpectedVersion() != version {
			reply(object.NewConflict(ref))
			return
		}
		f.written = append(f.written, fleetWrite{f.now, key, f.versions[key], f.objects[key]})
		f.versions[key]++
		f.objects[key] = r.Data()
		reply(object.NewStored(ref, object.Version(fmt.Sprint(f.versions[key]))))
	default:
		if version == "" {
			reply(object.NewAbsent(ref))
			return
		}
		reply(object.NewFound(ref, version, f.objects[key]))
	}
}

// fleetWrite is a write to the store, with what it replaced.
type fleetWrite struct {
	at      time.Time
	key     string
	version int
	before  []byte
}

// restoreStore makes the store continue from a copy of this age. The daemons that watch the list notice, and read it again.
func (f *fleet) restoreStore(age time.Duration) {
	f.era++
	for len(f.written) > 0 && f.now.Sub(f.written[len(f.written)-1].at) < age {
		last := f.written[len(f.written)-1]
		f.versions[last.key], f.objects[last.key] = last.version, last.before
		f.written = f.written[:len(f.written)-1]
	}
	for _, d := range f.daemons {
		if d.watching {
			d.storeCalls++
			f.after(fleetListDelay, func() { f.feed(d, NewListed(f.listed()).WithEra(f.era)) })
		}
	}
}

// list registers an engine in the list.
func (f *fleet) list(e *fleetEngine) {
	e.listed = true
	f.changed(e)
}

func (f *fleet) entry(e *fleetEngine) Upstream {
	instance := replica.NewInstance(e.id, string(e.id), e.centre, e.domain, 1)
	if e.staged != "" {
		instance = instance.WithModels(e.loaded, e.staged)
	}
	return NewUpstream("engines", 22, instance.WithMembership(e.membership))
}

func (f *fleet) listed() []Upstream {
	var all []Upstream
	for _, e := range f.engines {
		if e.listed {
			all = append(all, f.entry(e))
		}
	}
	return all
}

// changed tells the daemons that watch the list of a changed entry.
func (f *fleet) changed(e *fleetEngine) {
	if !e.listed || e.down {
		return
	}
	entry := f.entry(e)
	f.after(fleetListDelay, func() {
		for _, d := range f.daemons {
			if d.watching {
				f.feed(d, NewListChanges([]Upstream{entry}, nil))
			}
		}
	})
}

// kill stops an engine without notice.
func (f *fleet) kill(e *fleetEngine) {
	e.down = true
	f.after(fleetUnlistDelay, func() {
		e.listed = false
		for _, d := range f.daemons {
			if d.watching {
				f.feed(d, NewListChanges(nil, []replica.ID{e.id}))
			}
		}
	})
}

func (f *fleet) applyReplica(d *fleetDaemon, effect replica.Effect) {
	switch effect := effect.(type) {
	case replica.Order:
		d.orders[effect.Verb()]++
		f.call(d, effect.ID(), fleetOrderTimeout, func(e *fleetEngine) replica.Event {
			return replica.NewOrderAnswered(effect, f.carryOut(e, effect))
		}, replica.NewOrderAnswered(effect, replica.ReplyUnanswered))
	case replica.Probe:
		d.probes++
		f.call(d, effect.ID(), effect.Timeout(), func(e *fleetEngine) replica.Event {
			return replica.NewProbed(f.entry(e).Instance())
		}, replica.NewProbeExpired(effect.ID()))
	case replica.LogEntry:
		if effect.Message() == "instance dead" && !f.byID[effect.Members()[0]].down {
			d.falseDeaths++
		}
	}
}

// call sends an order or a probe to an engine. The result is expired unless the daemon has handled the answer in time.
func (f *fleet) call(
	d *fleetDaemon, id replica.ID, timeout time.Duration, answer func(*fleetEngine) replica.Event, expired replica.Event,
) {
	ended := false
	var end func(replica.Event)
	end = func(e replica.Event) {
		switch {
		case ended:
		case d.down: // a frozen daemon handles the result later
			f.after(fleetTick, func() { end(e) })
		default:
			ended = true
			f.feed(d, NewReplicaEvent(e))
		}
	}
	f.after(timeout, func() { end(expired) })
	f.work(d, fleetEngineCallCost, func() {
		f.after(fleetLinkDelay, func() {
			e := f.byID[id]
			if e.down || ended {
				return
			}
			result := answer(e)
			f.after(fleetLinkDelay, func() {
				if !ended {
					f.work(d, fleetEngineCallCost, func() { end(result) })
				}
			})
		})
	})
}

// load returns when a load from the weight store ends that is requested now.
func (f *fleet) load(model string) time.Duration {
	duration := f.model(model).LoadTime()
	if f.now.Before(f.traffic) {
		duration /= 10
	}
	if f.loadFree.Before(f.now) {
		f.loadFree = f.now
	}
	f.loadFree = f.loadFree.Add(time.Duration(float64(time.Second) / f.size.loadsPerSecond))
	return f.loadFree.Add(duration).Sub(f.now)
}

func (f *fleet) model(name string) route.Model {
	service, _ := f.config().EngineService()
	model, _ := service.Engine().Model(name)
	return model
}

// carryOut carries out an order as engines do.
func (f *fleet) carryOut(e *fleetEngine, o replica.Order) replica.Reply {
	m := e.membership
	isMember := m.Replica() == o.Replica() && m.Epoch() == o.Epoch() && m.Phase() != replica.PhaseNone
	switch o.Verb() {
	case replica.VerbJoin:
		if isMember {
			return replica.ReplyDone
		}
		f.join(e, o)
	case replica.VerbOpen:
		if !isMember || m.Phase() != replica.PhaseReady {
			return replica.ReplyUnfit
		}
		f.changeLater(e, 300*time.Millisecond, func() {
			e.membership = replica.NewMembership(m.Replica(), m.Epoch(), m.Rank(), replica.PhaseOpen)
		})
	case replica.VerbCloseCut, replica.VerbCloseWait:
		if !isMember || m.Phase() != replica.PhaseOpen {
			return replica.ReplyUnfit
		}
		e.change++
		e.membership = replica.NewMembership(m.Replica(), m.Epoch(), m.Rank(), replica.PhaseReady)
		f.changed(e)
	case replica.VerbLeave:
		if isMember {
			e.change++
			e.membership, e.members = replica.Membership{}, nil
			f.changed(e)
		}
	case replica.VerbStage:
		wait := f.load(o.Model())
		e.stagedAt = f.now.Add(wait)
		f.after(wait, func() {
			e.staged = o.Model()
			f.changed(e)
		})
	}
	return replica.ReplyBegun
}

func (f *fleet) join(e *fleetEngine, o replica.Order) {
	var duration time.Duration
	switch {
	case e.lastModel == o.Model():
		duration = fleetRejoinTime
	case e.staged == o.Model() || e.stagedAt.After(f.now):
		duration = max(e.stagedAt.Sub(f.now), 0) + f.model(o.Model()).WarmLoadTime()
	default:
		duration = f.load(o.Model())
	}
	rank := 0
	for i, id := range o.Members() {
		if id == e.id {
			rank = i
		}
	}
	e.members, e.loaded = o.Members(), o.Model()
	e.membership = replica.NewMembership(o.Replica(), o.Epoch(), rank, replica.PhaseJoining)
	f.changed(e)
	f.changeLater(e, duration, func() {
		e.staged, e.lastModel = o.Model(), o.Model()
		e.membership = replica.NewMembership(o.Replica(), o.Epoch(), rank, replica.PhaseReady)
	})
}

// changeLater applies a change after d unless another change of the engine comes before.
func (f *fleet) changeLater(e *fleetEngine, d time.Duration, apply func()) {
	e.change++
	number := e.change
	f.after(d, func() {
		if e.change == number && !e.down {
			apply()
			f.changed(e)
		}
	})
}

// open returns how many replicas are complete and open, and how many of these are within one fabric domain.
func (f *fleet) open() (all, withinDomain int) {
	for _, e := range f.engines {
		if e.membership.Phase() != replica.PhaseOpen || e.membership.Rank() != 0 {
			continue
		}
		isWhole, isWithin := !e.down, true
		for _, id := range e.members {
			isWhole = isWhole && !f.byID[id].down
			isWithin = isWithin && f.byID[id].domain == e.domain
		}
		if isWhole {
			all++
		}
		if isWhole && isWithin {
			withinDomain++
		}
	}
	return all, withinDomain
}

// startTraffic begins the calls, which arrive at random daemons.
func (f *fleet) startTraffic() {
	gap := f.random.ExpFloat64() / f.size.callsPerSecond
	f.after(time.Duration(gap*float64(time.Second)), func() {
		f.arrive(f.daemons[f.random.IntN(len(f.daemons))])
		f.startTraffic()
	})
}

func callKey(d *fleetDaemon, id dispatch.ID) string { return fmt.Sprint(d.name, "/", id) }

// arrive sends a new call to a daemon.
func (f *fleet) arrive(d *fleetDaemon) {
	call := &fleetCall{arrived: f.now, model: "small"}
	if f.random.Float64() < 0.24 {
		call.model = "large"
	}
	f.arrivals = append(f.arrivals, call)
	f.try(d, call)
}

// The callers of the fleet.
const (
	fleetGoal        = 400 * time.Millisecond // for the first event
	fleetPatience    = 2 * time.Second        // until a caller leaves that receives no event
	fleetReturnDelay = time.Second            // callers of a daemon that is down return within this time
	maxFleetTries    = 2                      // of a caller
)

// try sends a call to a daemon. The caller returns once if it is refused, gets no event, or the daemon is down.
func (f *fleet) try(d *fleetDaemon, call *fleetCall) {
	if d.down {
		f.comeBack(call, time.Duration(f.random.Int64N(int64(fleetReturnDelay))))
		return
	}
	d.nextCall++
	id, key := d.nextCall, callKey(d, d.nextCall)
	call.tries++
	f.calls[key] = call
	f.feed(d, NewDispatchEvent(dispatch.NewArrived(dispatch.NewRequest(id, key, "pond", "/draft/x", "one").
		WithModel(call.model, promptTokens[call.model], 140).WithTimeout(6*time.Second).WithContentHash(uint64(f.order)))))
	f.after(fleetPatience, func() {
		if f.calls[key] == call && call.first == 0 {
			f.feed(d, NewDispatchEvent(dispatch.NewCallerLeft(id)))
			f.abandon(key, 0)
		}
	})
}

// promptTokens is the number of prompt tokens of a call of each model.
var promptTokens = map[string]int{"small": 674, "large": 1420}

// abandon ends a try of a call, which comes back after wait.
func (f *fleet) abandon(key string, wait time.Duration) {
	call := f.calls[key]
	delete(f.calls, key)
	if call != nil {
		f.comeBack(call, wait)
	}
}

// comeBack makes a caller try again at a random daemon, unless it has tried often enough.
func (f *fleet) comeBack(call *fleetCall, wait time.Duration) {
	if call.tries < maxFleetTries {
		f.after(wait, func() { f.try(f.daemons[f.random.IntN(len(f.daemons))], call) })
	}
}

func (f *fleet) applyDispatch(d *fleetDaemon, effect dispatch.Effect) {
	switch effect := effect.(type) {
	case dispatch.Send:
		if call := f.calls[callKey(d, effect.ID())]; call != nil {
			if call.sends++; call.sends > call.tries {
				f.repeats++
			}
		}
		f.after(fleetLinkDelay, func() { f.serve(d, effect) })
	case dispatch.Cancel:
		f.cancel(d, effect.Attempt())
	case dispatch.Refuse:
		f.abandon(callKey(d, effect.ID()), effect.RetryAfter())
	case dispatch.Fail:
		f.abandon(callKey(d, effect.ID()), 0)
	}
}

// fleetAttempt is an attempt that runs at an engine.
type fleetAttempt struct {
	engine  *fleetEngine
	call    *fleetCall
	id      dispatch.AttemptID
	started bool // the first event was received
	ended   bool
}

func attemptKey(d *fleetDaemon, id dispatch.AttemptID) string {
	return fmt.Sprint(d.name, "#", d.life, "#", id)
}

// serve runs a call at the engine that it was sent to, if that is the head of an open replica with a free slot.
func (f *fleet) serve(d *fleetDaemon, send dispatch.Send) {
	e, call := f.byID[replica.ID(send.Upstream())], f.calls[callKey(d, send.ID())]
	dispatched := func(after time.Duration, event dispatch.Event) {
		f.after(after, func() { f.feed(d, NewDispatchEvent(event)) })
	}
	if e.down || e.membership.Phase() != replica.PhaseOpen || e.running >= 22 || call == nil {
		dispatched(fleetLinkDelay, dispatch.NewFailed(send.Attempt(), dispatch.NotRun))
		return
	}
	e.running++
	a := &fleetAttempt{engine: e, call: call, id: send.Attempt()}
	key, life := attemptKey(d, a.id), d.life
	f.attempts[key] = a
	service, _ := f.config().EngineService()
	interval := service.Engine().EventInterval(f.model(call.model), e.running)
	if e.prefilled.Before(f.now) {
		e.prefilled = f.now
	}
	e.prefilled = e.prefilled.Add(service.Engine().Read(f.model(call.model), promptTokens[call.model]))
	first := e.prefilled.Sub(f.now) + 2*interval
	f.after(first, func() {
		if a.ended || d.life != life {
			return
		}
		f.work(d, fleetEventCost, func() {
			a.started = true
			if call.first == 0 {
				call.first = f.now.Sub(call.arrived)
			}
			f.feed(d, NewDispatchEvent(dispatch.NewStarted(a.id, dispatch.Load{})))
			f.feed(d, NewDispatchEvent(dispatch.NewFirstEventReceived(a.id)))
		})
	})
	f.reportStall(d, a, send.StallTimeout(), 1)
	f.after(first+18*interval, func() {
		if a.ended {
			return
		}
		a.ended = true
		e.running--
		delete(f.attempts, key)
		if d.life != life {
			return
		}
		call.outcome = "answered"
		f.feed(d, NewDispatchEvent(dispatch.NewCompleted(a.id)))
	})
}

// reportStall reports that the first event of an attempt is overdue, again and again.
func (f *fleet) reportStall(d *fleetDaemon, a *fleetAttempt, timeout time.Duration, timeouts int) {
	life := d.life
	f.after(timeout, func() {
		if !a.started && !a.ended && d.life == life {
			f.feed(d, NewDispatchEvent(dispatch.NewStreamStalled(a.id, timeouts)))
			f.reportStall(d, a, timeout, timeouts+1)
		}
	})
}

// cancel ends an attempt at its engine.
func (f *fleet) cancel(d *fleetDaemon, id dispatch.AttemptID) {
	a := f.attempts[attemptKey(d, id)]
	if a == nil {
		f.feed(d, NewDispatchEvent(dispatch.NewFailed(id, dispatch.Halted)))
		return
	}
	delete(f.attempts, attemptKey(d, id))
	a.ended = true
	a.engine.running--
	failed := dispatch.NewFailed(id, dispatch.Halted)
	if a.started {
		failed = failed.WithProgress("1")
	}
	f.after(fleetLinkDelay, func() { f.feed(d, NewDispatchEvent(failed)) })
}
