package caller

import "sort"

// target is the state of one model or service at this daemon. Its slots are those of the whole fleet, of which this
// daemon may use the allocated ones.
type target struct {
	name              string
	kind              Kind
	configuredSlots   int // in the settings; slots may differ after a CapacityChanged
	slots             int
	allocated         int
	running           int
	fleetCalls        int // running and waiting at all daemons, as of the last allocation
	queues            map[string]*organisationQueue
	organisationNames []string
	latency           latencyStats
}

// organisationQueue holds the calls of one organisation for one target. The allotted slots follow from its demand at the
// last allocation. The guaranteed slots follow from its weight, and it may use them at any time.
type organisationQueue struct {
	guaranteedSlots float64
	waiting         []*callState
	running         int
	allottedSlots   float64
}

func newTarget(t Target) *target {
	return &target{
		name: t.name, kind: t.kind, configuredSlots: t.slots, slots: max(t.slots, 0),
		queues: map[string]*organisationQueue{},
	}
}

// configure applies the slots of the settings if they changed. Otherwise those of the last CapacityChanged remain.
func (t *target) configure(next Target) {
	if t.configuredSlots != next.slots {
		t.configuredSlots = next.slots
		t.resize(max(next.slots, 0))
	}
}

// queue returns the queue of organisation and creates it for the first call.
func (t *target) queue(organisation string) *organisationQueue {
	found, isKnown := t.queues[organisation]
	if isKnown {
		return found
	}
	found = &organisationQueue{}
	t.queues[organisation] = found
	t.organisationNames = append(t.organisationNames, organisation)
	sort.Strings(t.organisationNames)
	return found
}

// resize sets the capacity of the fleet. A smaller one takes effect at once, a larger one at the next allocation.
func (t *target) resize(slots int) {
	if slots < t.slots {
		t.allocated = (t.allocated*slots + t.slots - 1) / t.slots
	}
	t.slots = slots
}

// maxRunning returns how many calls may run at once at this daemon. A daemon without allocated slots may run one call
// while the fleet has free capacity, so that the first call after an idle period does not wait for the next allocation.
func (t *target) maxRunning() int {
	if t.allocated == 0 && t.slots > 0 && t.fleetCalls < t.slots {
		return 1
	}
	return t.allocated
}

// nextQueue returns the queue with waiting calls that has the lowest utilisation, nil if no call waits.
func (t *target) nextQueue() *organisationQueue {
	var best *organisationQueue
	for _, organisation := range t.organisationNames {
		q := t.queues[organisation]
		if len(q.waiting) == 0 {
			continue
		}
		if best == nil || q.utilisation() < best.utilisation() {
			best = q
		}
	}
	return best
}

// waitingCalls returns the number of calls that wait at this daemon.
func (t *target) waitingCalls() int {
	sum := 0
	for _, q := range t.queues {
		sum += len(q.waiting)
	}
	return sum
}

// entitledSlots returns how many slots the queue may use, at least 1.
func (q *organisationQueue) entitledSlots() float64 {
	return max(q.allottedSlots, q.guaranteedSlots, 1)
}

// utilisation returns the fraction of its slots that the queue uses.
func (q *organisationQueue) utilisation() float64 { return float64(q.running) / q.entitledSlots() }

// calls returns the number of calls that run or wait.
func (q *organisationQueue) calls() int { return q.running + len(q.waiting) }

// ahead returns how many waiting calls run before a new call of priority.
func (q *organisationQueue) ahead(priority int) int {
	return sort.Search(len(q.waiting), func(i int) bool { return q.waiting[i].call.priority < priority })
}

// insert adds c after all calls of its priority.
func (q *organisationQueue) insert(c *callState) {
	i := q.ahead(c.call.priority)
	q.waiting = append(q.waiting, nil)
	copy(q.waiting[i+1:], q.waiting[i:])
	q.waiting[i] = c
}

// pop removes and returns the first waiting call.
func (q *organisationQueue) pop() *callState {
	first := q.waiting[0]
	q.waiting = q.waiting[1:]
	return first
}

// remove removes the call id from the waiting calls.
func (q *organisationQueue) remove(id ID) {
	for i, c := range q.waiting {
		if c.call.id == id {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return
		}
	}
}
