package admin

import (
	"time"

	"github.com/azurepond/azurepond/pkg/operator"
)

// State is the state of a replica, an upstream or an entry.
type State string

// The states. Replicas are available, broken or loading; upstreams and entries are alive or dead; all can be drained.
const (
	StateAvailable State = "whole"
	StateBroken    State = "broken"
	StateLoading   State = "loading"
	StateAlive     State = "alive"
	StateDead      State = "dead"
	StateDraining  State = "draining"
	StateDrained   State = "drained"
)

// Status is the state of the fleet as one entry knows it.
type Status struct {
	entry     string
	revision  operator.Revision
	replicas  []Replica
	upstreams []Upstream
	entries   []Entry
	models    []Model
}

// NewStatus returns the status that entry reports, with the revision in force there.
func NewStatus(entry string, revision operator.Revision, replicas []Replica, upstreams []Upstream, entries []Entry,
	models []Model,
) Status {
	return Status{entry, revision, replicas, upstreams, entries, models}
}

// Entry returns the name of the entry that reports the status.
func (s Status) Entry() string { return s.entry }

// Revision returns the revision in force on the reporting entry.
func (s Status) Revision() operator.Revision { return s.revision }

// Replicas returns the replicas of all models.
func (s Status) Replicas() []Replica { return s.replicas }

// Upstreams returns the processes of plain services.
func (s Status) Upstreams() []Upstream { return s.upstreams }

// Entries returns the daemons.
func (s Status) Entries() []Entry { return s.entries }

// Models returns the replica counts and the accumulated losses of each model.
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

// NewReplica returns the status of the replica called name, which spans instances. reason says why it is not available.
func NewReplica(name, model string, state State, reason string, activeRequests int, instances []string) Replica {
	return Replica{name, model, state, reason, activeRequests, instances}
}

// Name returns the name of the replica.
func (r Replica) Name() string { return r.name }

// Model returns the model.
func (r Replica) Model() string { return r.model }

// State returns the state of the replica.
func (r Replica) State() State { return r.state }

// Reason returns why the replica is not available, empty if it is.
func (r Replica) Reason() string { return r.reason }

// ActiveRequests returns the number of running and queued requests.
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

// NewUpstream returns the status of the process of service at address in the data centre centre.
func NewUpstream(service, address, centre string, state State, activeRequests int) Upstream {
	return Upstream{service, address, centre, state, activeRequests}
}

// Service returns the service.
func (u Upstream) Service() string { return u.service }

// Address returns the address, which identifies the process.
func (u Upstream) Address() string { return u.address }

// Centre returns the data centre.
func (u Upstream) Centre() string { return u.centre }

// State returns the state of the process.
func (u Upstream) State() State { return u.state }

// ActiveRequests returns the number of requests of the process, including those that wait.
func (u Upstream) ActiveRequests() int { return u.activeRequests }

// Entry is the status of one daemon.
type Entry struct {
	name        string
	centre      string
	state       State
	revision    operator.Revision
	activeCalls int
}

// NewEntry returns the status of the daemon called name in the data centre centre, with the revision in force there.
func NewEntry(name, centre string, state State, revision operator.Revision, activeCalls int) Entry {
	return Entry{name, centre, state, revision, activeCalls}
}

// Name returns the name of the daemon.
func (e Entry) Name() string { return e.name }

// Centre returns the data centre.
func (e Entry) Centre() string { return e.centre }

// State returns the state of the daemon.
func (e Entry) State() State { return e.state }

// Revision returns the revision in force on the daemon.
func (e Entry) Revision() operator.Revision { return e.revision }

// ActiveCalls returns the number of calls of the daemon, including those that wait. It is 0 for all daemons but the one
// that reports the status, as a daemon knows only its own calls.
func (e Entry) ActiveCalls() int { return e.activeCalls }

// Model is the status of one model. The model without a name covers the instances in no replica.
type Model struct {
	name              string
	wantedReplicas    int
	availableReplicas int
	downtime          time.Duration
	strandedTime      time.Duration
}

// NewModel returns the status of the model called name, with its group downtime (in replica time) and its stranded time
// (in accelerator time).
func NewModel(name string, wantedReplicas, availableReplicas int, downtime, strandedTime time.Duration) Model {
	return Model{name, wantedReplicas, availableReplicas, downtime, strandedTime}
}

// Name returns the name of the model, empty for the instances in no replica.
func (m Model) Name() string { return m.name }

// WantedReplicas returns the configured number of replicas.
func (m Model) WantedReplicas() int { return m.wantedReplicas }

// AvailableReplicas returns the number of available replicas.
func (m Model) AvailableReplicas() int { return m.availableReplicas }

// Downtime returns the time during which wanted replicas could not serve, summed over the replicas.
func (m Model) Downtime() time.Duration { return m.downtime }

// StrandedTime returns the time that accelerators were held outside an available replica, summed over the accelerators.
func (m Model) StrandedTime() time.Duration { return m.strandedTime }

// filter returns the status of the visible models and services, and of all entries, since these serve all teams.
func (s Status) filter(isVisible func(name string) bool) Status {
	filtered := Status{entry: s.entry, revision: s.revision, entries: s.entries}
	for _, r := range s.replicas {
		if isVisible(r.model) {
			filtered.replicas = append(filtered.replicas, r)
		}
	}
	for _, u := range s.upstreams {
		if isVisible(u.service) {
			filtered.upstreams = append(filtered.upstreams, u)
		}
	}
	for _, m := range s.models {
		if isVisible(m.name) {
			filtered.models = append(filtered.models, m)
		}
	}
	return filtered
}
