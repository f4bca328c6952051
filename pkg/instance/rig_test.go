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
	rigStep  = 100 * time.Millisecond
	rigTick  = 500 * time.Millisecond
	rigProbe = time.Second
)

var rigStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// rig joins daemons, engines, the store and the instance list in one thread, with its own time.
type rig struct {
	now     time.Time
	store   *fakeStore
	engines map[ID]*fakeEngine
	order   []ID
	daemons []*fakeDaemon
	load    time.Duration
	work    time.Duration // how long a request runs, 0 for none
	jobs    []*job
	mail    map[time.Time][]func()
	slots   int
	late    int // orders to come that arrive late
	downAt  time.Time
	newest  FencingToken
	history map[FencingToken]string

	remembered map[FencingToken]*record
	faults     []string // what the checkers found
	trace      []string
	tracing    bool

	unchecked bool          // for measurements: no checkers, and less work
	spanning  time.Duration // replica-time of whole replicas in several domains

	blur        bool // broken variant: hides restarts from the daemons
	deaf        bool // broken variant: hides misses from the daemons
	hideLeaving bool // broken variant: hides who leaves from the daemons
	checkFrozen bool // what a frozen daemon believes is checked too
}

// fakeDaemon carries out the effects of one State; a frozen one keeps its inbox and what it was about to do.
type fakeDaemon struct {
	name     string
	state    *State
	frozen   bool
	fuse     int // steps until it freezes just before one, 0 for never
	calls    int // to the store in the present second
	second   time.Time
	inbox    []Event
	outbox   []Effect
	trusting bool // broken variant: takes a lost answer for a success
	eager    bool // broken variant: sends a lost request again at once
}

// job is one request that runs on all members of a replica.
type job struct {
	replica ReplicaID
	members []ID
	ends    time.Time
	hurt    bool
}

func newRig(settings Settings, daemons int, rows []Instance, checks bool, load time.Duration) *rig {
	r := &rig{
		now: rigStart, store: newFakeStore(), engines: map[ID]*fakeEngine{}, load: load,
		mail: map[time.Time][]func(){}, history: map[FencingToken]string{},
		remembered: map[FencingToken]*record{}, slots: settings.MaxLoads(settings.models[0].pool),
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

func (r *rig) add(f *fakeEngine) {
	r.engines[f.row.id] = f
	r.order = append(r.order, f.row.id)
	sort.Slice(r.order, func(i, j int) bool { return r.order[i] < r.order[j] })
}

func (r *rig) remove(id ID) {
	for i, other := range r.order {
		if other == id {
			r.order = append(r.order[:i:i], r.order[i+1:]...)
		}
	}
	r.engines[id].alive = false
}

// list sends the instance list to all daemons.
func (r *rig) list() {
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

func (r *rig) post(delay time.Duration, deliver func()) {
	at := r.now.Add(delay)
	r.mail[at] = append(r.mail[at], deliver)
}

// feed hands an event to a daemon and carries out what it wants.
func (r *rig) feed(d *fakeDaemon, e Event) {
	if d.frozen {
		if _, isTick := e.(Ticked); !isTick {
			d.inbox = append(d.inbox, e)
		}
		return
	}
	d.outbox = append(d.outbox, d.state.Reduce(r.now, e)...)
	r.flush(d)
}

func (r *rig) flush(d *fakeDaemon) {
	for len(d.outbox) > 0 && !d.frozen {
		e := d.outbox[0]
		if d.fuse > 0 && isStep(e) {
			d.fuse--
			if d.frozen = d.fuse == 0; d.frozen {
				return
			}
		}
		d.outbox = d.outbox[1:]
		r.carryOut(d, e)
	}
}

// orderDelay returns how long the next order takes on its way; a late one comes long after its deadline.
func (r *rig) orderDelay() time.Duration {
	if r.late == 0 {
		return rigStep
	}
	r.late--
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

func (r *rig) thaw(d *fakeDaemon) {
	d.frozen = false
	r.flush(d)
	inbox := d.inbox
	d.inbox = nil
	for _, e := range inbox {
		r.feed(d, e)
	}
}

func (r *rig) carryOut(d *fakeDaemon, e Effect) {
	r.note(d, e)
	switch e := e.(type) {
	case Store:
		r.post(rigStep, func() { r.callStore(d, e.request) })
	case Order:
		if !r.now.After(e.deadline) {
			if !r.unchecked {
				r.checkOrder(e)
			}
			r.post(r.orderDelay(), func() { r.deliver(d, e) })
		}
	case Publish:
		if !r.unchecked {
			r.checkPublished(d, e)
		}
		for _, other := range r.daemons {
			if other != d {
				r.post(2*rigStep, func() { r.feed(other, NewRecordReceived(e.pool, e.revision, e.data)) })
			}
		}
	}
}

func (r *rig) callStore(d *fakeDaemon, request object.Request) {
	result := r.store.call(request)
	if !r.unchecked {
		r.remember(request.Key())
	}
	r.checkStampede(d)
	_, isPut := request.(object.Put)
	if _, lost := result.(object.Lost); lost && isPut && d.trusting {
		result = object.NewStored(request.Ref(), "trusted")
	}
	if _, lost := result.(object.Lost); lost && d.eager {
		r.post(rigStep, func() { r.callStore(d, request) })
		return
	}
	r.post(rigStep, func() { r.feed(d, NewResulted(result)) })
}

// remember keeps every record that the store ever held.
func (r *rig) remember(key object.Key) {
	if key.Kind() != recordKind || r.store.data[key] == nil {
		return
	}
	value := unstamp(r.store.data[key])
	stored, err := decodeRecord(key.Name(), value)
	if err != nil {
		r.fault("record: %v", err)
		return
	}
	r.checkStored(stored, string(value))
}

// unstamp returns the value that a Writer wrote.
func unstamp(data []byte) []byte {
	var stamped struct{ Value json.RawMessage }
	if err := json.Unmarshal(data, &stamped); err != nil {
		panic(err)
	}
	return stamped.Value
}

func unstamped(put object.Put) *record {
	r, err := decodeRecord(put.Key().Name(), unstamp(put.Data()))
	if err != nil {
		return &record{}
	}
	return r
}

func (r *rig) deliver(d *fakeDaemon, o Order) {
	f := r.engines[o.id]
	if !f.answers() {
		r.feed(d, NewOrderAnswered(o.id, o.assignment, Unanswered))
		return
	}
	before := f.assignment
	unstoppable := r.now.After(o.deadline.Add(2*rigStep)) && !f.checks
	if !f.take(o, r.load) {
		r.feed(d, NewOrderAnswered(o.id, o.assignment, Stale))
		return
	}
	if before != f.assignment {
		f.excused = unstoppable
		r.cut(o.id, unstoppable)
	}
	r.feed(d, NewOrderAnswered(o.id, o.assignment, Accepted))
}

// run lets time pass and calls each at every step.
func (r *rig) run(span time.Duration, each func()) {
	for end := r.now.Add(span); r.now.Before(end); {
		r.now = r.now.Add(rigStep)
		due := r.mail[r.now]
		delete(r.mail, r.now)
		for _, deliver := range due {
			deliver()
		}
		if each != nil {
			each()
		}
		for _, id := range r.order {
			r.engines[id].advance(rigStep)
			if !r.unchecked {
				r.engines[id].note(r.now)
			}
		}
		r.beat()
	}
}

// beat probes, ticks and sends work when their time has come.
func (r *rig) beat() {
	passed := r.now.Sub(rigStart)
	if passed%rigProbe == 0 {
		r.probe()
	}
	if passed%rigTick == 0 {
		for _, d := range r.daemons {
			r.feed(d, NewTicked())
		}
		r.endJobs()
	}
	if r.unchecked {
		r.beatUnchecked(passed)
		return
	}
	if passed%rigTick == 0 {
		r.check()
	}
	if passed%rigProbe == 0 && r.work > 0 {
		r.startJobs(r.daemons)
	}
}

// beatUnchecked sends a little work through the last daemon and counts replicas in several domains.
func (r *rig) beatUnchecked(passed time.Duration) {
	if passed%(5*rigProbe) != 0 {
		return
	}
	last := r.daemons[len(r.daemons)-1]
	r.startJobs([]*fakeDaemon{last})
	for _, g := range last.state.pools[0].groups {
		if g.whole && r.spans(g.entry) {
			r.spanning += 5 * rigProbe
		}
	}
}

func (r *rig) spans(e *entry) bool {
	for _, s := range e.slots {
		if r.engines[s.id].row.domain != r.engines[e.slots[0].id].row.domain {
			return true
		}
	}
	return false
}

// probe shows each instance to each daemon.
func (r *rig) probe() {
	for _, d := range r.daemons {
		if d.frozen {
			continue
		}
		for _, id := range r.order {
			if s := r.seen(d, r.engines[id]); s.alive || !r.deaf {
				r.feed(d, NewProbed(s))
			}
		}
	}
}

func (r *rig) seen(d *fakeDaemon, f *fakeEngine) ProbeResult {
	s := f.sighting(d.name, r.now)
	n := d.state.nodes[f.row.id]
	if r.blur && n != nil && n.seen && s.alive {
		s = n.sighting
		s.at = r.now
	}
	return s
}

func (r *rig) note(d *fakeDaemon, e Effect) {
	if !r.tracing {
		return
	}
	line := fmt.Sprintf("%.1fs %s ", r.now.Sub(rigStart).Seconds(), d.name)
	switch e := e.(type) {
	case Store:
		if put, isPut := e.request.(object.Put); isPut && e.request.Key().Kind() == recordKind {
			r.trace = append(r.trace, line+"write "+brief(unstamped(put)))
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
