package reducer

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/azurepond/azurepond/internal/golden"
	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/engine"
	"github.com/azurepond/azurepond/pkg/instance"
	"github.com/azurepond/azurepond/pkg/object"
	"github.com/azurepond/azurepond/pkg/operator"
	"github.com/azurepond/azurepond/pkg/peer"
)

// step is how far the world's clock moves at once; whatever crosses an interface takes one step.
const step = 100 * time.Millisecond

// world is small fakes of all that daemons speak to: the store, the engines and the links between daemons.
type world struct {
	now     time.Time
	names   []string
	daemons map[string]*daemon
	store   map[object.Key]stored
	writes  int
	out     bool
	cut     map[string]bool // daemons that reach no other and no store
	engines []*fakeEngine
	log     []string
	sent    func(d *daemon, send engine.Send)
	lies    bool // watchers call dead engines alive, as they were
	blind   bool // the store ignores versions, and reads tell the first value
	first   map[object.Key]stored
}

type stored struct {
	version object.Version
	data    []byte
}

// daemon is one reducer with the events that wait for it.
type daemon struct {
	name    string
	address string
	state   *State
	inbox   []Event
	linked  map[string]bool
	down    bool
	paused  bool
	highest operator.Revision
}

// fakeEngine obeys orders at once, by their fencing numbers.
type fakeEngine struct {
	id     instance.ID
	starts int
	dead   bool
	fence  instance.FencingToken
	place  instance.Assignment
}

func (e *fakeEngine) boot() instance.BootID {
	return instance.BootID(fmt.Sprintf("%s.%d", e.id, e.starts))
}

func (e *fakeEngine) phase() instance.Phase {
	if e.place.Replica() == "" {
		return instance.PhaseIdle
	}
	return instance.PhaseReady
}

// newWorld returns a world of daemons and engines; all engines lie in one fabric domain.
func newWorld(daemons, engines int) *world {
	w := &world{
		now:     golden.Epoch,
		daemons: map[string]*daemon{},
		store:   map[object.Key]stored{},
		first:   map[object.Key]stored{},
		cut:     map[string]bool{},
	}
	for i := range engines {
		w.engines = append(w.engines, &fakeEngine{id: instance.ID(fmt.Sprintf("w%d", i+1)), starts: 1})
	}
	for i := range daemons {
		w.start(fmt.Sprintf("d%d", i+1))
	}
	return w
}

// start starts a daemon, or replaces it by one of the same name that knows nothing.
func (w *world) start(name string) {
	if w.daemons[name] == nil {
		w.names = append(w.names, name)
	}
	d := &daemon{name: name, address: name + ":1", state: &State{}, linked: map[string]bool{}}
	w.daemons[name] = d
	for _, other := range w.daemons {
		delete(other.linked, d.address)
	}
	identity := NewSettings(name, fmt.Sprint(w.now.UnixMilli()), "here", uint64(w.now.UnixMilli())).
		WithAddresses(name+":0", d.address).
		WithSeeds("d1:1", "d2:1")
	d.inbox = append(d.inbox, NewStarted(identity), NewListed(1, w.listed()))
}

func (w *world) listed() []instance.Instance {
	var listed []instance.Instance
	for _, e := range w.engines {
		listed = append(listed, instance.NewInstance(e.id, string(e.id)+":0", "rack", "here", 8))
	}
	return listed
}

// run lets time pass.
func (w *world) run(passed time.Duration) {
	for range int(passed / step) {
		w.now = w.now.Add(step)
		for _, name := range w.names {
			if d := w.daemons[name]; !d.down && !d.paused {
				w.turn(d)
			}
		}
	}
}

// turn feeds a daemon what waits for it, and a tick.
func (w *world) turn(d *daemon) {
	waiting := d.inbox
	d.inbox = nil
	for _, e := range append(waiting, NewTicked()) {
		for _, effect := range d.state.Reduce(w.now, e) {
			w.execute(d, effect)
		}
	}
	d.highest = max(d.highest, d.state.Fleet().Revision())
}

func (w *world) note(d *daemon, format string, values ...any) {
	at := w.now.Sub(golden.Epoch).Seconds()
	w.log = append(w.log, fmt.Sprintf("%.1f %s ", at, d.name)+fmt.Sprintf(format, values...))
}

func (w *world) execute(d *daemon, effect Effect) {
	switch effect := effect.(type) {
	case Store:
		w.request(d, effect)
	case ListInstances:
		if !w.out && !w.cut[d.name] {
			d.inbox = append(d.inbox, NewListed(1, w.listed()))
		}
	case Reconfigured:
		w.note(d, "revision %d in force", effect.Fleet().Revision())
	case Stopped:
		w.note(d, "stopped")
		d.down = true
	case CallerEffect:
		reject := effect.Effect().(caller.Reject)
		w.note(d, "call %d not run: %s", reject.ID(), reject.Outcome().Reason())
	case EngineEffect:
		w.toEngine(d, effect.Effect())
	case InstanceEffect:
		w.toInstance(d, effect.Effect())
	case PeerEffect:
		w.toPeer(d, effect.Effect())
	case OperatorEffect:
		w.note(d, "answer %T", effect.Effect().(operator.Answer).Outcome())
	}
}

// request makes a call to the store; watches only tell the present state.
func (w *world) request(d *daemon, effect Store) {
	request := effect.Request()
	found, exists := w.store[request.Key()]
	var result object.Result
	switch r := request.(type) {
	case object.Put:
		result = w.put(r, found)
	default:
		result = object.NewAbsent(request.Ref())
		if exists {
			if w.blind {
				found = w.first[request.Key()]
			}
			result = object.NewFound(request.Ref(), found.version, found.data)
		}
	}
	if w.out || w.cut[d.name] {
		result = object.NewRefused(request.Ref(), "out")
	}
	d.inbox = append(d.inbox, NewStoreCompleted(effect.Component(), result))
}

func (w *world) put(put object.Put, found stored) object.Result {
	if w.out || found.version != put.ExpectedVersion() && !w.blind {
		return object.NewConflict(put.Ref())
	}
	w.writes++
	version := object.Version(fmt.Sprint(w.writes))
	w.store[put.Key()] = stored{version, put.Data()}
	if _, known := w.first[put.Key()]; !known {
		w.first[put.Key()] = w.store[put.Key()]
	}
	return object.NewStored(put.Ref(), version)
}

func (w *world) toEngine(d *daemon, effect engine.Effect) {
	switch effect := effect.(type) {
	case engine.Send:
		w.note(d, "call %d sent to %s", effect.Call().ID(), effect.Replica())
		if w.sent != nil {
			w.sent(d, effect)
		}
		d.inbox = append(d.inbox, EngineEvent{w.serve(effect)})
	case engine.Finish:
		w.note(d, "call %d ended: %T", effect.ID(), effect.Outcome())
	}
}

// serve answers an attempt at the next step, if the engines that it needs are there.
func (w *world) serve(send engine.Send) engine.Event {
	members := 0
	for _, e := range w.engines {
		if !e.dead && e.place.Replica() == send.Replica() {
			members++
		}
	}
	if members < span {
		return engine.NewFailed(send.Attempt(), engine.Crashed, send.TokenOffset())
	}
	return engine.NewCompleted(send.Attempt())
}

func (w *world) toInstance(d *daemon, effect instance.Effect) {
	switch effect := effect.(type) {
	case instance.AvailabilityChanged:
		w.note(d, "replica %s whole=%v (%s)", effect.Replica(), effect.Available(), effect.Reason())
	case instance.Order:
		w.note(d, "order %s to %q", effect.ID(), effect.Assignment().Replica())
		reply := w.obey(effect)
		d.inbox = append(d.inbox, InstanceEvent{instance.NewOrderAnswered(effect.ID(), effect.Assignment(), reply)})
	}
}

func (w *world) obey(order instance.Order) instance.Reply {
	e := w.engine(order.ID())
	switch {
	case e == nil || e.dead:
		return instance.ReplyUnanswered
	case order.Assignment().FencingToken() < e.fence:
		return instance.ReplyStale
	}
	e.fence, e.place = order.Assignment().FencingToken(), order.Assignment()
	return instance.ReplyAccepted
}

func (w *world) engine(id instance.ID) *fakeEngine {
	for _, e := range w.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

func (w *world) toPeer(d *daemon, effect peer.Effect) {
	switch effect := effect.(type) {
	case peer.Send:
		w.deliver(d, effect)
	case peer.Probe:
		d.inbox = append(d.inbox, PeerEvent{peer.NewProbed(w.look(d, effect.Upstream()))})
	case peer.ResetLinks:
		d.linked = map[string]bool{}
	}
}

func (w *world) look(d *daemon, u peer.Upstream) instance.ProbeResult {
	e := w.engine(instance.ID(u.ID()))
	if e == nil || e.dead && !w.lies {
		return instance.NewFailedProbe(instance.ID(u.ID()), d.name, w.now)
	}
	return instance.NewProbeResult(e.id, e.boot(), e.place, e.phase(), instance.Load{}, d.name, w.now)
}

// deliver carries a message through the codec to the peer at its address.
func (w *world) deliver(from *daemon, send peer.Send) {
	to := w.daemons[strings.TrimSuffix(send.Address(), ":1")]
	if to == nil || to.down || w.cut[from.name] || w.cut[to.name] {
		delete(from.linked, send.Address())
		from.inbox = append(from.inbox, PeerEvent{peer.NewLinkClosed(send.Name(), send.Address())})
		return
	}
	if !from.linked[to.address] {
		from.linked[to.address], to.linked[from.address] = true, true
		from.inbox = append(from.inbox, PeerEvent{peer.NewLinkOpened(to.name, to.address)})
		to.inbox = append(to.inbox, PeerEvent{peer.NewLinkOpened(from.name, from.address)})
	}
	data, err := peer.Encode(send.Message())
	if err != nil {
		panic(err)
	}
	message, err := peer.Decode(data)
	if err != nil {
		panic(err)
	}
	to.inbox = append(to.inbox, PeerEvent{peer.NewReceived(from.name, message, len(data))})
}

// span is the number of engines of one replica.
const span = 2

func testConfig(replicas int) operator.Config {
	config, err := operator.ParseConfig("test", fmt.Appendf(nil, `team: demo
models:
  - {name: drafts, pool: demo, span: %d, accelerators: 8, bytes: 1000, replicas: %d, fencing: true}
organisations:
  - {name: cloakroom, share: 1, targets: [drafts], key: %s, priority: 1, flight: 100}
weights: {downtime: 10, stranding: 1}
deadlines: {first: 10s, whole: 30s}
limits: {queue: 64, body: 4096}
`, span, replicas, operator.NewHash("key")))
	if err != nil {
		panic(err)
	}
	return config
}

// apply asks a daemon to put the configuration in force that builds on base.
func (w *world) apply(name string, replicas int, base operator.Revision) {
	request := operator.RequestID(fmt.Sprintf("apply-%s-%d", name, w.now.UnixMilli()))
	config := testConfig(replicas).WithRevision(base)
	d := w.daemons[name]
	d.inbox = append(d.inbox, OperatorEvent{operator.NewApplyRequested(request, "op", config)})
}

func (w *world) plan(name string, action operator.Action) {
	request := operator.RequestID(fmt.Sprintf("plan-%s-%d", name, w.now.UnixMilli()))
	d := w.daemons[name]
	d.inbox = append(d.inbox, OperatorEvent{operator.NewActionRequested(request, "op", operator.FleetTeam, action)})
}

func (w *world) call(name string, id caller.ID) {
	call := caller.NewCall(id, caller.Model, "drafts", "cloakroom", w.now.Add(10*time.Second)).
		WithIdempotent().
		WithHashes(uint64(id), nil)
	d := w.daemons[name]
	d.inbox = append(d.inbox, CallerEvent{caller.NewArrived(call)})
}

// whole returns the replicas that daemon name would send work to.
func (w *world) whole(name string) string {
	d := w.daemons[name]
	var names []string
	for _, serving := range d.state.instance.ServingReplicas("drafts", w.now) {
		names = append(names, string(serving.Replica()))
	}
	sort.Strings(names)
	return strings.Join(names, " ")
}
