package instance

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/azurepond/azurepond/pkg/object"
)

const (
	harnessStep          = 100 * time.Millisecond
	harnessTickInterval  = 500 * time.Millisecond
	harnessProbeInterval = time.Second
)

var harnessStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// rig joins daemons, engines, the store and the instance list in one thread, with its own time.
type harness struct {
	now            time.Time
	store          *fakeStore
	engines        map[ID]*fakeEngine
	order          []ID
	daemons        []*fakeDaemon
	loadTime       time.Duration
	workTime       time.Duration // how long a request runs, 0 for none
	jobs           []*job
	deliveries     map[time.Time][]func()
	maxLoads       int
	lateOrders     int // orders to come that arrive late
	downAt         time.Time
	newestRevision FencingToken
	history        map[FencingToken]string

	storedRecords map[FencingToken]*record
	violations    []string // what the checkers found
	trace         []string
	tracing       bool

	skipChecks      bool          // for measurements: no checkers, and less work
	multiDomainTime time.Duration // replica-time of whole replicas in several domains

	hideRestarts     bool // broken variant: hides restarts from the daemons
	hideFailedProbes bool // broken variant: hides misses from the daemons
	hideLeaving      bool // broken variant: hides who leaves from the daemons
	checkFrozen      bool // what a frozen daemon believes is checked too
}

// fakeDaemon carries out the effects of one State; a frozen one keeps its inbox and what it was about to do.
type fakeDaemon struct {
	name          string
	state         *State
	frozen        bool
	stepsToFreeze int // steps until it freezes just before one, 0 for never
	storeCalls    int // to the store in the present second
	secondStart   time.Time
	inbox         []Event
	outbox        []Effect
	assumeStored  bool // broken variant: takes a lost answer for a success
	retryAtOnce   bool // broken variant: sends a lost request again at once
}

// job is one request that runs on all members of a replica.
type job struct {
	replica      ReplicaID
	members      []ID
	ends         time.Time
	memberPaused bool
}

func newHarness(settings Settings, daemons int, rows []Instance, checks bool, load time.Duration) *harness {
	r := &harness{
		now: harnessStart, store: newFakeStore(), engines: map[ID]*fakeEngine{}, loadTime: load,
		deliveries: map[time.Time][]func(){}, history: map[FencingToken]string{},
		storedRecords: map[FencingToken]*record{}, maxLoads: settings.MaxLoads(settings.models[0].pool),
	}
	for _, row := range rows {
		r.add(newFakeEngine(row, checks))
	}
	for i := range daemons {
		d := &fakeDaemon{name: string(rune('a' + i)), state: &State{}}
		r.daemons = append(r.daemons, d)
		s := settings
		s.name, s.seed = d.name, settings.seed+uint64(i)*7
		r.feed(d, NewConfigured(s))
	}
	r.list()
	return r
}

func (r *harness) add(f *fakeEngine) {
	r.engines[f.row.id] = f
	r.order = append(r.order, f.row.id)
	sort.Slice(r.order, func(i, j int) bool { return r.order[i] < r.order[j] })
}

func (r *harness) remove(id ID) {
	for i, other := range r.order {
		if other == id {
			r.order = append(r.order[:i:i], r.order[i+1:]...)
		}
	}
	r.engines[id].alive = false
}

// list sends the instance list to all daemons.
func (r *harness) list() {
	for _, d := range r.daemons {
		var rows []Instance
		for _, id := range r.order {
			row := r.engines[id].row
			row.leaving = row.leaving && !r.hideLeaving
			rows = append(rows, row)
		}
		r.feed(d, NewListed(rows))
	}
}

func (r *harness) schedule(delay time.Duration, deliver func()) {
	at := r.now.Add(delay)
	r.deliveries[at] = append(r.deliveries[at], deliver)
}

// feed hands an event to a daemon and carries out what it wants.
func (r *harness) feed(d *fakeDaemon, e Event) {
	if d.frozen {
		if _, isTick := e.(Ticked); !isTick {
			d.inbox = append(d.inbox, e)
		}
		return
	}
	d.outbox = append(d.outbox, d.state.Reduce(r.now, e)...)
	r.flush(d)
}

func (r *harness) flush(d *fakeDaemon) {
	for len(d.outbox) > 0 && !d.frozen {
		e := d.outbox[0]
		if d.stepsToFreeze > 0 && isStep(e) {
			d.stepsToFreeze--
			if d.frozen = d.stepsToFreeze == 0; d.frozen {
				return
			}
		}
		d.outbox = d.outbox[1:]
		r.execute(d, e)
	}
}

// orderDelay returns how long the next order takes on its way; a late one comes long after its deadline.
func (r *harness) orderDelay() time.Duration {
	if r.lateOrders == 0 {
		return harnessStep
	}
	r.lateOrders--
	return 40 * time.Second
}

// isStep reports whether the effect changes what others see: a write of the record or an order.
func isStep(e Effect) bool {
	store, isStore := e.(Store)
	if !isStore {
		_, isOrder := e.(Order)
		return isOrder
	}
	put, isPut := store.request.(object.Put)
	return isPut && put.Key().Kind() == recordKind
}

func (r *harness) resume(d *fakeDaemon) {
	d.frozen = false
	r.flush(d)
	inbox := d.inbox
	d.inbox = nil
	for _, e := range inbox {
		r.feed(d, e)
	}
}

func (r *harness) execute(d *fakeDaemon, e Effect) {
	r.traceEffect(d, e)
	switch e := e.(type) {
	case Store:
		r.schedule(harnessStep, func() { r.callStore(d, e.request) })
	case Order:
		if !r.now.After(e.deadline) {
			if !r.skipChecks {
				r.checkOrder(e)
			}
			r.schedule(r.orderDelay(), func() { r.deliver(d, e) })
		}
	case Publish:
		if !r.skipChecks {
			r.checkPublished(d, e)
		}
		for _, other := range r.daemons {
			if other != d {
				r.schedule(2*harnessStep, func() { r.feed(other, NewRecordReceived(e.pool, e.revision, e.data)) })
			}
		}
	}
}

func (r *harness) callStore(d *fakeDaemon, request object.Request) {
	result := r.store.call(request)
	if !r.skipChecks {
		r.recordStored(request.Key())
	}
	r.checkStoreCallRate(d)
	_, isPut := request.(object.Put)
	if _, lost := result.(object.Lost); lost && isPut && d.assumeStored {
		result = object.NewStored(request.Ref(), "trusted")
	}
	if _, lost := result.(object.Lost); lost && d.retryAtOnce {
		r.schedule(harnessStep, func() { r.callStore(d, request) })
		return
	}
	r.schedule(harnessStep, func() { r.feed(d, NewResulted(result)) })
}

// remember keeps every record that the store ever held.
func (r *harness) recordStored(key object.Key) {
	if key.Kind() != recordKind || r.store.data[key] == nil {
		return
	}
	value := writtenValue(r.store.data[key])
	stored, err := decodeRecord(key.Name(), value)
	if err != nil {
		r.violation("record: %v", err)
		return
	}
	r.checkStored(stored, string(value))
}

// unstamp returns the value that a Writer wrote.
func writtenValue(data []byte) []byte {
	var stamped struct{ Value json.RawMessage }
	if err := json.Unmarshal(data, &stamped); err != nil {
		panic(err)
	}
	return stamped.Value
}

func writtenRecord(put object.Put) *record {
	r, err := decodeRecord(put.Key().Name(), writtenValue(put.Data()))
	if err != nil {
		return &record{}
	}
	return r
}

func (r *harness) deliver(d *fakeDaemon, o Order) {
	f := r.engines[o.id]
	if !f.answers() {
		r.feed(d, NewOrderAnswered(o.id, o.assignment, Unanswered))
		return
	}
	before := f.assignment
	unstoppable := r.now.After(o.deadline.Add(2*harnessStep)) && !f.checksFencing
	if !f.handleOrder(o, r.loadTime) {
		r.feed(d, NewOrderAnswered(o.id, o.assignment, Stale))
		return
	}
	if before != f.assignment {
		f.lateOrder = unstoppable
		r.interruptJobs(o.id, unstoppable)
	}
	r.feed(d, NewOrderAnswered(o.id, o.assignment, Accepted))
}

// run lets time pass and calls each at every step.
func (r *harness) run(span time.Duration, each func()) {
	for end := r.now.Add(span); r.now.Before(end); {
		r.now = r.now.Add(harnessStep)
		due := r.deliveries[r.now]
		delete(r.deliveries, r.now)
		for _, deliver := range due {
			deliver()
		}
		if each != nil {
			each()
		}
		for _, id := range r.order {
			r.engines[id].advance(harnessStep)
			if !r.skipChecks {
				r.engines[id].recordHistory(r.now)
			}
		}
		r.runPeriodic()
	}
}

// beat probes, ticks and sends work when their time has come.
func (r *harness) runPeriodic() {
	passed := r.now.Sub(harnessStart)
	if passed%harnessProbeInterval == 0 {
		r.probeAll()
	}
	if passed%harnessTickInterval == 0 {
		for _, d := range r.daemons {
			r.feed(d, NewTicked())
		}
		r.endJobs()
	}
	if r.skipChecks {
		r.runPeriodicUnchecked(passed)
		return
	}
	if passed%harnessTickInterval == 0 {
		r.check()
	}
	if passed%harnessProbeInterval == 0 && r.workTime > 0 {
		r.startJobs(r.daemons)
	}
}

// beatUnchecked sends a little work through the last daemon and counts replicas in several domains.
func (r *harness) runPeriodicUnchecked(passed time.Duration) {
	if passed%(5*harnessProbeInterval) != 0 {
		return
	}
	last := r.daemons[len(r.daemons)-1]
	r.startJobs([]*fakeDaemon{last})
	for _, rs := range last.state.pools[0].replicas {
		if rs.available && r.spansDomains(rs.entry) {
			r.multiDomainTime += 5 * harnessProbeInterval
		}
	}
}

func (r *harness) spansDomains(e *entry) bool {
	for _, s := range e.slots {
		if r.engines[s.id].row.domain != r.engines[e.slots[0].id].row.domain {
			return true
		}
	}
	return false
}

// probe shows each instance to each daemon.
func (r *harness) probeAll() {
	for _, d := range r.daemons {
		if d.frozen {
			continue
		}
		for _, id := range r.order {
			if s := r.probeEngine(d, r.engines[id]); s.alive || !r.hideFailedProbes {
				r.feed(d, NewProbed(s))
			}
		}
	}
}

func (r *harness) probeEngine(d *fakeDaemon, f *fakeEngine) ProbeResult {
	s := f.probe(d.name, r.now)
	n := d.state.nodes[f.row.id]
	if r.hideRestarts && n != nil && n.probed && s.alive {
		s = n.lastProbe
		s.at = r.now
	}
	return s
}

func (r *harness) traceEffect(d *fakeDaemon, e Effect) {
	if !r.tracing {
		return
	}
	line := fmt.Sprintf("%.1fs %s ", r.now.Sub(harnessStart).Seconds(), d.name)
	switch e := e.(type) {
	case Store:
		if put, isPut := e.request.(object.Put); isPut && e.request.Key().Kind() == recordKind {
			r.trace = append(r.trace, line+"write "+summary(writtenRecord(put)))
		}
	case Order:
		line += fmt.Sprintf("order %s %q %d", e.id, e.assignment.replica, e.assignment.fencingToken)
		if !e.IsRelease() {
			line += fmt.Sprintf(" rank %d of %s", e.rank, strings.Join(e.members, ","))
		}
		r.trace = append(r.trace, line)
	case AvailabilityChanged:
		r.trace = append(r.trace, line+fmt.Sprintf("changed %s whole=%t %s", e.replica, e.available, e.reason))
	}
}
