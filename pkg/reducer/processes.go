package reducer

import (
	"time"

	"github.com/azurepond/azurepond/pkg/instance"
	"github.com/azurepond/azurepond/pkg/operator"
	"github.com/azurepond/azurepond/pkg/service"
)

// processes is what is known of the processes of plain services; the zero value knows none.
type processes struct {
	known   map[instance.ID]*process
	drained map[string]bool // by address
}

// process is one process of a plain service.
type process struct {
	service string
	address string
	centre  string
	last    instance.ProbeResult
}

// processFresh is the age beyond which evidence about a process no longer counts.
const processFresh = 3 * time.Second

// list takes over which processes the configuration names.
func (p *processes) list(fleet operator.Fleet) {
	known := map[instance.ID]*process{}
	for _, s := range fleet.Services() {
		for _, u := range s.Upstreams() {
			address := u.Address().String()
			id := instance.ID(UpstreamID(s.Name(), address))
			one := p.known[id]
			if one == nil {
				one = &process{}
			}
			one.service, one.address, one.centre = s.Name(), address, u.Centre()
			known[id] = one
		}
	}
	p.known = known
}

// sight notes evidence and reports whether it is about a process of a plain service.
func (p *processes) sight(s instance.ProbeResult) bool {
	one := p.known[s.ID()]
	if one == nil {
		return false
	}
	if !s.At().Before(one.last.At()) {
		one.last = s
	}
	return true
}

// drain notes whether the process at address gets no new calls.
func (p *processes) drain(address string, on bool) {
	if p.drained == nil {
		p.drained = map[string]bool{}
	}
	p.drained[address] = on
}

// live returns the processes of s with fresh evidence of life at now, in the order of the configuration.
func (p *processes) live(now time.Time, fresh time.Duration, s operator.Service) []service.Upstream {
	var live []service.Upstream
	for _, u := range s.Upstreams() {
		address := u.Address().String()
		one := p.known[instance.ID(UpstreamID(s.Name(), address))]
		if one == nil || !one.last.Alive() || now.Sub(one.last.At()) > max(processFresh, fresh) {
			continue
		}
		upstream := service.NewUpstream(address, u.Centre(), one.last.Load().Running()+one.last.Load().Queued())
		if p.drained[address] {
			upstream = upstream.WithLeaving()
		}
		live = append(live, upstream)
	}
	return live
}

// refreshProcesses tells the services' part which processes live.
func (s *State) refreshProcesses() {
	fleet := s.operator.Fleet()
	s.processes.list(fleet)
	for _, one := range fleet.Services() {
		s.toService(service.NewUpstreamsChanged(one.Name(), s.processes.live(s.now, s.standing.fresh, one)...))
	}
}
