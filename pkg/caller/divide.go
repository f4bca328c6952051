package caller

import "sort"

// division is one target's capacity with what all daemons hold and want of it.
type division struct {
	slots  int
	claims []claim
	quotas []quota
	wanted int
	weight int
}

// claim is what one daemon holds and wants, the latter by the place of the organisation among the quotas.
type claim struct {
	daemon string
	held   int
	calls  int
	wants  []int
}

// quota is what one organisation wants at all daemons, and the part of the slots that it gets.
type quota struct {
	name   string
	weight int
	wanted int
	part   float64
}

// division gathers what all daemons said about t. One that was not heard of yet counts as holding an equal part.
func (s *State) division(t *target) *division {
	d := &division{slots: t.slots, claims: make([]claim, 0, len(s.names)+1)}
	for _, organisation := range s.members {
		if organisation.mayUse(t.name) {
			d.quotas = append(d.quotas, quota{name: organisation.name, weight: organisation.share()})
			d.weight += organisation.share()
		}
	}
	places := d.places()
	wants := make([]int, (len(s.names)+1)*len(d.quotas))
	for i, name := range s.names {
		row := wants[i*len(d.quotas) : (i+1)*len(d.quotas)]
		news, isHeard := s.shared[name]
		held := news.about(t.name, places, row)
		if !isHeard {
			held = t.slots / (len(s.names) + 1)
		}
		d.add(claim{daemon: name, held: held, wants: row})
	}
	d.add(s.claim(t, d.quotas, wants[len(s.names)*len(d.quotas):]))
	sort.Slice(d.claims, func(i, j int) bool { return d.claims[i].daemon < d.claims[j].daemon })
	d.fill()
	return d
}

// claim returns what this daemon holds and wants of t.
func (s *State) claim(t *target, quotas []quota, row []int) claim {
	for i, q := range quotas {
		if l, isKnown := t.lines[q.name]; isKnown {
			row[i] = quantise(l.wanted())
		}
	}
	return claim{daemon: s.settings.name, held: max(t.held, t.running), wants: row}
}

// places returns the places of the organisations among the quotas.
func (d *division) places() map[string]int {
	places := make(map[string]int, len(d.quotas))
	for i, q := range d.quotas {
		places[q.name] = i
	}
	return places
}

// about returns what the daemon holds of target, and puts what it wants into row.
func (e UsageReported) about(target string, places map[string]int, row []int) int {
	for _, usage := range e.usages {
		if place, isKnown := places[usage.organisation]; isKnown && usage.target == target {
			row[place] += usage.calls
		}
	}
	held := 0
	for _, hold := range e.allocations {
		if hold.target == target {
			held += hold.slots
		}
	}
	return held
}

// wanted returns how many calls run or wait at the daemon.
func (e UsageReported) wanted() int {
	sum := 0
	for _, usage := range e.usages {
		sum += usage.calls
	}
	return sum
}

func (d *division) add(c claim) {
	for i, wanted := range c.wants {
		c.calls += wanted
		d.quotas[i].wanted += wanted
	}
	d.wanted += c.calls
	d.claims = append(d.claims, c)
}

// fill gives each organisation its part of the slots: what it wants, but at most its share of what is left by those
// that want less than theirs.
func (d *division) fill() {
	hungry := make([]*quota, 0, len(d.quotas))
	weight := 0
	for i := range d.quotas {
		if d.quotas[i].wanted > 0 {
			hungry = append(hungry, &d.quotas[i])
			weight += d.quotas[i].weight
		}
	}
	sort.SliceStable(hungry, func(i, j int) bool {
		return hungry[i].wanted*hungry[j].weight < hungry[j].wanted*hungry[i].weight
	})
	left := float64(d.slots)
	for _, q := range hungry {
		q.part = min(float64(q.wanted), left*float64(q.weight)/float64(weight))
		left -= q.part
		weight -= q.weight
	}
}

// part returns how many slots of a daemon are meant for the organisation at place.
func (d *division) part(c claim, place int) float64 {
	q := d.quotas[place]
	if q.wanted == 0 {
		return 0
	}
	return q.part * float64(c.wants[place]) / float64(q.wanted)
}

// phase returns the phase of the rounding at a turn; while nobody wants a slot, the odd ones stay where they are.
func (d *division) phase(turn float64) float64 {
	if d.wanted == 0 {
		return 0
	}
	return turn
}

// goals returns how many slots each daemon should hold in the end: its parts, and of the slots that nobody wants one
// share by its own calls.
func (d *division) goals(phase float64) []int {
	spare := float64(d.slots)
	for _, q := range d.quotas {
		spare -= q.part
	}
	exact := make([]float64, len(d.claims))
	for i, c := range d.claims {
		for place := range d.quotas {
			exact[i] += d.part(c, place)
		}
		exact[i] += spare * float64(c.calls+1) / float64(d.wanted+len(d.claims))
	}
	return roundTogether(exact, phase)
}

// takenAtOnce is the part of the free slots that several daemons take in one division.
const takenAtOnce = 0.5

// takes returns which part of the free slots the daemons take together in one division. Their pictures of each other
// lag, so a rest is left for what another took meanwhile.
func (d *division) takes() float64 {
	if len(d.claims) == 1 {
		return 1
	}
	return takenAtOnce
}

// hold returns how many slots the daemon at place own holds from now on. It gives up what is over its goal at once, and
// takes towards its goal only from slots that nobody holds, of which each daemon takes a part of its own.
func (d *division) hold(own int, phase float64) int {
	goals := d.goals(phase)
	held := d.claims[own].held
	if goals[own] <= held {
		return goals[own]
	}
	free, lacks := d.slots, 0
	for i, c := range d.claims {
		free -= c.held
		lacks += max(goals[i]-c.held, 0)
	}
	if free <= 0 {
		return held
	}
	usable := min(1, d.takes()*float64(free)/float64(lacks))
	grants := make([]float64, len(d.claims))
	for i, c := range d.claims {
		grants[i] = usable * float64(max(goals[i]-c.held, 0))
	}
	return held + roundTogether(grants, phase)[own]
}

// find returns the place of daemon among the claims.
func (d *division) find(daemon string) int {
	return sort.Search(len(d.claims), func(i int) bool { return d.claims[i].daemon >= daemon })
}
