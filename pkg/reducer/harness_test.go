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

// step is the resolution of the simulated time; every message and every call of an interface takes one step.
const step = 100 * time.Millisecond

// harness runs daemons with fakes of the store, the engines and the links between daemons, with simulated time.
type harness struct {
	now              time.Time
	names            []string // of the daemons, in the order of their first start
	daemons          map[string]*fakeDaemon
	store            map[object.Key]storedObject
	writes           int
	storeDown        bool
	disconnected     map[string]bool // daemons that reach neither other daemons nor the store
	engines          []*fakeEngine
	log              []string
	onSend           func(d *fakeDaemon, send engine.Send)
	hideFailedProbes bool // faulty variant: probes of dead engines return their last state
	ignoreVersions   bool // faulty variant: the store ignores versions, and reads return the first value
	firstValues      map[object.Key]storedObject
}

type storedObject struct {
	version object.Version
	data    []byte
}

// fakeDaemon is one State with the events that it has not processed.
type fakeDaemon struct {
	name            string
	address         string
	state           *State
	inbox           []Event
	linked          map[string]bool
	down            bool
	frozen          bool
	highestRevision operator.Revision
}

// fakeEngine applies orders at once and checks their fencing tokens.
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

// newHarness returns a harness with daemons and engines; all engines are in one fabric domain.
func newHarness(daemons, engines int) *harness {
	h := &harness{
		now:          golden.Epoch,
		daemons:      map[string]*fakeDaemon{},
		store:        map[object.Key]storedObject{},
		firstValues:  map[object.Key]storedObject{},
		disconnected: map[string]bool{},
	}
	for i := range engines {
		h.engines = append(h.engines, &fakeEngine{id: instance.ID(fmt.Sprintf("w%d", i+1)), starts: 1})
	}
	for i := range daemons {
		h.start(fmt.Sprintf("d%d", i+1))
	}
	return h
}

// start starts a daemon, or replaces it by one of the same name with an empty state.
func (h *harness) start(name string) {
	if h.daemons[name] == nil {
		h.names = append(h.names, name)
	}
	d := &fakeDaemon{name: name, address: name + ":1", state: &State{}, linked: map[string]bool{}}
	h.daemons[name] = d
	for _, other := range h.daemons {
		delete(other.linked, d.address)
	}
	settings := NewSettings(name, fmt.Sprint(h.now.UnixMilli()), "here", uint64(h.now.UnixMilli())).
		WithAddresses(name+":0", d.address).
		WithSeeds("d1:1", "d2:1")
	d.inbox = append(d.inbox, NewStarted(settings), NewListed(1, h.instances()))
}

func (h *harness) instances() []instance.Instance {
	var instances []instance.Instance
	for _, e := range h.engines {
		instances = append(instances, instance.NewInstance(e.id, string(e.id)+":0", "rack", "here", 8))
	}
	return instances
}

// run advances the time, and in each step runs the daemons that are neither down nor frozen.
func (h *harness) run(duration time.Duration) {
	for range int(duration / step) {
		h.now = h.now.Add(step)
		for _, name := range h.names {
			if d := h.daemons[name]; !d.down && !d.frozen {
				h.runDaemon(d)
			}
		}
	}
}

// runDaemon feeds a daemon its events and a tick.
func (h *harness) runDaemon(d *fakeDaemon) {
	events := d.inbox
	d.inbox = nil
	for _, e := range append(events, NewTicked()) {
		for _, effect := range d.state.Reduce(h.now, e) {
			h.execute(d, effect)
		}
	}
	d.highestRevision = max(d.highestRevision, d.state.Fleet().Revision())
}

func (h *harness) trace(d *fakeDaemon, format string, values ...any) {
	at := h.now.Sub(golden.Epoch).Seconds()
	h.log = append(h.log, fmt.Sprintf("%.1f %s ", at, d.name)+fmt.Sprintf(format, values...))
}

func (h *harness) execute(d *fakeDaemon, effect Effect) {
	switch effect := effect.(type) {
	case Store:
		h.callStore(d, effect)
	case ListInstances:
		if !h.storeDown && !h.disconnected[d.name] {
			d.inbox = append(d.inbox, NewListed(1, h.instances()))
		}
	case Reconfigured:
		h.trace(d, "revision %d active", effect.Fleet().Revision())
	case Stopped:
		h.trace(d, "stopped")
		d.down = true
	case CallerEffect:
		reject := effect.Effect().(caller.Reject)
		h.trace(d, "call %d not run: %s", reject.ID(), reject.Outcome().Reason())
	case EngineEffect:
		h.executeEngineEffect(d, effect.Effect())
	case InstanceEffect:
		h.executeInstanceEffect(d, effect.Effect())
	case PeerEffect:
		h.executePeerEffect(d, effect.Effect())
	case OperatorEffect:
		h.trace(d, "answer %T", effect.Effect().(operator.Answer).Outcome())
	}
}

// callStore answers a request to the store; a watch returns the current value once.
func (h *harness) callStore(d *fakeDaemon, effect Store) {
	request := effect.Request()
	found, exists := h.store[request.Key()]
	var result object.Result
	switch r := request.(type) {
	case object.Put:
		result = h.put(r, found)
	default:
		result = object.NewAbsent(request.Ref())
		if exists {
			if h.ignoreVersions {
				found = h.firstValues[request.Key()]
			}
			result = object.NewFound(request.Ref(), found.version, found.data)
		}
	}
	if h.storeDown || h.disconnected[d.name] {
		result = object.NewRefused(request.Ref(), "store down")
	}
	d.inbox = append(d.inbox, NewStoreCompleted(effect.Component(), result))
}

func (h *harness) put(put object.Put, found storedObject) object.Result {
	if h.storeDown || found.version != put.ExpectedVersion() && !h.ignoreVersions {
		return object.NewConflict(put.Ref())
	}
	h.writes++
	version := object.Version(fmt.Sprint(h.writes))
	h.store[put.Key()] = storedObject{version, put.Data()}
	if _, known := h.firstValues[put.Key()]; !known {
		h.firstValues[put.Key()] = h.store[put.Key()]
	}
	return object.NewStored(put.Ref(), version)
}

func (h *harness) executeEngineEffect(d *fakeDaemon, effect engine.Effect) {
	switch effect := effect.(type) {
	case engine.Send:
		h.trace(d, "call %d sent to %s", effect.Call().ID(), effect.Replica())
		if h.onSend != nil {
			h.onSend(d, effect)
		}
		d.inbox = append(d.inbox, EngineEvent{h.answerAttempt(effect)})
	case engine.Finish:
		h.trace(d, "call %d ended: %T", effect.ID(), effect.Outcome())
	}
}

// answerAttempt completes an attempt, or fails it if the replica lacks a member.
func (h *harness) answerAttempt(send engine.Send) engine.Event {
	members := 0
	for _, e := range h.engines {
		if !e.dead && e.assignment.Replica() == send.Replica() {
			members++
		}
	}
	if members < replicaSize {
		return engine.NewFailed(send.Attempt(), engine.Crashed, send.TokenOffset())
	}
	return engine.NewCompleted(send.Attempt())
}

func (h *harness) executeInstanceEffect(d *fakeDaemon, effect instance.Effect) {
	switch effect := effect.(type) {
	case instance.AvailabilityChanged:
		h.trace(d, "replica %s available=%v (%s)", effect.Replica(), effect.Available(), effect.Reason())
	case instance.Order:
		h.trace(d, "order %s to %q", effect.ID(), effect.Assignment().Replica())
		reply := h.applyOrder(effect)
		d.inbox = append(d.inbox, InstanceEvent{instance.NewOrderAnswered(effect.ID(), effect.Assignment(), reply)})
	}
}

func (h *harness) applyOrder(order instance.Order) instance.Reply {
	e := h.engine(order.ID())
	switch {
	case e == nil || e.dead:
		return instance.ReplyUnanswered
	case order.Assignment().FencingToken() < e.highestToken:
		return instance.ReplyStale
	}
	e.highestToken, e.assignment = order.Assignment().FencingToken(), order.Assignment()
	return instance.ReplyAccepted
}

func (h *harness) engine(id instance.ID) *fakeEngine {
	for _, e := range h.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

func (h *harness) executePeerEffect(d *fakeDaemon, effect peer.Effect) {
	switch effect := effect.(type) {
	case peer.Send:
		h.deliver(d, effect)
	case peer.Probe:
		d.inbox = append(d.inbox, PeerEvent{peer.NewProbed(h.probe(d, effect.Upstream()))})
	case peer.ResetLinks:
		d.linked = map[string]bool{}
	}
}

func (h *harness) probe(d *fakeDaemon, u peer.Upstream) instance.ProbeResult {
	e := h.engine(instance.ID(u.ID()))
	if e == nil || e.dead && !h.hideFailedProbes {
		return instance.NewFailedProbe(instance.ID(u.ID()), d.name, h.now)
	}
	return instance.NewProbeResult(e.id, e.boot(), e.assignment, e.phase(), instance.Load{}, d.name, h.now)
}

// deliver carries a message through the codec to the peer at its address.
func (h *harness) deliver(from *fakeDaemon, send peer.Send) {
	to := h.daemons[strings.TrimSuffix(send.Address(), ":1")]
	if to == nil || to.down || h.disconnected[from.name] || h.disconnected[to.name] {
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

// replicaSize is the number of engines of one replica.
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

// apply sends a daemon an operator's request to apply a configuration based on revision base.
func (h *harness) apply(name string, replicas int, base operator.Revision) {
	request := operator.RequestID(fmt.Sprintf("apply-%s-%d", name, h.now.UnixMilli()))
	config := testConfig(replicas).WithRevision(base)
	d := h.daemons[name]
	d.inbox = append(d.inbox, OperatorEvent{operator.NewApplyRequested(request, "op", config)})
}

func (h *harness) requestAction(name string, action operator.Action) {
	request := operator.RequestID(fmt.Sprintf("plan-%s-%d", name, h.now.UnixMilli()))
	d := h.daemons[name]
	d.inbox = append(d.inbox, OperatorEvent{operator.NewActionRequested(request, "op", operator.FleetTeam, action)})
}

func (h *harness) call(name string, id caller.ID) {
	call := caller.NewCall(id, caller.Model, "drafts", "cloakroom", h.now.Add(10*time.Second)).
		WithIdempotent().
		WithHashes(uint64(id), nil)
	d := h.daemons[name]
	d.inbox = append(d.inbox, CallerEvent{caller.NewArrived(call)})
}

// servingReplicas returns the replicas that a daemon would send calls to.
func (h *harness) servingReplicas(daemon string) string {
	d := h.daemons[daemon]
	var names []string
	for _, serving := range d.state.instance.ServingReplicas("drafts", h.now) {
		names = append(names, string(serving.Replica()))
	}
	sort.Strings(names)
	return strings.Join(names, " ")
}
