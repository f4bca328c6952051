package caller

import "sort"

// allocator divides the capacity of one target among the organisations and the daemons. All daemons compute the same
// division from the same reports.
type allocator struct {
	slots         int
	daemons       []daemonUsage
	organisations []organisationDemand
	calls         int
	totalWeight   int
}

// daemonUsage holds the allocated slots and the calls of one daemon. callsByOrganisation has the order of
// allocator.organisations.
type daemonUsage struct {
	daemon              string
	allocated           int
	calls               int
	callsByOrganisation []int
}

// organisationDemand holds the calls of one organisation at all daemons, and the slots that it receives.
type organisationDemand struct {
	name   string
	weight int
	calls  int
	slots  float64
}

// newAllocator collects the reports of all daemons on t. A daemon without a report counts with an equal part of the
// slots.
func (s *State) newAllocator(t *target) *allocator {
	a := &allocator{slots: t.slots, daemons: make([]daemonUsage, 0, len(s.peerNames)+1)}
	for _, organisation := range s.sortedOrganisations {
		if organisation.mayUse(t.name) {
			a.organisations = append(a.organisations, organisationDemand{
				name: organisation.name, weight: organisation.effectiveWeight(),
			})
			a.totalWeight += organisation.effectiveWeight()
		}
	}
	indexes := a.organisationIndexes()
	counts := make([]int, (len(s.peerNames)+1)*len(a.organisations))
	for i, name := range s.peerNames {
		callsByOrganisation := counts[i*len(a.organisations) : (i+1)*len(a.organisations)]
		report, isKnown := s.reportedUsage[name]
		allocated := report.forTarget(t.name, indexes, callsByOrganisation)
		if !isKnown {
			allocated = t.slots / (len(s.peerNames) + 1)
		}
		a.add(daemonUsage{daemon: name, allocated: allocated, callsByOrganisation: callsByOrganisation})
	}
	a.add(s.ownUsage(t, a.organisations, counts[len(s.peerNames)*len(a.organisations):]))
	sort.Slice(a.daemons, func(i, j int) bool { return a.daemons[i].daemon < a.daemons[j].daemon })
	a.divideAmongOrganisations()
	return a
}

// ownUsage returns the usage of t at this daemon, and stores its calls in callsByOrganisation.
func (s *State) ownUsage(t *target, organisations []organisationDemand, callsByOrganisation []int) daemonUsage {
	for i, o := range organisations {
		if q, isKnown := t.queues[o.name]; isKnown {
			callsByOrganisation[i] = quantise(q.calls())
		}
	}
	return daemonUsage{
		daemon: s.settings.name, allocated: max(t.allocated, t.running),
		callsByOrganisation: callsByOrganisation,
	}
}

// organisationIndexes returns the index of each organisation by name.
func (a *allocator) organisationIndexes() map[string]int {
	indexes := make(map[string]int, len(a.organisations))
	for i, o := range a.organisations {
		indexes[o.name] = i
	}
	return indexes
}

// forTarget returns the slots of target that are allocated to the daemon, and adds its calls to callsByOrganisation.
func (e UsageReported) forTarget(target string, indexes map[string]int, callsByOrganisation []int) int {
	for _, usage := range e.usages {
		if i, isKnown := indexes[usage.organisation]; isKnown && usage.target == target {
			callsByOrganisation[i] += usage.calls
		}
	}
	allocated := 0
	for _, allocation := range e.allocations {
		if allocation.target == target {
			allocated += allocation.slots
		}
	}
	return allocated
}

// calls returns the number of calls that run or wait at the daemon.
func (e UsageReported) calls() int {
	sum := 0
	for _, usage := range e.usages {
		sum += usage.calls
	}
	return sum
}

func (a *allocator) add(usage daemonUsage) {
	for i, calls := range usage.callsByOrganisation {
		usage.calls += calls
		a.organisations[i].calls += calls
	}
	a.calls += usage.calls
	a.daemons = append(a.daemons, usage)
}

// divideAmongOrganisations gives each organisation as many slots as it has calls, but at most its share of what remains
// after the organisations with less demand (weighted max-min fairness).
func (a *allocator) divideAmongOrganisations() {
	active := make([]*organisationDemand, 0, len(a.organisations))
	weight := 0
	for i := range a.organisations {
		if a.organisations[i].calls > 0 {
			active = append(active, &a.organisations[i])
			weight += a.organisations[i].weight
		}
	}
	sort.SliceStable(active, func(i, j int) bool {
		return active[i].calls*active[j].weight < active[j].calls*active[i].weight
	})
	remaining := float64(a.slots)
	for _, o := range active {
		o.slots = min(float64(o.calls), remaining*float64(o.weight)/float64(weight))
		remaining -= o.slots
		weight -= o.weight
	}
}

// slotsFor returns how many slots the organisation at index i receives at a daemon.
func (a *allocator) slotsFor(usage daemonUsage, i int) float64 {
	o := a.organisations[i]
	if o.calls == 0 {
		return 0
	}
	return o.slots * float64(usage.callsByOrganisation[i]) / float64(o.calls)
}

// offset returns the rounding offset: clockOffset, or a constant if there are no calls, so that the remainder slots do not
// move between daemons.
func (a *allocator) offset(clockOffset float64) float64 {
	if a.calls == 0 {
		return 0
	}
	return clockOffset
}

// desiredAllocations returns how many slots each daemon should reach: those of its organisations, and a part of the
// spare slots in proportion to its calls plus one.
func (a *allocator) desiredAllocations(offset float64) []int {
	spare := float64(a.slots)
	for _, o := range a.organisations {
		spare -= o.slots
	}
	exact := make([]float64, len(a.daemons))
	for i, usage := range a.daemons {
		for j := range a.organisations {
			exact[i] += a.slotsFor(usage, j)
		}
		exact[i] += spare * float64(usage.calls+1) / float64(a.calls+len(a.daemons))
	}
	return roundKeepingSum(exact, offset)
}

// maxClaimableFraction is the fraction of the free slots that several daemons together claim in one round.
const maxClaimableFraction = 0.5

// claimableFraction returns the fraction of the free slots that all daemons claim together in one round. Reports arrive
// late, so the remainder covers slots that another daemon has claimed since its last report.
func (a *allocator) claimableFraction() float64 {
	if len(a.daemons) == 1 {
		return 1
	}
	return maxClaimableFraction
}

// nextAllocation returns the new allocation of the daemon at index own. A daemon releases the slots above its desired
// allocation at once. It claims only slots that are free, and of these each daemon claims a part of its own.
func (a *allocator) nextAllocation(own int, offset float64) int {
	desired := a.desiredAllocations(offset)
	current := a.daemons[own].allocated
	if desired[own] <= current {
		return desired[own]
	}
	free, shortfall := a.slots, 0
	for i, usage := range a.daemons {
		free -= usage.allocated
		shortfall += max(desired[i]-usage.allocated, 0)
	}
	if free <= 0 {
		return current
	}
	fraction := min(1, a.claimableFraction()*float64(free)/float64(shortfall))
	increases := make([]float64, len(a.daemons))
	for i, usage := range a.daemons {
		increases[i] = fraction * float64(max(desired[i]-usage.allocated, 0))
	}
	return current + roundKeepingSum(increases, offset)[own]
}

// indexOf returns the index of daemon.
func (a *allocator) indexOf(daemon string) int {
	return sort.Search(len(a.daemons), func(i int) bool { return a.daemons[i].daemon >= daemon })
}
