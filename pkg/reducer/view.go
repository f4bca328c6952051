package reducer

import (
	"github.com/azurepond/azurepond/pkg/instance"
)

// ServiceUpstream is what this daemon knows of one process of a plain service.
type ServiceUpstream struct {
	service string
	address string
	centre  string
	alive   bool
	drained bool
	active  int
}

// Service returns the service.
func (p ServiceUpstream) Service() string { return p.service }

// Address returns the IP address and port.
func (p ServiceUpstream) Address() string { return p.address }

// Centre returns the data centre.
func (p ServiceUpstream) Centre() string { return p.centre }

// Alive reports whether there is fresh evidence of life.
func (p ServiceUpstream) Alive() bool { return p.alive }

// Drained reports whether the process gets no new calls by a planned action.
func (p ServiceUpstream) Drained() bool { return p.drained }

// Active returns how many calls run or wait there, by its last report.
func (p ServiceUpstream) Active() int { return p.active }

// ServiceUpstreams returns the processes of all plain services, in the order of the configuration.
func (s *State) ServiceUpstreams() []ServiceUpstream {
	var processes []ServiceUpstream
	for _, one := range s.operator.Fleet().Services() {
		for _, u := range one.Upstreams() {
			address := u.Address().String()
			process := ServiceUpstream{
				service: one.Name(), address: address, centre: u.Centre(), drained: s.processes.drained[address],
			}
			if known := s.processes.known[instance.ID(UpstreamID(one.Name(), address))]; known != nil {
				process.alive = known.last.Alive() && s.now.Sub(known.last.At()) <= max(processFresh, s.standing.fresh)
				process.active = known.last.Load().Running() + known.last.Load().Queued()
			}
			processes = append(processes, process)
		}
	}
	return processes
}

// instanceModel returns the model of the replica that the instance called id belongs to, empty for none.
func (s *State) instanceModel(id string) string {
	for _, pool := range s.Pools() {
		for _, replica := range pool.Replicas() {
			for _, member := range replica.Members() {
				if string(member.ID()) == id {
					return replica.Model()
				}
			}
		}
	}
	return ""
}
