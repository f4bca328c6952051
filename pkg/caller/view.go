package caller

// View is a copy of what the decisions know, for the dump of the state.
type View struct {
	targets  []TargetView
	calls    int
	peers    int
	stopping bool
	stopped  bool
}

// Targets returns the targets in the order of their names.
func (v View) Targets() []TargetView { return v.targets }

// Calls returns how many calls run or wait.
func (v View) Calls() int { return v.calls }

// Peers returns how many other daemons live.
func (v View) Peers() int { return v.peers }

// Stopping reports whether a planned stop has begun.
func (v View) Stopping() bool { return v.stopping }

// Stopped reports whether the planned stop may complete.
func (v View) Stopped() bool { return v.stopped }

// TargetView is what is known of one target.
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

// Slots returns how many calls the fleet runs at once.
func (v TargetView) Slots() int { return v.slots }

// Allocated returns how many of them this daemon holds.
func (v TargetView) Allocated() int { return v.allocated }

// Running returns how many calls this daemon has dispatched.
func (v TargetView) Running() int { return v.running }

// Waiting returns how many calls wait here.
func (v TargetView) Waiting() int { return v.waiting }

// Organisations returns the organisations with calls so far, in the order of their names.
func (v TargetView) Organisations() []OrganisationView { return v.organisations }

// OrganisationView is what one organisation uses of one target here.
type OrganisationView struct {
	name    string
	slots   float64
	running int
	waiting int
}

// Name returns the name of the organisation.
func (v OrganisationView) Name() string { return v.name }

// Slots returns how many of the held slots are meant for it.
func (v OrganisationView) Slots() float64 { return v.slots }

// Running returns how many of its calls are dispatched.
func (v OrganisationView) Running() int { return v.running }

// Waiting returns how many of its calls wait.
func (v OrganisationView) Waiting() int { return v.waiting }

// View returns a copy of what is known.
func (s *State) View() View {
	v := View{calls: len(s.calls), peers: len(s.peers), stopping: s.stop.hasBegun(), stopped: s.stop.done}
	for _, name := range s.order {
		v.targets = append(v.targets, s.targets[name].view())
	}
	return v
}

func (t *target) view() TargetView {
	v := TargetView{name: t.name, slots: t.slots, allocated: t.held, running: t.running, waiting: t.waiting()}
	for _, organisation := range t.order {
		l := t.lines[organisation]
		v.organisations = append(v.organisations, OrganisationView{organisation, l.part, l.running, len(l.waiting)})
	}
	return v
}
