package admin

import (
	"time"

	"github.com/azurepond/azurepond/pkg/operator"
)

// State is how a replica, an upstream or an entry is.
type State string

// The states; replicas are Whole, Broken or Loading, upstreams and entries are Alive or Dead, and all may be drained.
const (
	StateAvailable State = "whole"
	StateBroken    State = "broken"
	StateLoading   State = "loading"
	StateAlive     State = "alive"
	StateDead      State = "dead"
	StateDraining  State = "draining"
	StateDrained   State = "drained"
)

// Status is what one entry knows of the fleet.
type Status struct {
	entry     string
	revision  operator.Revision
	replicas  []Replica
	upstreams []Upstream
	entries   []Entry
	models    []Model
}

// NewStatus returns the status that entry gives, where revision is in force.
func NewStatus(entry string, revision operator.Revision, replicas []Replica, upstreams []Upstream, entries []Entry,
	models []Model,
) Status {
	return Status{entry, revision, replicas, upstreams, entries, models}
}

// Entry returns the name of the entry that tells.
func (s Status) Entry() string { return s.entry }

// Revision returns the revision that is in force there.
func (s Status) Revision() operator.Revision { return s.revision }

// Replicas returns the replicas of all models.
func (s Status) Replicas() []Replica { return s.replicas }

// Upstreams returns the processes of plain services.
func (s Status) Upstreams() []Upstream { return s.upstreams }

// Entries returns the daemons.
func (s Status) Entries() []Entry { return s.entries }

// Models returns what became of each model so far.
func (s Status) Models() []Model { return s.models }

// Replica is the status of one replica.
type Replica struct {
	name           string
	model          string
	state          State
	reason         string
	activeRequests int
	instances      []string
}

// NewReplica returns the status of the replica name of model, which spans instances and runs so many requests; reason
// tells why it is not whole.
func NewReplica(name, model string, state State, reason string, running int, instances []string) Replica {
	return Replica{name, model, state, reason, running, instances}
}

// Name returns the name of the replica.
func (r Replica) Name() string { return r.name }

// Model returns the model.
func (r Replica) Model() string { return r.model }

// State returns how the replica is.
func (r Replica) State() State { return r.state }

// Reason returns why the replica is not whole, empty when it is.
func (r Replica) Reason() string { return r.reason }

// ActiveRequests returns how many requests run there.
func (r Replica) ActiveRequests() int { return r.activeRequests }

// Instances returns the instances that the replica spans.
func (r Replica) Instances() []string { return r.instances }

// Upstream is the status of one process of a plain service.
type Upstream struct {
	service        string
	address        string
	centre         string
	state          State
	activeRequests int
}

// NewUpstream returns the status of the process of service at address in centre, which runs so many requests.
func NewUpstream(service, address, centre string, state State, running int) Upstream {
	return Upstream{service, address, centre, state, running}
}

// Service returns the service.
func (u Upstream) Service() string { return u.service }

// Address returns the address, which names the process.
func (u Upstream) Address() string { return u.address }

// Centre returns the data centre.
func (u Upstream) Centre() string { return u.centre }

// State returns how the process is.
func (u Upstream) State() State { return u.state }

// ActiveRequests returns how many requests run there.
func (u Upstream) ActiveRequests() int { return u.activeRequests }

// Entry is the status of one daemon.
type Entry struct {
	name        string
	centre      string
	state       State
	revision    operator.Revision
	activeCalls int
}

// NewEntry returns the status of the daemon name in centre, where revision is in force and so many calls run.
func NewEntry(name, centre string, state State, revision operator.Revision, running int) Entry {
	return Entry{name, centre, state, revision, running}
}

// Name returns the name of the daemon.
func (e Entry) Name() string { return e.name }

// Centre returns the data centre.
func (e Entry) Centre() string { return e.centre }

// State returns how the daemon is.
func (e Entry) State() State { return e.state }

// Revision returns the revision in force there.
func (e Entry) Revision() operator.Revision { return e.revision }

// ActiveCalls returns how many calls run there.
func (e Entry) ActiveCalls() int { return e.activeCalls }

// Model is the status of one model; one without a name stands for instances in no replica.
type Model struct {
	name              string
	wantedReplicas    int
	availableReplicas int
	downtime          time.Duration
	strandedTime      time.Duration
}

// NewModel returns the status of the model name, of which so many replicas are wanted and whole, with its group downtime
// (replica time) and its stranding (accelerator time).
func NewModel(name string, wanted, whole int, downtime, stranding time.Duration) Model {
	return Model{name, wanted, whole, downtime, stranding}
}

// Name returns the model, empty for what instances in no replica lost.
func (m Model) Name() string { return m.name }

// WantedReplicas returns how many replicas are wanted.
func (m Model) WantedReplicas() int { return m.wantedReplicas }

// AvailableReplicas returns how many replicas are whole.
func (m Model) AvailableReplicas() int { return m.availableReplicas }

// Downtime returns the time in which wanted replicas could not serve, summed over replicas.
func (m Model) Downtime() time.Duration { return m.downtime }

// StrandedTime returns the time in which accelerators were held outside any whole replica, summed over accelerators.
func (m Model) StrandedTime() time.Duration { return m.strandedTime }

// only returns the part of the status that names admits; entries belong to all teams.
func (s Status) only(names func(name string) bool) Status {
	part := Status{entry: s.entry, revision: s.revision, entries: s.entries}
	for _, r := range s.replicas {
		if names(r.model) {
			part.replicas = append(part.replicas, r)
		}
	}
	for _, u := range s.upstreams {
		if names(u.service) {
			part.upstreams = append(part.upstreams, u)
		}
	}
	for _, m := range s.models {
		if names(m.name) {
			part.models = append(part.models, m)
		}
	}
	return part
}
