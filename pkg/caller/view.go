package caller

// View is a copy of the state for diagnostics.
type View struct {
	targets  []TargetView
	calls    int
	peers    int
	stopping bool
	stopped  bool
}

// Targets returns the targets sorted by name.
func (v View) Targets() []TargetView { return v.targets }

// Calls returns the number of calls that run or wait.
func (v View) Calls() int { return v.calls }

// Peers returns the number of other live daemons.
func (v View) Peers() int { return v.peers }

// Stopping reports whether a planned stop has begun.
func (v View) Stopping() bool { return v.stopping }

// Stopped reports whether the planned stop may complete.
func (v View) Stopped() bool { return v.stopped }

// TargetView is the state of one target at this daemon.
type TargetView struct {
	name          string
	slots         int
	allocated     int
	running       int
	waiting       int
	organisations []OrganisationView
}

// Name returns the name of the model or service.
func (v TargetView) Name() string { return v.name }

// Slots returns how many calls the fleet can run at once.
func (v TargetView) Slots() int { return v.slots }

// Allocated returns how many of the slots this daemon may use.
func (v TargetView) Allocated() int { return v.allocated }

// Running returns how many calls this daemon has dispatched.
func (v TargetView) Running() int { return v.running }

// Waiting returns how many calls wait at this daemon.
func (v TargetView) Waiting() int { return v.waiting }

// Organisations returns the organisations that have sent calls, sorted by name.
func (v TargetView) Organisations() []OrganisationView { return v.organisations }

// OrganisationView is the usage of one target by one organisation at this daemon.
type OrganisationView struct {
	name    string
	slots   float64
	running int
	waiting int
}

// Name returns the name of the organisation.
func (v OrganisationView) Name() string { return v.name }

// Slots returns how many of the allocated slots are allotted to the organisation.
func (v OrganisationView) Slots() float64 { return v.slots }

// Running returns how many of its calls are dispatched.
func (v OrganisationView) Running() int { return v.running }

// Waiting returns how many of its calls wait.
func (v OrganisationView) Waiting() int { return v.waiting }

// View returns a copy of the state.
func (s *State) View() View {
	v := View{calls: len(s.calls), peers: len(s.peers), stopping: s.stop.hasStarted(), stopped: s.stop.completed}
	for _, name := range s.targetNames {
		v.targets = append(v.targets, s.targets[name].view())
	}
	return v
}

func (t *target) view() TargetView {
	v := TargetView{name: t.name, slots: t.slots, allocated: t.allocated, running: t.running, waiting: t.waitingCalls()}
	for _, organisation := range t.organisationNames {
		q := t.queues[organisation]
		v.organisations = append(v.organisations, OrganisationView{
			organisation, q.allottedSlots, q.running, len(q.waiting),
		})
	}
	return v
}
