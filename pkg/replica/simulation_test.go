package replica

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/azurepond/azurepond/pkg/object"
	"github.com/azurepond/azurepond/pkg/route"
)

// The times of the simulation.
const (
	simStep          = 25 * time.Millisecond
	simMessageDelay  = 25 * time.Millisecond // one step
	simFormationTime = 300 * time.Millisecond
	simReportLag     = 300 * time.Millisecond // reports lag by some hundred ms
	simStall         = 4 * time.Second
	simUnlistDelay   = 3600 * time.Millisecond // three missed heartbeats
	simClosingTime   = 3 * time.Second         // of the calls that run when a head is ordered to close and wait
)

var simStart = time.Unix(1_700_000_000, 0).UTC()

var (
	large = route.NewModel("large", 4, 0.67, 1).WithLoadTimes(16*time.Second, 1600*time.Millisecond)
	small = route.NewModel("small", 2, 0.33, 0.6).WithLoadTimes(12*time.Second, 1100*time.Millisecond)
)

// simEngine simulates one engine that carries out orders as real engines do.
type simEngine struct {
	id             ID
	centre         string // "athens" if empty
	domain         string
	incarnation    int64
	down           bool
	leaving        bool
	loadedModel    string
	lastModel      string
	stagedModel    string
	membership     Membership
	members        []ID
	until          time.Time // end of the current join, opening or close; start of the downtime if down
	opening        bool
	highestToken   uint64
	epoch          uint64          // of the last join
	entryFrozen    bool            // its entry in the list is not updated
	frozenEntry    Instance        // the entry at that time
	reported       Membership      // what probes show, with a lag
	lastMembership Membership      // at the previous step
	readyIn        map[string]bool // by formationKey
	unreachable    bool            // it runs on, but neither orders nor probes reach it
}

// simEvent is a function scheduled for a time.
type simEvent struct {
	at  time.Time
	run func()
}

// simulation is a fleet of engines, a store and daemons, with time in fixed steps.
type simulation struct {
	now           time.Time
	engines       []*simEngine
	daemons       []*simDaemon
	storedValue   []byte // the record in the store
	storedVersion int
	stored        []simStored // all versions, the latest last
	era           uint64
	noEras        bool // the store reports no era
	storeUp       bool
	scheduled     []simEvent
	violations    []string
	onOrder       func(Order)                                  // observes each order, nil for none
	dropOrder     func(Order) (lost bool, after time.Duration) // lost orders are carried out after a positive delay, else never
	orders        int
	loadStarts    []time.Time
	logEntries    []string
	staleReplies  int
	refusing      bool // engines that are down refuse connections, instead of being silent
	checksEarly   bool // the fencing tokens of late orders are checked when they arrive, and not when they are carried out
	closingTime   time.Duration
	unlisted      []*simEngine // that serve on
	cuts          []string     // of calls at heads whose members all serve
}

type simDaemon struct {
	name   string
	state  State
	down   bool
	listed map[ID]Instance // as last listed to the daemon

	suspended bool
	held      []Event // that arrived while it is suspended
	probes    int
}

func newSimulation(domains, perDomain, daemons int) *simulation {
	sim := &simulation{now: simStart, storeUp: true, era: 1, closingTime: simClosingTime}
	for d := range domains {
		for i := range perDomain {
			sim.engines = append(sim.engines, &simEngine{
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
		sim.daemons = append(sim.daemons, d)
		sim.feed(d, NewConfigured(engine))
	}
	sim.feed(sim.daemons[0], NewLeadershipChanged(true))
	return sim
}

func (sim *simulation) engine(id ID) *simEngine {
	for _, e := range append(slices.Clone(sim.engines), sim.unlisted...) {
		if e.id == id {
			return e
		}
	}
	return nil
}

func (sim *simulation) after(d time.Duration, run func()) {
	sim.scheduled = append(sim.scheduled, simEvent{sim.now.Add(d), run})
}

// run advances the simulation by d.
func (sim *simulation) run(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.now = sim.now.Add(simStep)
		sim.runScheduled()
		for _, e := range sim.engines {
			sim.advance(e)
			sim.delayReport(e)
		}
		for _, daemon := range sim.daemons {
			sim.listInstances(daemon)
			if sim.now.Sub(simStart)%(2*simStep) == 0 {
				sim.feed(daemon, NewTicked())
			}
		}
	}
}

func (sim *simulation) runScheduled() {
	due := sim.scheduled
	sim.scheduled = nil
	for _, e := range due {
		if e.at.After(sim.now) {
			sim.scheduled = append(sim.scheduled, e)
			continue
		}
		e.run()
	}
}

// delayReport shows a change of membership in probes after simReportLag.
func (sim *simulation) delayReport(e *simEngine) {
	if now := e.membership; now != e.lastMembership {
		e.lastMembership = now
		sim.after(simReportLag, func() { e.reported = now })
	}
}

// advance completes joins and openings that are due.
func (sim *simulation) advance(e *simEngine) {
	if e.down || sim.now.Before(e.until) {
		return
	}
	switch {
	case e.membership.phase == PhaseJoining:
		e.membership.phase = PhaseReady
		e.readyIn[formationKey(e)] = true
	case e.opening:
		e.opening = false
		e.membership.phase = PhaseOpen
		sim.checkOpen(e)
	case e.membership.phase == PhaseClosing:
		e.membership.phase = PhaseReady
	}
}

func formationKey(e *simEngine) string {
	return fmt.Sprint(e.membership.replica, e.membership.epoch, e.members)
}

// checkOpen records a violation if a replica opens before all its members were ready in it.
func (sim *simulation) checkOpen(head *simEngine) {
	model := large
	if head.loadedModel == small.Name() {
		model = small
	}
	if len(head.members) != model.ReplicaSize() {
		sim.violations = append(sim.violations,
			fmt.Sprintf("%s opened with %d members", head.membership.replica, len(head.members)))
	}
	for _, id := range head.members {
		if !sim.engine(id).readyIn[formationKey(head)] {
			sim.violations = append(sim.violations, fmt.Sprintf("%s opened before %s was ready", head.membership.replica, id))
		}
	}
}

// listInstances sends changes of the list to a daemon: a change of an entry at once, a removal after simUnlistDelay.
func (sim *simulation) listInstances(d *simDaemon) {
	if d.down || !sim.storeUp {
		return
	}
	var changed []Instance
	var gone []ID
	for _, e := range sim.engines {
		seen := sim.instance(e)
		if e.entryFrozen {
			seen = e.frozenEntry
		}
		old, isKnown := d.listed[e.id]
		if e.down && sim.now.Sub(e.until) >= simUnlistDelay && isKnown {
			delete(d.listed, e.id)
			gone = append(gone, e.id)
		}
		isRelisted := e.entryFrozen && sim.now.Sub(simStart)%(500*time.Millisecond) == 0
		if !e.down && (!isKnown || !sameEntry(old, seen) || isRelisted) {
			d.listed[e.id] = seen
			changed = append(changed, seen)
		}
	}
	if len(changed)+len(gone) > 0 {
		sim.feed(d, NewListChanges(changed, gone))
	}
}

func sameEntry(a, b Instance) bool {
	return a.incarnation == b.incarnation && a.leaving == b.leaving && a.loadedModel == b.loadedModel &&
		a.membership == b.membership && slices.Equal(a.stagedModels, b.stagedModels)
}

func (sim *simulation) instance(e *simEngine) Instance {
	i := NewInstance(e.id, string(e.id), cmp.Or(e.centre, "athens"), e.domain, e.incarnation).
		WithModels(e.loadedModel, e.stagedModel).WithLeaving(e.leaving)
	return i.WithMembership(e.membership)
}

func (sim *simulation) feed(d *simDaemon, e Event) {
	if d.down {
		return
	}
	if d.suspended {
		if _, isTick := e.(Ticked); !isTick {
			d.held = append(d.held, e)
		}
		return
	}
	for _, effect := range d.state.Reduce(sim.now, e) {
		sim.apply(d, effect)
	}
}

func (sim *simulation) apply(d *simDaemon, effect Effect) {
	switch effect := effect.(type) {
	case Store:
		sim.after(simMessageDelay, func() { sim.store(d, effect.Request()) })
	case Order:
		sim.orders++
		if sim.onOrder != nil {
			sim.onOrder(effect)
		}
		sim.order(d, effect)
	case Probe:
		d.probes++
		sim.probe(d, effect)
	case AnnounceDead:
		for _, other := range sim.daemons {
			if other != d {
				sim.after(simMessageDelay, func() { sim.feed(other, NewSuspected(effect.ID())) })
			}
		}
	case LogEntry:
		sim.logEntries = append(sim.logEntries, effect.Message()+" "+effect.Replica())
	}
}

func (sim *simulation) store(d *simDaemon, request object.Request) {
	if !sim.storeUp {
		sim.feed(d, NewStoreCompleted(object.NewRefused(request.Ref(), "down")))
		return
	}
	if !sim.noEras {
		sim.feed(d, NewStoreEra(sim.era))
	}
	version := object.Version("")
	if sim.storedVersion > 0 {
		version = object.Version(strconv.Itoa(sim.storedVersion))
	}
	switch r := request.(type) {
	case object.Get:
		if sim.storedVersion == 0 {
			sim.feed(d, NewStoreCompleted(object.NewAbsent(r.Ref())))
			return
		}
		sim.feed(d, NewStoreCompleted(object.NewFound(r.Ref(), version, sim.storedValue)))
	case object.Put:
		if r.ExpectedVersion() != version {
			sim.feed(d, NewStoreCompleted(object.NewConflict(r.Ref())))
			return
		}
		sim.storedVersion++
		sim.storedValue = r.Data()
		sim.stored = append(sim.stored, simStored{sim.now, sim.storedVersion, sim.storedValue})
		sim.feed(d, NewStoreCompleted(object.NewStored(r.Ref(), object.Version(strconv.Itoa(sim.storedVersion)))))
	}
}

// simStored is one version of the record in the store.
type simStored struct {
	at      time.Time
	version int
	value   []byte
}

// restoreStore restores the store from a snapshot of this age.
func (sim *simulation) restoreStore(age time.Duration) {
	sim.era++
	for len(sim.stored) > 0 && sim.now.Sub(sim.stored[len(sim.stored)-1].at) < age {
		sim.stored = sim.stored[:len(sim.stored)-1]
	}
	sim.storedVersion, sim.storedValue = 0, nil
	if n := len(sim.stored); n > 0 {
		sim.storedVersion, sim.storedValue = sim.stored[n-1].version, sim.stored[n-1].value
	}
}

// order delivers an order to its engine, unless dropOrder drops or delays it.
func (sim *simulation) order(d *simDaemon, o Order) {
	if sim.dropOrder != nil {
		if lost, after := sim.dropOrder(o); lost {
			switch {
			case after > 0 && sim.checksEarly:
				sim.after(simMessageDelay, func() { sim.accept(o, after) })
			case after > 0:
				sim.after(after, func() { sim.execute(o) })
			}
			sim.after(500*time.Millisecond, func() { sim.feed(d, NewOrderAnswered(o, ReplyUnanswered)) })
			return
		}
	}
	sim.after(simMessageDelay, func() {
		e := sim.engine(o.ID())
		if e == nil || e.down || e.unreachable {
			sim.after(500*time.Millisecond, func() { sim.feed(d, NewOrderAnswered(o, ReplyUnanswered)) })
			return
		}
		reply := sim.execute(o)
		if reply == ReplyStale {
			sim.staleReplies++
		}
		sim.feed(d, NewOrderAnswered(o, reply))
	})
}

// accept checks the fencing token of an order that is carried out later by the same start of its engine.
func (sim *simulation) accept(o Order, after time.Duration) {
	e := sim.engine(o.ID())
	if e == nil || e.down || e.unreachable || !e.fence(o) {
		return
	}
	incarnation := e.incarnation
	sim.after(after, func() {
		if !e.down && e.incarnation == incarnation {
			sim.carryOut(e, o)
		}
	})
}

// fence reports whether the token of an order is not lower than that of an earlier one.
func (e *simEngine) fence(o Order) bool {
	if o.FencingToken() < e.highestToken {
		return false
	}
	e.highestToken = o.FencingToken()
	return true
}

// execute checks and carries out an order as engines do.
func (sim *simulation) execute(o Order) Reply {
	e := sim.engine(o.ID())
	if e == nil || e.down {
		return ReplyUnanswered
	}
	if !e.fence(o) {
		return ReplyStale
	}
	return sim.carryOut(e, o)
}

// carryOut carries out an order whose token was checked.
func (sim *simulation) carryOut(e *simEngine, o Order) Reply {
	switch o.Verb() {
	case VerbJoin:
		return sim.join(e, o)
	case VerbOpen:
		if !e.membership.isIn(o.Replica(), o.Epoch()) || e.membership.phase != PhaseReady {
			return ReplyUnfit
		}
		e.opening, e.until = true, sim.now.Add(simFormationTime)
	case VerbCloseCut, VerbCloseWait:
		return sim.closeHead(e, o)
	case VerbLeave:
		if e.membership.isIn(o.Replica(), o.Epoch()) {
			e.membership, e.members, e.opening = Membership{}, nil, false
		}
	case VerbStage:
		sim.noteLoad()
		sim.after(modelOf(o.Model()).LoadTime(), func() { e.stagedModel = o.Model() })
	}
	return ReplyBegun
}

// closeHead aborts the calls of a head, or lets them run for closingTime. A head that finishes its calls answers ReplyBegun again, and one
// that is ready ReplyDone.
func (sim *simulation) closeHead(e *simEngine, o Order) Reply {
	switch {
	case !e.membership.isIn(o.Replica(), o.Epoch()):
		return ReplyUnfit
	case !e.membership.isServing():
		return ReplyDone // an opening in progress continues
	case o.Verb() == VerbCloseCut:
		sim.checkCut(e)
		e.membership.phase = PhaseReady
	case e.membership.phase == PhaseOpen:
		e.membership.phase, e.until = PhaseClosing, sim.now.Add(sim.closingTime)
	}
	return ReplyBegun
}

// checkCut records the calls that a head aborts although all members of its replica serve it.
func (sim *simulation) checkCut(head *simEngine) {
	isServed := !slices.ContainsFunc(head.members, func(id ID) bool {
		e := sim.engine(id)
		return e.down || !e.membership.isIn(head.membership.replica, head.membership.epoch)
	})
	hasCalls := head.membership.phase == PhaseOpen && sim.closingTime > 0 || head.membership.phase == PhaseClosing && sim.now.Before(head.until)
	if isServed && hasCalls {
		sim.cuts = append(sim.cuts, fmt.Sprintf("%s@%d", head.membership.replica, head.membership.epoch))
	}
}

// noteLoad records a load from the weight store. Loads before the first call are not limited.
func (sim *simulation) noteLoad() {
	if sim.daemons[0].state.callsSeen {
		sim.loadStarts = append(sim.loadStarts, sim.now)
	}
}

func modelOf(name string) route.Model {
	if name == small.Name() {
		return small
	}
	return large
}

func (sim *simulation) join(e *simEngine, o Order) Reply {
	if o.Epoch() < e.epoch {
		return ReplyStale
	}
	if e.membership.isIn(o.Replica(), o.Epoch()) {
		return ReplyDone
	}
	sim.checkJoin(e, o)
	duration := modelOf(o.Model()).LoadTime()
	switch {
	case e.lastModel == o.Model():
		duration = rejoinTime
	case e.stagedModel == o.Model():
		duration = modelOf(o.Model()).WarmLoadTime()
	default:
		sim.noteLoad()
		e.stagedModel = o.Model()
	}
	e.epoch, e.loadedModel, e.lastModel = o.Epoch(), o.Model(), o.Model()
	e.members = o.Members()
	e.membership = NewMembership(o.Replica(), o.Epoch(), slices.Index(o.Members(), e.id), PhaseJoining)
	e.opening, e.until = false, sim.now.Add(duration)
	return ReplyBegun
}

// checkJoin records a violation if an instance joins while the head of its current replica accepts calls.
func (sim *simulation) checkJoin(e *simEngine, o Order) {
	if e.membership.phase == PhaseNone {
		return
	}
	for _, head := range sim.engines {
		if !head.down && head.membership.isIn(e.membership.replica, e.membership.epoch) && head.membership.isServing() {
			sim.violations = append(sim.violations,
				fmt.Sprintf("%s joins %s while %s serves", e.id, o.Replica(), e.membership.replica))
		}
	}
}

func (sim *simulation) probe(d *simDaemon, p Probe) {
	e := sim.engine(p.ID())
	if e == nil || e.down && sim.refusing {
		sim.after(simMessageDelay, func() { sim.feed(d, NewProbeFailed(p.ID())) })
		return
	}
	if e.down || e.unreachable {
		sim.after(p.Timeout(), func() { sim.feed(d, NewProbeExpired(p.ID())) })
		return
	}
	sim.after(simMessageDelay, func() { sim.feed(d, NewProbed(sim.instance(e).WithMembership(e.reported))) })
}

// kill stops an engine without notice. Daemons suspect it once its streams stop.
func (sim *simulation) kill(id ID) {
	e := sim.engine(id)
	e.down, e.until = true, sim.now
	for _, d := range sim.daemons {
		sim.after(250*time.Millisecond, func() { sim.feed(d, NewSuspected(id)) })
	}
}

// freezeEntry stops updates of an engine's entry in the list. Requests and orders still reach the engine.
func (sim *simulation) freezeEntry(e *simEngine) {
	e.entryFrozen, e.frozenEntry = true, sim.instance(e)
}

// start restarts an engine. Its host keeps the staged model.
func (sim *simulation) start(id ID) {
	e := sim.engine(id)
	*e = simEngine{
		id: id, centre: e.centre, domain: e.domain, incarnation: e.incarnation + 1,
		stagedModel: e.stagedModel, readyIn: e.readyIn, // a member that was ready and is lost does not count against an opening
	}
}

// open returns how many replicas of a model accept calls, as seen by daemon d.
func (sim *simulation) open(d int, model route.Model) int {
	return len(sim.daemons[d].state.Heads(model.Name()))
}

// openByEngines returns how many heads accept calls.
func (sim *simulation) openByEngines() int {
	count := 0
	for _, e := range sim.engines {
		if !e.down && e.membership.phase == PhaseOpen && e.membership.rank == 0 {
			count++
		}
	}
	return count
}
