package reducer

import (
	"github.com/azurepond/azurepond/pkg/instance"
)

// ServiceUpstream is the status of one upstream of a plain service.
type ServiceUpstream struct {
	service     string
	address     string
	centre      string
	alive       bool
	drained     bool
	activeCalls int
}

// Service returns the name of the service.
func (u ServiceUpstream) Service() string { return u.service }

// Address returns the IP address and port.
func (u ServiceUpstream) Address() string { return u.address }

// Centre returns the data centre.
func (u ServiceUpstream) Centre() string { return u.centre }

// Alive reports whether it answered its last probe and the result is still valid.
func (u ServiceUpstream) Alive() bool { return u.alive }

// Drained reports whether it receives no new calls because of a planned action.
func (u ServiceUpstream) Drained() bool { return u.drained }

// ActiveCalls returns how many calls ran or waited there at the last probe.
func (u ServiceUpstream) ActiveCalls() int { return u.activeCalls }

// ServiceUpstreams returns the upstreams of all plain services, in the order of the configuration.
func (s *State) ServiceUpstreams() []ServiceUpstream {
	var upstreams []ServiceUpstream
	for _, config := range s.operator.Fleet().Services() {
		for _, u := range config.Upstreams() {
			address := u.Address().String()
			upstream := ServiceUpstream{
				service: config.Name(), address: address, centre: u.Centre(), drained: s.upstreams.drainedByAddress[address],
			}
			if probed := s.upstreams.byID[instance.ID(UpstreamID(config.Name(), address))]; probed != nil {
				upstream.alive = probed.lastProbe.Alive() && s.now.Sub(probed.lastProbe.At()) <= max(minEvidenceTTL, s.role.evidenceTTL)
				upstream.activeCalls = probed.lastProbe.Load().Running() + probed.lastProbe.Load().Queued()
			}
			upstreams = append(upstreams, upstream)
		}
	}
	return upstreams
}

// instanceModel returns the model of the replica that the instance belongs to, empty for none.
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
