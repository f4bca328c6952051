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
	simStep          = 25 * time.Millisecond
	simMessageDelay  = 25 * time.Millisecond // each message takes one step
	simProbeTimeout  = 120 * time.Millisecond
	simFormationTime = 300 * time.Millisecond
	simReportLag     = 300 * time.Millisecond // reports are as of some hundred ms ago
	simStall         = 4 * time.Second
	simUnlistDelay   = 3600 * time.Millisecond // three heartbeats of a silent instance
)

var simStart = time.Unix(1_700_000_000, 0).UTC()

// large and small are the models of the world.
var (
	large = route.NewModel("large", 4, 0.67, 1).WithLoadTimes(16*time.Second, 1600*time.Millisecond)
	small = route.NewModel("small", 2, 0.33, 0.6).WithLoadTimes(12*time.Second, 1100*time.Millisecond)
)

// worldEngine is one engine that keeps the rules of its orders.
type simEngine struct {
	id          ID
	domain      string
	incarnation int64
	down        bool
	leaving     bool
	loadedModel string
	lastModel   string
	stagedModel string
	member      Membership
	members     []ID
	until       time.Time // when the present join, or the opening, is done
	opening     bool
	token       uint64
	epoch       uint64
	entryFrozen bool       // its entry stays as it is
	frozenEntry Instance   // what it wrote before it was cut
	reported    Membership // what looks show, which lag
	lastMember  Membership
	readyIn     map[string]bool // replicas, with epoch and members, in which it was ready
}

// worldEvent is something that happens later.
type simEvent struct {
	at  time.Time
	run func()
}

// world is a fabric, a store and daemons, in which time moves by steps.
type simulation struct {
	now        time.Time
	engines    []*simEngine
	daemons    []*simDaemon
	value      []byte
	version    int
	storeUp    bool
	scheduled  []simEvent
	violations []string // rules that were broken
	dropOrder  func(Order) (lost bool, after time.Duration)
	orders     int
	loadStarts []time.Time
	logEntries []string
}

type simDaemon struct {
	name   string
	state  State
	down   bool
	listed map[ID]Instance // as it was listed last
	probes int
}

func newSimulation(domains, each, daemons int) *simulation {
	w := &simulation{now: simStart, storeUp: true}
	for d := range domains {
		for i := range each {
			w.engines = append(w.engines, &simEngine{
				id: ID(fmt.Sprintf("i%d%d", d, i)), domain: "d" + strconv.Itoa(d), incarnation: 1, readyIn: map[string]bool{},
			})
		}
	}
	engine := route.NewEngine(26, large, small).
		WithStepTimes(6*time.Millisecond, 241*time.Microsecond, 5, 46000, 2048).
		WithLoadLimits(4, 6, 1, simFormationTime)
	for i := range daemons {
		name := string(rune('a' + i))
		d := &simDaemon{name: name, listed: map[ID]Instance{}}
		d.state = New(NewSettings(object.NewKey("replicas", "main"), name+"/1", uint64(i+1)).WithBootstrap(true))
		w.daemons = append(w.daemons, d)
		w.feed(d, NewConfigured(engine))
	}
	w.feed(w.daemons[0], NewLeadershipChanged(true))
	return w
}

func (w *simulation) engine(id ID) *simEngine {
	for _, e := range w.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

func (w *simulation) after(d time.Duration, do func()) {
	w.scheduled = append(w.scheduled, simEvent{w.now.Add(d), do})
}

// run lets time pass.
func (w *simulation) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(simStep)
		w.runScheduled()
		for _, e := range w.engines {
			w.advance(e)
			w.delayReport(e)
		}
		for _, daemon := range w.daemons {
			w.listInstances(daemon)
			if w.now.Sub(simStart)%(2*simStep) == 0 {
				w.feed(daemon, NewTicked())
			}
		}
	}
}

func (w *simulation) runScheduled() {
	due := w.scheduled
	w.scheduled = nil
	for _, e := range due {
		if e.at.After(w.now) {
			w.scheduled = append(w.scheduled, e)
			continue
		}
		e.run()
	}
}

// lag lets looks show the place of an engine a while later.
func (w *simulation) delayReport(e *simEngine) {
	if now := e.member; now != e.lastMember {
		e.lastMember = now
		w.after(simReportLag, func() { e.reported = now })
	}
}

// proceed completes joins and openings.
func (w *simulation) advance(e *simEngine) {
	if e.down || w.now.Before(e.until) {
		return
	}
	switch {
	case e.member.phase == PhaseJoining:
		e.member.phase = PhaseReady
		e.readyIn[formationKey(e)] = true
	case e.opening:
		e.opening = false
		e.member.phase = PhaseOpen
		w.checkOpen(e)
	}
}

func formationKey(e *simEngine) string {
	return fmt.Sprint(e.member.replica, e.member.epoch, e.members)
}

// checkWhole notes a replica that opens without all its members having been ready in it.
func (w *simulation) checkOpen(head *simEngine) {
	model := large
	if head.loadedModel == small.Name() {
		model = small
	}
	if len(head.members) != model.ReplicaSize() {
		w.violations = append(w.violations, fmt.Sprintf("%s opened with %d members", head.member.replica, len(head.members)))
	}
	for _, id := range head.members {
		if !w.engine(id).readyIn[formationKey(head)] {
			w.violations = append(w.violations, fmt.Sprintf("%s opened before %s was ready", head.member.replica, id))
		}
	}
}

// tell lists the instances to a daemon: each change at once, silence after three heartbeats.
func (w *simulation) listInstances(d *simDaemon) {
	if d.down || !w.storeUp {
		return
	}
	var changed []Instance
	var gone []ID
	for _, e := range w.engines {
		seen := w.instance(e)
		if e.entryFrozen {
			seen = e.frozenEntry
		}
		old, isKnown := d.listed[e.id]
		if e.down && w.now.Sub(e.until) >= simUnlistDelay && isKnown {
			delete(d.listed, e.id)
			gone = append(gone, e.id)
		}
		isRelisted := e.entryFrozen && w.now.Sub(simStart)%(500*time.Millisecond) == 0
		if !e.down && (!isKnown || !same(old, seen) || isRelisted) {
			d.listed[e.id] = seen
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

func (w *simulation) instance(e *simEngine) Instance {
	i := NewInstance(e.id, string(e.id), "athens", e.domain, e.incarnation).WithModels(e.loadedModel, e.stagedModel).WithLeaving(e.leaving)
	return i.WithMembership(e.member)
}

func (w *simulation) feed(d *simDaemon, e Event) {
	if d.down {
		return
	}
	for _, effect := range d.state.Reduce(w.now, e) {
		w.apply(d, effect)
	}
}

func (w *simulation) apply(d *simDaemon, effect Effect) {
	switch effect := effect.(type) {
	case Store:
		w.after(simMessageDelay, func() { w.store(d, effect.Request()) })
	case Order:
		w.orders++
		w.order(d, effect)
	case Probe:
		d.probes++
		w.probe(d, effect)
	case AnnounceDead:
		for _, other := range w.daemons {
			if other != d {
				w.after(simMessageDelay, func() { w.feed(other, NewSuspected(effect.ID())) })
			}
		}
	case LogEntry:
		w.logEntries = append(w.logEntries, effect.Message()+" "+effect.Replica())
	}
}

func (w *simulation) store(d *simDaemon, request object.Request) {
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
func (w *simulation) order(d *simDaemon, o Order) {
	if w.dropOrder != nil {
		if lost, after := w.dropOrder(o); lost {
			if after > 0 {
				w.after(after, func() { w.execute(o) })
			}
			w.after(500*time.Millisecond, func() { w.feed(d, NewOrderAnswered(o, ReplyUnanswered)) })
			return
		}
	}
	w.after(simMessageDelay, func() {
		e := w.engine(o.ID())
		if e == nil || e.down {
			w.after(500*time.Millisecond, func() { w.feed(d, NewOrderAnswered(o, ReplyUnanswered)) })
			return
		}
		w.feed(d, NewOrderAnswered(o, w.execute(o)))
	})
}

// obey carries an order out as engines do.
func (w *simulation) execute(o Order) Reply {
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
		if !e.member.isIn(o.Replica(), o.Epoch()) || e.member.phase != PhaseReady {
			return ReplyUnfit
		}
		e.opening, e.until = true, w.now.Add(simFormationTime)
	case VerbCloseCut, VerbCloseWait:
		if !e.member.isIn(o.Replica(), o.Epoch()) || !e.member.isServing() {
			return ReplyUnfit // an opening goes on
		}
		e.member.phase = PhaseReady
	case VerbLeave:
		if e.member.isIn(o.Replica(), o.Epoch()) {
			e.member, e.members, e.opening = Membership{}, nil, false
		}
	case VerbStage:
		w.noteLoad()
		w.after(modelOf(o.Model()).LoadTime(), func() { e.stagedModel = o.Model() })
	}
	return ReplyBegun
}

// load notes a load from the weight store; before the first call, loads are free.
func (w *simulation) noteLoad() {
	if w.daemons[0].state.callsSeen {
		w.loadStarts = append(w.loadStarts, w.now)
	}
}

func modelOf(name string) route.Model {
	if name == small.Name() {
		return small
	}
	return large
}

func (w *simulation) join(e *simEngine, o Order) Reply {
	if o.Epoch() < e.epoch {
		return ReplyStale
	}
	if e.member.isIn(o.Replica(), o.Epoch()) {
		return ReplyDone
	}
	w.checkJoin(e, o)
	takes := modelOf(o.Model()).LoadTime()
	switch {
	case e.lastModel == o.Model():
		takes = rejoinTime
	case e.stagedModel == o.Model():
		takes = modelOf(o.Model()).WarmLoadTime()
	default:
		w.noteLoad()
		e.stagedModel = o.Model()
	}
	e.epoch, e.loadedModel, e.lastModel = o.Epoch(), o.Model(), o.Model()
	e.members = o.Members()
	e.member = NewMembership(o.Replica(), o.Epoch(), slices.Index(o.Members(), e.id), PhaseJoining)
	e.opening, e.until = false, w.now.Add(takes)
	return ReplyBegun
}

// checkFree notes a join of an instance whose present head takes calls.
func (w *simulation) checkJoin(e *simEngine, o Order) {
	if e.member.phase == PhaseNone {
		return
	}
	for _, head := range w.engines {
		if !head.down && head.member.isIn(e.member.replica, e.member.epoch) && head.member.isServing() {
			w.violations = append(w.violations, fmt.Sprintf("%s joins %s while %s serves", e.id, o.Replica(), e.member.replica))
		}
	}
}

func (w *simulation) probe(d *simDaemon, l Probe) {
	e := w.engine(l.ID())
	if e == nil || e.down {
		w.after(simProbeTimeout, func() { w.feed(d, NewProbeFailed(l.ID())) })
		return
	}
	w.after(simMessageDelay, func() { w.feed(d, NewProbed(w.instance(e).WithMembership(e.reported))) })
}

// kill ends an engine without a word; daemons suspect its replica as soon as its streams fall silent.
func (w *simulation) kill(id ID) {
	e := w.engine(id)
	e.down, e.until = true, w.now
	for _, d := range w.daemons {
		w.after(250*time.Millisecond, func() { w.feed(d, NewSuspected(id)) })
	}
}

// cutOff keeps an engine from writing its entry; requests and orders still reach it.
func (w *simulation) freezeEntry(e *simEngine) { e.entryFrozen, e.frozenEntry = true, w.instance(e) }

// start starts an engine again; its host keeps what is staged.
func (w *simulation) start(id ID) {
	e := w.engine(id)
	*e = simEngine{id: id, domain: e.domain, incarnation: e.incarnation + 1, stagedModel: e.stagedModel, readyIn: map[string]bool{}}
}

// open returns how many replicas of a model take calls, as daemon d sees it.
func (w *simulation) open(d int, model route.Model) int {
	return len(w.daemons[d].state.Heads(model.Name()))
}
