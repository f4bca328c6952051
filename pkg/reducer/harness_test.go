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
type harness struct {
	now              time.Time
	names            []string
	daemons          map[string]*fakeDaemon
	store            map[object.Key]storedObject
	writes           int
	storeDown        bool
	disconnected     map[string]bool // daemons that reach no other and no store
	engines          []*fakeEngine
	log              []string
	onSend           func(d *fakeDaemon, send engine.Send)
	hideFailedProbes bool // watchers call dead engines alive, as they were
	ignoreVersions   bool // the store ignores versions, and reads tell the first value
	firstValues      map[object.Key]storedObject
}

type storedObject struct {
	version object.Version
	data    []byte
}

// daemon is one reducer with the events that wait for it.
type fakeDaemon struct {
	name    string
	address string
	state   *State
	inbox   []Event
	linked  map[string]bool
	down    bool
	frozen  bool
	highest operator.Revision
}

// fakeEngine obeys orders at once, by their fencing numbers.
type fakeEngine struct {
	id           instance.ID
	starts       int
	dead         bool
	highestToken instance.FencingToken
	assignment   instance.Assignment
}

func (e *fakeEngine) boot() instance.BootID {
	return instance.BootID(fmt.Sprintf("%s.%d", e.id, e.starts))
}

func (e *fakeEngine) phase() instance.Phase {
	if e.assignment.Replica() == "" {
		return instance.PhaseIdle
	}
	return instance.PhaseReady
}

// newWorld returns a world of daemons and engines; all engines lie in one fabric domain.
func newHarness(daemons, engines int) *harness {
	w := &harness{
		now:          golden.Epoch,
		daemons:      map[string]*fakeDaemon{},
		store:        map[object.Key]storedObject{},
		firstValues:  map[object.Key]storedObject{},
		disconnected: map[string]bool{},
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
func (w *harness) start(name string) {
	if w.daemons[name] == nil {
		w.names = append(w.names, name)
	}
	d := &fakeDaemon{name: name, address: name + ":1", state: &State{}, linked: map[string]bool{}}
	w.daemons[name] = d
	for _, other := range w.daemons {
		delete(other.linked, d.address)
	}
	identity := NewSettings(name, fmt.Sprint(w.now.UnixMilli()), "here", uint64(w.now.UnixMilli())).
		WithAddresses(name+":0", d.address).
		WithSeeds("d1:1", "d2:1")
	d.inbox = append(d.inbox, NewStarted(identity), NewListed(1, w.listed()))
}

func (w *harness) listed() []instance.Instance {
	var listed []instance.Instance
	for _, e := range w.engines {
		listed = append(listed, instance.NewInstance(e.id, string(e.id)+":0", "rack", "here", 8))
	}
	return listed
}

// run lets time pass.
func (w *harness) run(passed time.Duration) {
	for range int(passed / step) {
		w.now = w.now.Add(step)
		for _, name := range w.names {
			if d := w.daemons[name]; !d.down && !d.frozen {
				w.runDaemon(d)
			}
		}
	}
}

// turn feeds a daemon what waits for it, and a tick.
func (w *harness) runDaemon(d *fakeDaemon) {
	waiting := d.inbox
	d.inbox = nil
	for _, e := range append(waiting, NewTicked()) {
		for _, effect := range d.state.Reduce(w.now, e) {
			w.execute(d, effect)
		}
	}
	d.highest = max(d.highest, d.state.Fleet().Revision())
}

func (w *harness) logf(d *fakeDaemon, format string, values ...any) {
	at := w.now.Sub(golden.Epoch).Seconds()
	w.log = append(w.log, fmt.Sprintf("%.1f %s ", at, d.name)+fmt.Sprintf(format, values...))
}

func (w *harness) execute(d *fakeDaemon, effect Effect) {
	switch effect := effect.(type) {
	case Store:
		w.callStore(d, effect)
	case ListInstances:
		if !w.storeDown && !w.disconnected[d.name] {
			d.inbox = append(d.inbox, NewListed(1, w.listed()))
		}
	case Reconfigured:
		w.logf(d, "revision %d in force", effect.Fleet().Revision())
	case Stopped:
		w.logf(d, "stopped")
		d.down = true
	case CallerEffect:
		reject := effect.Effect().(caller.Reject)
		w.logf(d, "call %d not run: %s", reject.ID(), reject.Outcome().Reason())
	case EngineEffect:
		w.executeEngineEffect(d, effect.Effect())
	case InstanceEffect:
		w.executeInstanceEffect(d, effect.Effect())
	case PeerEffect:
		w.executePeerEffect(d, effect.Effect())
	case OperatorEffect:
		w.logf(d, "answer %T", effect.Effect().(operator.Answer).Outcome())
	}
}

// request makes a call to the store; watches only tell the present state.
func (w *harness) callStore(d *fakeDaemon, effect Store) {
	request := effect.Request()
	found, exists := w.store[request.Key()]
	var result object.Result
	switch r := request.(type) {
	case object.Put:
		result = w.put(r, found)
	default:
		result = object.NewAbsent(request.Ref())
		if exists {
			if w.ignoreVersions {
				found = w.firstValues[request.Key()]
			}
			result = object.NewFound(request.Ref(), found.version, found.data)
		}
	}
	if w.storeDown || w.disconnected[d.name] {
		result = object.NewRefused(request.Ref(), "out")
	}
	d.inbox = append(d.inbox, NewStoreCompleted(effect.Component(), result))
}

func (w *harness) put(put object.Put, found storedObject) object.Result {
	if w.storeDown || found.version != put.ExpectedVersion() && !w.ignoreVersions {
		return object.NewConflict(put.Ref())
	}
	w.writes++
	version := object.Version(fmt.Sprint(w.writes))
	w.store[put.Key()] = storedObject{version, put.Data()}
	if _, known := w.firstValues[put.Key()]; !known {
		w.firstValues[put.Key()] = w.store[put.Key()]
	}
	return object.NewStored(put.Ref(), version)
}

func (w *harness) executeEngineEffect(d *fakeDaemon, effect engine.Effect) {
	switch effect := effect.(type) {
	case engine.Send:
		w.logf(d, "call %d sent to %s", effect.Call().ID(), effect.Replica())
		if w.onSend != nil {
			w.onSend(d, effect)
		}
		d.inbox = append(d.inbox, EngineEvent{w.answerAttempt(effect)})
	case engine.Finish:
		w.logf(d, "call %d ended: %T", effect.ID(), effect.Outcome())
	}
}

// serve answers an attempt at the next step, if the engines that it needs are there.
func (w *harness) answerAttempt(send engine.Send) engine.Event {
	members := 0
	for _, e := range w.engines {
		if !e.dead && e.assignment.Replica() == send.Replica() {
			members++
		}
	}
	if members < replicaSize {
		return engine.NewFailed(send.Attempt(), engine.Crashed, send.TokenOffset())
	}
	return engine.NewCompleted(send.Attempt())
}

func (w *harness) executeInstanceEffect(d *fakeDaemon, effect instance.Effect) {
	switch effect := effect.(type) {
	case instance.AvailabilityChanged:
		w.logf(d, "replica %s whole=%v (%s)", effect.Replica(), effect.Available(), effect.Reason())
	case instance.Order:
		w.logf(d, "order %s to %q", effect.ID(), effect.Assignment().Replica())
		reply := w.applyOrder(effect)
		d.inbox = append(d.inbox, InstanceEvent{instance.NewOrderAnswered(effect.ID(), effect.Assignment(), reply)})
	}
}

func (w *harness) applyOrder(order instance.Order) instance.Reply {
	e := w.engine(order.ID())
	switch {
	case e == nil || e.dead:
		return instance.ReplyUnanswered
	case order.Assignment().FencingToken() < e.highestToken:
		return instance.ReplyStale
	}
	e.highestToken, e.assignment = order.Assignment().FencingToken(), order.Assignment()
	return instance.ReplyAccepted
}

func (w *harness) engine(id instance.ID) *fakeEngine {
	for _, e := range w.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

func (w *harness) executePeerEffect(d *fakeDaemon, effect peer.Effect) {
	switch effect := effect.(type) {
	case peer.Send:
		w.deliver(d, effect)
	case peer.Probe:
		d.inbox = append(d.inbox, PeerEvent{peer.NewProbed(w.probe(d, effect.Upstream()))})
	case peer.ResetLinks:
		d.linked = map[string]bool{}
	}
}

func (w *harness) probe(d *fakeDaemon, u peer.Upstream) instance.ProbeResult {
	e := w.engine(instance.ID(u.ID()))
	if e == nil || e.dead && !w.hideFailedProbes {
		return instance.NewFailedProbe(instance.ID(u.ID()), d.name, w.now)
	}
	return instance.NewProbeResult(e.id, e.boot(), e.assignment, e.phase(), instance.Load{}, d.name, w.now)
}

// deliver carries a message through the codec to the peer at its address.
func (w *harness) deliver(from *fakeDaemon, send peer.Send) {
	to := w.daemons[strings.TrimSuffix(send.Address(), ":1")]
	if to == nil || to.down || w.disconnected[from.name] || w.disconnected[to.name] {
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
const replicaSize = 2

func testConfig(replicas int) operator.Config {
	config, err := operator.ParseConfig("test", fmt.Appendf(nil, `team: demo
models:
  - {name: drafts, pool: demo, span: %d, accelerators: 8, bytes: 1000, replicas: %d, fencing: true}
organisations:
  - {name: cloakroom, share: 1, targets: [drafts], key: %s, priority: 1, flight: 100}
weights: {downtime: 10, stranding: 1}
deadlines: {first: 10s, whole: 30s}
limits: {queue: 64, body: 4096}
`, replicaSize, replicas, operator.NewHash("key")))
	if err != nil {
		panic(err)
	}
	return config
}

// apply asks a daemon to put the configuration in force that builds on base.
func (w *harness) apply(name string, replicas int, base operator.Revision) {
	request := operator.RequestID(fmt.Sprintf("apply-%s-%d", name, w.now.UnixMilli()))
	config := testConfig(replicas).WithRevision(base)
	d := w.daemons[name]
	d.inbox = append(d.inbox, OperatorEvent{operator.NewApplyRequested(request, "op", config)})
}

func (w *harness) requestAction(name string, action operator.Action) {
	request := operator.RequestID(fmt.Sprintf("plan-%s-%d", name, w.now.UnixMilli()))
	d := w.daemons[name]
	d.inbox = append(d.inbox, OperatorEvent{operator.NewActionRequested(request, "op", operator.FleetTeam, action)})
}

func (w *harness) call(name string, id caller.ID) {
	call := caller.NewCall(id, caller.Model, "drafts", "cloakroom", w.now.Add(10*time.Second)).
		WithIdempotent().
		WithHashes(uint64(id), nil)
	d := w.daemons[name]
	d.inbox = append(d.inbox, CallerEvent{caller.NewArrived(call)})
}

// whole returns the replicas that daemon name would send work to.
func (w *harness) servingReplicas(name string) string {
	d := w.daemons[name]
	var names []string
	for _, serving := range d.state.instance.ServingReplicas("drafts", w.now) {
		names = append(names, string(serving.Replica()))
	}
	sort.Strings(names)
	return strings.Join(names, " ")
}
