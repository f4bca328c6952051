package reducer

import (
	"time"

	"github.com/azurepond/azurepond/pkg/instance"
	"github.com/azurepond/azurepond/pkg/operator"
	"github.com/azurepond/azurepond/pkg/service"
)

// serviceUpstreams are the upstreams of plain services; the zero value has none.
type serviceUpstreams struct {
	byID             map[instance.ID]*probedUpstream
	drainedByAddress map[string]bool
}

// probedUpstream is one upstream of a plain service with its last probe result.
type probedUpstream struct {
	service   string
	address   string
	centre    string
	lastProbe instance.ProbeResult
}

// minEvidenceTTL is how long a probe result of an upstream is valid, unless a large fleet needs longer.
const minEvidenceTTL = 3 * time.Second

// configure updates the upstreams to those of the configuration, and keeps the probe results.
func (s *serviceUpstreams) configure(fleet operator.Fleet) {
	upstreams := map[instance.ID]*probedUpstream{}
	for _, config := range fleet.Services() {
		for _, u := range config.Upstreams() {
			address := u.Address().String()
			id := instance.ID(UpstreamID(config.Name(), address))
			upstream := s.byID[id]
			if upstream == nil {
				upstream = &probedUpstream{}
			}
			upstream.service, upstream.address, upstream.centre = config.Name(), address, u.Centre()
			upstreams[id] = upstream
		}
	}
	s.byID = upstreams
}

// recordProbe stores a probe result and reports whether it is of an upstream of a plain service.
func (s *serviceUpstreams) recordProbe(result instance.ProbeResult) bool {
	upstream := s.byID[result.ID()]
	if upstream == nil {
		return false
	}
	if !result.At().Before(upstream.lastProbe.At()) {
		upstream.lastProbe = result
	}
	return true
}

// setDrained sets whether the upstream at address receives no new calls.
func (s *serviceUpstreams) setDrained(address string, drained bool) {
	if s.drainedByAddress == nil {
		s.drainedByAddress = map[string]bool{}
	}
	s.drainedByAddress[address] = drained
}

// live returns the upstreams of config that answered their last probe and whose result is still valid at now, in the
// order of the configuration. Drained ones are marked as leaving.
func (s *serviceUpstreams) live(now time.Time, evidenceTTL time.Duration, config operator.Service) []service.Upstream {
	var live []service.Upstream
	for _, u := range config.Upstreams() {
		address := u.Address().String()
		probed := s.byID[instance.ID(UpstreamID(config.Name(), address))]
		if probed == nil || !probed.lastProbe.Alive() || now.Sub(probed.lastProbe.At()) > max(minEvidenceTTL, evidenceTTL) {
			continue
		}
		upstream := service.NewUpstream(address, u.Centre(), probed.lastProbe.Load().Running()+probed.lastProbe.Load().Queued())
		if s.drainedByAddress[address] {
			upstream = upstream.WithLeaving()
		}
		live = append(live, upstream)
	}
	return live
}

// refreshServiceUpstreams passes the live upstreams of plain services to pkg/service.
func (s *State) refreshServiceUpstreams() {
	fleet := s.operator.Fleet()
	s.upstreams.configure(fleet)
	for _, config := range fleet.Services() {
		s.reduceService(service.NewUpstreamsChanged(config.Name(), s.upstreams.live(s.now, s.role.evidenceTTL, config)...))
	}
}
