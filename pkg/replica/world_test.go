package replica

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/azurepond/azurepond/pkg/object"
	"github.com/azurepond/azurepond/pkg/route"
)

// The times of the world.
const (
	worldStep  = 25 * time.Millisecond
	worldTrip  = 25 * time.Millisecond // each message takes one step
	worldLook  = 120 * time.Millisecond
	worldForm  = 300 * time.Millisecond
	worldLag   = 300 * time.Millisecond // reports are as of some hundred ms ago
	worldStall = 4 * time.Second
	worldLost  = 3600 * time.Millisecond // three heartbeats of a silent instance
)

var worldEpoch = time.Unix(1_700_000_000, 0).UTC()

// large and small are the models of the world.
var (
	large = route.NewModel("large", 4, 0.67, 1).WithLoadTimes(16*time.Second, 1600*time.Millisecond)
	small = route.NewModel("small", 2, 0.33, 0.6).WithLoadTimes(12*time.Second, 1100*time.Millisecond)
)

// worldEngine is one engine that keeps the rules of its orders.
type worldEngine struct {
	id      ID
	domain  string
	born    int64
	down    bool
	leaving bool
	loaded  string
	last    string
	staged  string
	member  Membership
	members []ID
	until   time.Time // when the present join, or the opening, is done
	opening bool
	token   uint64
	epoch   uint64
	cut     bool       // its entry stays as it is
	entry   Instance   // what it wrote before it was cut
	past    Membership // what looks show, which lag
	told    Membership
	wasOf   map[string]bool // replicas, with epoch and members, in which it was ready
}

// worldEvent is something that happens later.
type worldEvent struct {
	at time.Time
	do func()
}

// world is a fabric, a store and daemons, in which time moves by steps.
type world struct {
	now     time.Time
	engines []*worldEngine
	daemons []*worldDaemon
	value   []byte
	version int
	storeUp bool
	later   []worldEvent
	broken  []string // rules that were broken
	lose    func(Order) (lost bool, after time.Duration)
	orders  int
	loads   []time.Time
	notes   []string
}

type worldDaemon struct {
	name  string
	state State
	down  bool
	heard map[ID]Instance // as it was listed last
	looks int
}

func newWorld(domains, each, daemons int) *world {
	w := &world{now: worldEpoch, storeUp: true}
	for d := range domains {
		for i := range each {
			w.engines = append(w.engines, &worldEngine{
				id: ID(fmt.Sprintf("i%d%d", d, i)), domain: "d" + strconv.Itoa(d), born: 1, wasOf: map[string]bool{},
			})
		}
	}
	engine := route.NewEngine(26, large, small).
		WithStepTimes(6*time.Millisecond, 241*time.Microsecond, 5, 46000, 2048).
		WithLoadLimits(4, 6, 1, worldForm)
	for i := range daemons {
		name := string(rune('a' + i))
		d := &worldDaemon{name: name, heard: map[ID]Instance{}}
		d.state = New(NewSettings(object.NewKey("replicas", "main"), name+"/1", uint64(i+1)).WithBootstrap(true))
		w.daemons = append(w.daemons, d)
		w.feed(d, NewConfigured(engine))
	}
	w.feed(w.daemons[0], NewLeadershipChanged(true))
	return w
}

func (w *world) engine(id ID) *worldEngine {
	for _, e := range w.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

func (w *world) after(d time.Duration, do func()) {
	w.later = append(w.later, worldEvent{w.now.Add(d), do})
}

// run lets time pass.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(worldStep)
		w.happen()
		for _, e := range w.engines {
			w.proceed(e)
			w.lag(e)
		}
		for _, daemon := range w.daemons {
			w.tell(daemon)
			if w.now.Sub(worldEpoch)%(2*worldStep) == 0 {
				w.feed(daemon, NewTicked())
			}
		}
	}
}

func (w *world) happen() {
	due := w.later
	w.later = nil
	for _, e := range due {
		if e.at.After(w.now) {
			w.later = append(w.later, e)
			continue
		}
		e.do()
	}
}

// lag lets looks show the place of an engine a while later.
func (w *world) lag(e *worldEngine) {
	if now := e.member; now != e.told {
		e.told = now
		w.after(worldLag, func() { e.past = now })
	}
}

// proceed completes joins and openings.
func (w *world) proceed(e *worldEngine) {
	if e.down || w.now.Before(e.until) {
		return
	}
	switch {
	case e.member.phase == PhaseJoining:
		e.member.phase = PhaseReady
		e.wasOf[formationOf(e)] = true
	case e.opening:
		e.opening = false
		e.member.phase = PhaseOpen
		w.checkWhole(e)
	}
}

func formationOf(e *worldEngine) string {
	return fmt.Sprint(e.member.replica, e.member.epoch, e.members)
}

// checkWhole notes a replica that opens without all its members having been ready in it.
func (w *world) checkWhole(head *worldEngine) {
	model := large
	if head.loaded == small.Name() {
		model = small
	}
	if len(head.members) != model.ReplicaSize() {
		w.broken = append(w.broken, fmt.Sprintf("%s opened with %d members", head.member.replica, len(head.members)))
	}
	for _, id := range head.members {
		if !w.engine(id).wasOf[formationOf(head)] {
			w.broken = append(w.broken, fmt.Sprintf("%s opened before %s was ready", head.member.replica, id))
		}
	}
}

// tell lists the instances to a daemon: each change at once, silence after three heartbeats.
func (w *world) tell(d *worldDaemon) {
	if d.down || !w.storeUp {
		return
	}
	var changed []Instance
	var gone []ID
	for _, e := range w.engines {
		seen := w.instance(e)
		if e.cut {
			seen = e.entry
		}
		old, isKnown := d.heard[e.id]
		if e.down && w.now.Sub(e.until) >= worldLost && isKnown {
			delete(d.heard, e.id)
			gone = append(gone, e.id)
		}
		isRelisted := e.cut && w.now.Sub(worldEpoch)%(500*time.Millisecond) == 0
		if !e.down && (!isKnown || !same(old, seen) || isRelisted) {
			d.heard[e.id] = seen
			changed = append(changed, seen)
		}
	}
	if len(changed)+len(gone) > 0 {
		w.feed(d, NewListChanges(changed, gone))
	}
}

func same(a, b Instance) bool {
	return a.incarnation == b.incarnation && a.leaving == b.leaving && a.loadedModel == b.loadedModel && a.member == b.member &&
		slices.Equal(a.stagedModels, b.stagedModels)
}

func (w *world) instance(e *worldEngine) Instance {
	i := NewInstance(e.id, string(e.id), "athens", e.domain, e.born).WithModels(e.loaded, e.staged).WithLeaving(e.leaving)
	return i.WithMembership(e.member)
}

func (w *world) feed(d *worldDaemon, e Event) {
	if d.down {
		return
	}
	for _, effect := range d.state.Reduce(w.now, e) {
		w.carryOut(d, effect)
	}
}

func (w *world) carryOut(d *worldDaemon, effect Effect) {
	switch effect := effect.(type) {
	case Store:
		w.after(worldTrip, func() { w.store(d, effect.Request()) })
	case Order:
		w.orders++
		w.order(d, effect)
	case Probe:
		d.looks++
		w.look(d, effect)
	case AnnounceDead:
		for _, other := range w.daemons {
			if other != d {
				w.after(worldTrip, func() { w.feed(other, NewSuspected(effect.ID())) })
			}
		}
	case LogEntry:
		w.notes = append(w.notes, effect.Message()+" "+effect.Replica())
	}
}

func (w *world) store(d *worldDaemon, request object.Request) {
	if !w.storeUp {
		w.feed(d, NewStoreCompleted(object.NewRefused(request.Ref(), "down")))
		return
	}
	version := object.Version("")
	if w.version > 0 {
		version = object.Version(strconv.Itoa(w.version))
	}
	switch r := request.(type) {
	case object.Get:
		if w.version == 0 {
			w.feed(d, NewStoreCompleted(object.NewAbsent(r.Ref())))
			return
		}
		w.feed(d, NewStoreCompleted(object.NewFound(r.Ref(), version, w.value)))
	case object.Put:
		if r.Expect() != version {
			w.feed(d, NewStoreCompleted(object.NewConflict(r.Ref())))
			return
		}
		w.version++
		w.value = r.Data()
		w.feed(d, NewStoreCompleted(object.NewStored(r.Ref(), object.Version(strconv.Itoa(w.version)))))
	}
}

// order brings an order to its engine, unless it is lost on the way or comes late.
func (w *world) order(d *worldDaemon, o Order) {
	if w.lose != nil {
		if lost, after := w.lose(o); lost {
			if after > 0 {
				w.after(after, func() { w.obey(o) })
			}
			w.after(500*time.Millisecond, func() { w.feed(d, NewOrderAnswered(o, ReplyUnanswered)) })
			return
		}
	}
	w.after(worldTrip, func() {
		e := w.engine(o.ID())
		if e == nil || e.down {
			w.after(500*time.Millisecond, func() { w.feed(d, NewOrderAnswered(o, ReplyUnanswered)) })
			return
		}
		w.feed(d, NewOrderAnswered(o, w.obey(o)))
	})
}

// obey carries an order out as engines do.
func (w *world) obey(o Order) Reply {
	e := w.engine(o.ID())
	if e == nil || e.down {
		return ReplyUnanswered
	}
	if o.Token() < e.token {
		return ReplyStale
	}
	e.token = o.Token()
	switch o.Verb() {
	case VerbJoin:
		return w.join(e, o)
	case VerbOpen:
		if !e.member.isOf(o.Replica(), o.Epoch()) || e.member.phase != PhaseReady {
			return ReplyUnfit
		}
		e.opening, e.until = true, w.now.Add(worldForm)
	case VerbCloseCut, VerbCloseWait:
		if !e.member.isOf(o.Replica(), o.Epoch()) || !e.member.serves() {
			return ReplyUnfit // an opening goes on
		}
		e.member.phase = PhaseReady
	case VerbLeave:
		if e.member.isOf(o.Replica(), o.Epoch()) {
			e.member, e.members, e.opening = Membership{}, nil, false
		}
	case VerbStage:
		w.load()
		w.after(modelOf(o.Model()).LoadTime(), func() { e.staged = o.Model() })
	}
	return ReplyBegun
}

// load notes a load from the weight store; before the first call, loads are free.
func (w *world) load() {
	if w.daemons[0].state.serving {
		w.loads = append(w.loads, w.now)
	}
}

func modelOf(name string) route.Model {
	if name == small.Name() {
		return small
	}
	return large
}

func (w *world) join(e *worldEngine, o Order) Reply {
	if o.Epoch() < e.epoch {
		return ReplyStale
	}
	if e.member.isOf(o.Replica(), o.Epoch()) {
		return ReplyDone
	}
	w.checkFree(e, o)
	takes := modelOf(o.Model()).LoadTime()
	switch {
	case e.last == o.Model():
		takes = rejoin
	case e.staged == o.Model():
		takes = modelOf(o.Model()).WarmLoadTime()
	default:
		w.load()
		e.staged = o.Model()
	}
	e.epoch, e.loaded, e.last = o.Epoch(), o.Model(), o.Model()
	e.members = o.Members()
	e.member = NewMembership(o.Replica(), o.Epoch(), slices.Index(o.Members(), e.id), PhaseJoining)
	e.opening, e.until = false, w.now.Add(takes)
	return ReplyBegun
}

// checkFree notes a join of an instance whose present head takes calls.
func (w *world) checkFree(e *worldEngine, o Order) {
	if e.member.phase == PhaseNone {
		return
	}
	for _, head := range w.engines {
		if !head.down && head.member.isOf(e.member.replica, e.member.epoch) && head.member.serves() {
			w.broken = append(w.broken, fmt.Sprintf("%s joins %s while %s serves", e.id, o.Replica(), e.member.replica))
		}
	}
}

func (w *world) look(d *worldDaemon, l Probe) {
	e := w.engine(l.ID())
	if e == nil || e.down {
		w.after(worldLook, func() { w.feed(d, NewProbeFailed(l.ID())) })
		return
	}
	w.after(worldTrip, func() { w.feed(d, NewProbed(w.instance(e).WithMembership(e.past))) })
}

// kill ends an engine without a word; daemons suspect its replica as soon as its streams fall silent.
func (w *world) kill(id ID) {
	e := w.engine(id)
	e.down, e.until = true, w.now
	for _, d := range w.daemons {
		w.after(250*time.Millisecond, func() { w.feed(d, NewSuspected(id)) })
	}
}

// cutOff keeps an engine from writing its entry; requests and orders still reach it.
func (w *world) cutOff(e *worldEngine) { e.cut, e.entry = true, w.instance(e) }

// start starts an engine again; its host keeps what is staged.
func (w *world) start(id ID) {
	e := w.engine(id)
	*e = worldEngine{id: id, domain: e.domain, born: e.born + 1, staged: e.staged, wasOf: map[string]bool{}}
}

// open returns how many replicas of a model take calls, as daemon d sees it.
func (w *world) open(d int, model route.Model) int {
	return len(w.daemons[d].state.Heads(model.Name()))
}
