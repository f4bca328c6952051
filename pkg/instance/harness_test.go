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

// harness runs daemons, engines, the store and the instance list in one goroutine with simulated time.
type harness struct {
	now            time.Time
	store          *fakeStore
	engines        map[ID]*fakeEngine
	engineIDs      []ID
	daemons        []*fakeDaemon
	loadTime       time.Duration
	requestTime    time.Duration // duration of a request, 0 for no requests
	jobs           []*job
	deliveries     map[time.Time][]func()
	maxLoads       int
	lateOrders     int // number of next orders that arrive late
	storeDownAt    time.Time
	newestRevision FencingToken
	storedData     map[FencingToken]string

	storedRecords map[FencingToken]*record
	violations    []string // found by the checkers
	trace         []string
	tracing       bool

	skipChecks      bool          // for measurements: no checkers and fewer requests
	multiDomainTime time.Duration // replica-time of available replicas in several domains

	hideRestarts     bool // faulty variant: hides restarts from the daemons
	hideFailedProbes bool // faulty variant: hides failed probes from the daemons
	hideLeaving      bool // faulty variant: hides the leaving flag from the daemons
	checkFrozen      bool // checks the state of frozen daemons too
}

// fakeDaemon carries out the effects of one State. While frozen it queues events and effects.
type fakeDaemon struct {
	name          string
	state         *State
	frozen        bool
	stepsToFreeze int // number of steps until it freezes just before one, 0 for never
	storeCalls    int // requests to the store in the current second
	secondStart   time.Time
	inbox         []Event
	outbox        []Effect
	assumeStored  bool // faulty variant: treats a lost answer as a success
	retryAtOnce   bool // faulty variant: repeats a lost request at once
}

// job is one request that runs on all members of a replica.
type job struct {
	replica      ReplicaID
	members      []ID
	ends         time.Time
	memberPaused bool
}

func newHarness(settings Settings, daemons int, listings []Instance, checksFencing bool, load time.Duration) *harness {
	h := &harness{
		now: harnessStart, store: newFakeStore(), engines: map[ID]*fakeEngine{}, loadTime: load,
		deliveries: map[time.Time][]func(){}, storedData: map[FencingToken]string{},
		storedRecords: map[FencingToken]*record{}, maxLoads: settings.MaxLoads(settings.models[0].pool),
	}
	for _, listing := range listings {
		h.add(newFakeEngine(listing, checksFencing))
	}
	for i := range daemons {
		d := &fakeDaemon{name: string(rune('a' + i)), state: &State{}}
		h.daemons = append(h.daemons, d)
		s := settings
		s.name, s.seed = d.name, settings.seed+uint64(i)*7
		h.feed(d, NewConfigured(s))
	}
	h.list()
	return h
}

func (h *harness) add(f *fakeEngine) {
	h.engines[f.listing.id] = f
	h.engineIDs = append(h.engineIDs, f.listing.id)
	sort.Slice(h.engineIDs, func(i, j int) bool { return h.engineIDs[i] < h.engineIDs[j] })
}

func (h *harness) remove(id ID) {
	for i, other := range h.engineIDs {
		if other == id {
			h.engineIDs = append(h.engineIDs[:i:i], h.engineIDs[i+1:]...)
		}
	}
	h.engines[id].alive = false
}

// list sends the instance list to all daemons.
func (h *harness) list() {
	for _, d := range h.daemons {
		var listings []Instance
		for _, id := range h.engineIDs {
			listing := h.engines[id].listing
			listing.leaving = listing.leaving && !h.hideLeaving
			listings = append(listings, listing)
		}
		h.feed(d, NewListed(listings))
	}
}

func (h *harness) schedule(delay time.Duration, deliver func()) {
	at := h.now.Add(delay)
	h.deliveries[at] = append(h.deliveries[at], deliver)
}

// feed passes an event to a daemon and carries out the effects.
func (h *harness) feed(d *fakeDaemon, e Event) {
	if d.frozen {
		if _, isTick := e.(Ticked); !isTick {
			d.inbox = append(d.inbox, e)
		}
		return
	}
	d.outbox = append(d.outbox, d.state.Reduce(h.now, e)...)
	h.flush(d)
}

func (h *harness) flush(d *fakeDaemon) {
	for len(d.outbox) > 0 && !d.frozen {
		e := d.outbox[0]
		if d.stepsToFreeze > 0 && isStep(e) {
			d.stepsToFreeze--
			if d.frozen = d.stepsToFreeze == 0; d.frozen {
				return
			}
		}
		d.outbox = d.outbox[1:]
		h.execute(d, e)
	}
}

// orderDelay returns the latency of the next order. A late order arrives long after its deadline.
func (h *harness) orderDelay() time.Duration {
	if h.lateOrders == 0 {
		return harnessStep
	}
	h.lateOrders--
	return 40 * time.Second
}

// isStep reports whether the effect is visible to others: a write of the record or an order.
func isStep(e Effect) bool {
	store, isStore := e.(Store)
	if !isStore {
		_, isOrder := e.(Order)
		return isOrder
	}
	put, isPut := store.request.(object.Put)
	return isPut && put.Key().Kind() == recordKind
}

func (h *harness) unfreeze(d *fakeDaemon) {
	d.frozen = false
	h.flush(d)
	inbox := d.inbox
	d.inbox = nil
	for _, e := range inbox {
		h.feed(d, e)
	}
}

func (h *harness) execute(d *fakeDaemon, e Effect) {
	h.traceEffect(d, e)
	switch e := e.(type) {
	case Store:
		h.schedule(harnessStep, func() { h.callStore(d, e.request) })
	case Order:
		if !h.now.After(e.deadline) {
			if !h.skipChecks {
				h.checkOrder(e)
			}
			h.schedule(h.orderDelay(), func() { h.deliver(d, e) })
		}
	case Publish:
		if !h.skipChecks {
			h.checkPublished(d, e)
		}
		for _, other := range h.daemons {
			if other != d {
				h.schedule(2*harnessStep, func() { h.feed(other, NewRecordReceived(e.pool, e.revision, e.data)) })
			}
		}
	}
}

func (h *harness) callStore(d *fakeDaemon, request object.Request) {
	result := h.store.call(request)
	if !h.skipChecks {
		h.recordStored(request.Key())
	}
	h.checkStoreCallRate(d)
	_, isPut := request.(object.Put)
	if _, lost := result.(object.Lost); lost && isPut && d.assumeStored {
		result = object.NewStored(request.Ref(), "trusted")
	}
	if _, lost := result.(object.Lost); lost && d.retryAtOnce {
		h.schedule(harnessStep, func() { h.callStore(d, request) })
		return
	}
	h.schedule(harnessStep, func() { h.feed(d, NewStoreCompleted(result)) })
}

// recordStored records each record that the store has held.
func (h *harness) recordStored(key object.Key) {
	if key.Kind() != recordKind || h.store.data[key] == nil {
		return
	}
	value := writtenValue(h.store.data[key])
	stored, err := decodeRecord(key.Name(), value)
	if err != nil {
		h.violation("record: %v", err)
		return
	}
	h.checkStored(stored, string(value))
}

// writtenValue returns the value that a Writer wrote.
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

func (h *harness) deliver(d *fakeDaemon, o Order) {
	f := h.engines[o.id]
	if !f.answers() {
		h.feed(d, NewOrderAnswered(o.id, o.assignment, ReplyUnanswered))
		return
	}
	before := f.assignment
	late := h.now.After(o.deadline.Add(2*harnessStep)) && !f.checksFencing
	if !f.handleOrder(o, h.loadTime) {
		h.feed(d, NewOrderAnswered(o.id, o.assignment, ReplyStale))
		return
	}
	if before != f.assignment {
		f.lateOrder = late
		h.interruptJobs(o.id, late)
	}
	h.feed(d, NewOrderAnswered(o.id, o.assignment, ReplyAccepted))
}

// run simulates the passing of duration and calls onStep at each step.
func (h *harness) run(duration time.Duration, onStep func()) {
	for end := h.now.Add(duration); h.now.Before(end); {
		h.now = h.now.Add(harnessStep)
		due := h.deliveries[h.now]
		delete(h.deliveries, h.now)
		for _, deliver := range due {
			deliver()
		}
		if onStep != nil {
			onStep()
		}
		for _, id := range h.engineIDs {
			h.engines[id].advance(harnessStep)
			if !h.skipChecks {
				h.engines[id].recordHistory(h.now)
			}
		}
		h.runPeriodic()
	}
}

// runPeriodic runs the probes, ticks, checks and requests that are due.
func (h *harness) runPeriodic() {
	passed := h.now.Sub(harnessStart)
	if passed%harnessProbeInterval == 0 {
		h.probeAll()
	}
	if passed%harnessTickInterval == 0 {
		for _, d := range h.daemons {
			h.feed(d, NewTicked())
		}
		h.endJobs()
	}
	if h.skipChecks {
		h.runPeriodicUnchecked(passed)
		return
	}
	if passed%harnessTickInterval == 0 {
		h.check()
	}
	if passed%harnessProbeInterval == 0 && h.requestTime > 0 {
		h.startJobs(h.daemons)
	}
}

// runPeriodicUnchecked sends few requests through the last daemon and measures the time of replicas in several domains.
func (h *harness) runPeriodicUnchecked(passed time.Duration) {
	if passed%(5*harnessProbeInterval) != 0 {
		return
	}
	last := h.daemons[len(h.daemons)-1]
	h.startJobs([]*fakeDaemon{last})
	for _, rs := range last.state.pools[0].replicas {
		if rs.available && h.spansDomains(rs.entry) {
			h.multiDomainTime += 5 * harnessProbeInterval
		}
	}
}

func (h *harness) spansDomains(e *entry) bool {
	for _, s := range e.slots {
		if h.engines[s.id].listing.domain != h.engines[e.slots[0].id].listing.domain {
			return true
		}
	}
	return false
}

// probeAll sends a probe result of each instance to each daemon.
func (h *harness) probeAll() {
	for _, d := range h.daemons {
		if d.frozen {
			continue
		}
		for _, id := range h.engineIDs {
			if result := h.probeEngine(d, h.engines[id]); result.alive || !h.hideFailedProbes {
				h.feed(d, NewProbed(result))
			}
		}
	}
}

func (h *harness) probeEngine(d *fakeDaemon, f *fakeEngine) ProbeResult {
	result := f.probe(d.name, h.now)
	n := d.state.nodes[f.listing.id]
	if h.hideRestarts && n != nil && n.probed && result.alive {
		result = n.lastProbe
		result.at = h.now
	}
	return result
}

func (h *harness) traceEffect(d *fakeDaemon, e Effect) {
	if !h.tracing {
		return
	}
	line := fmt.Sprintf("%.1fs %s ", h.now.Sub(harnessStart).Seconds(), d.name)
	switch e := e.(type) {
	case Store:
		if put, isPut := e.request.(object.Put); isPut && e.request.Key().Kind() == recordKind {
			h.trace = append(h.trace, line+"write "+summary(writtenRecord(put)))
		}
	case Order:
		line += fmt.Sprintf("order %s %q %d", e.id, e.assignment.replica, e.assignment.fencingToken)
		if !e.IsRelease() {
			line += fmt.Sprintf(" rank %d of %s", e.rank, strings.Join(e.members, ","))
		}
		h.trace = append(h.trace, line)
	case AvailabilityChanged:
		h.trace = append(h.trace, line+fmt.Sprintf("changed %s available=%t %s", e.replica, e.available, e.reason))
	}
}
