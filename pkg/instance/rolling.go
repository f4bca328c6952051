package instance

import "time"

// Limits for the detection of a rolling replacement.
const (
	maxDepartures   = 8 // recorded departures
	minRollingSteps = 2 // from one departure to the next, so three departures
	maxExpected     = 8 // instances that are expected to leave next
	maxOverdueSteps = 5 // intervals without a departure, on top of one load time
)

// departure is an instance that began to leave, with its neighbours in the list at that time.
type departure struct {
	id       ID
	at       time.Time
	previous ID
	next     ID
}

// recordDeparture records that the instance at index i of the list has begun to leave.
func (s *State) recordDeparture(now time.Time, i int) {
	d := departure{id: s.listedIDs[i], at: now}
	if i > 0 {
		d.previous = s.listedIDs[i-1]
	}
	if i+1 < len(s.listedIDs) {
		d.next = s.listedIDs[i+1]
	}
	s.departures = append(s.departures, d)
	if len(s.departures) > maxDepartures {
		s.departures = s.departures[1:]
	}
}

// rollingReplacement is a series of instances that leave one after another in the order of the list.
type rollingReplacement struct {
	last      departure
	steps     int
	direction int
	interval  time.Duration
}

// rollingReplacement returns the rolling replacement that the last departures form. Its steps are 0 if they form none.
func (s *State) rollingReplacement() rollingReplacement {
	count := len(s.departures)
	if count < minRollingSteps+1 {
		return rollingReplacement{}
	}
	r := rollingReplacement{last: s.departures[count-1]}
	first := r.last
	for i := count - 1; i > 0; i-- {
		direction := neighbourDirection(s.departures[i-1], s.departures[i])
		if direction == 0 || r.direction != 0 && direction != r.direction {
			break
		}
		r.direction = direction
		r.steps++
		first = s.departures[i-1]
	}
	if r.steps < minRollingSteps {
		return rollingReplacement{}
	}
	r.interval = r.last.at.Sub(first.at) / time.Duration(r.steps)
	return r
}

// neighbourDirection returns 1 if b follows a in the list, -1 if it precedes a, and 0 if they aren't neighbours.
func neighbourDirection(a, b departure) int {
	switch b.id {
	case a.next:
		return 1
	case a.previous:
		return -1
	}
	return 0
}

// expectedDepartures returns the instances that a rolling replacement will take next: as many as leave while one loads.
func (d *draft) expectedDepartures(load time.Duration) []*node {
	r := d.state.rollingReplacement()
	if r.steps == 0 || d.now.Sub(r.last.at) > maxOverdueSteps*r.interval+load {
		return nil
	}
	count := maxExpected
	if r.interval > 0 {
		count = min(count, 1+int(load/r.interval))
	}
	return d.nextInList(r, count)
}

// nextInList returns up to count instances of the pool that follow the last departure and don't leave yet.
func (d *draft) nextInList(r rollingReplacement, count int) []*node {
	var nodes []*node
	listed := d.state.listedIDs
	at := indexOf(listed, r.last.id)
	if at < 0 {
		return nil
	}
	for i := at + r.direction; i >= 0 && i < len(listed) && len(nodes) < count; i += r.direction {
		n := d.state.nodes[listed[i]]
		if d.state.owns(d.pool, n) && !d.departing(n) {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

func indexOf(ids []ID, id ID) int {
	for i, other := range ids {
		if other == id {
			return i
		}
	}
	return -1
}
