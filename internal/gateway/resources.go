package gateway

import (
	"time"

	"github.com/azurepond/azurepond/internal/memory"
	"github.com/azurepond/azurepond/internal/metrics"
)

// limitResources divides the memory and the connections that the settings allow.
func (d *Daemon) limitResources(s Settings) {
	d.memory.setLimits(s.MemoryBytes)
	maxIdleUpstream, maxLinks := d.conns.setLimits(s.MaxConnections, s.MemoryBytes)
	d.pool.SetMaxIdle(maxIdleUpstream)
	d.hub.SetMaxInbound(maxLinks)
}

// scarcityEnds is how long nothing was refused or closed for want of a resource when it is no longer scarce.
const scarcityEnds = 10 * time.Second

// scarcity notices when resources become scarce, and when they no longer are. The zero value is ready to use.
type scarcity map[string]scarceResource

type scarceResource struct {
	refused int64
	last    time.Time // when refused has grown, zero while the resource is not scarce
}

// update records how often a resource was refused so far, and reports whether it has become scarce or is no longer scarce.
func (s scarcity) update(now time.Time, name string, refused int64) (isScarce, hasChanged bool) {
	before := s[name]
	after := before
	after.refused = refused
	if refused > before.refused {
		after.last = now
	} else if now.Sub(before.last) >= scarcityEnds {
		after.last = time.Time{}
	}
	s[name] = after
	return !after.last.IsZero(), after.last.IsZero() != before.last.IsZero()
}

// recordResources updates the metrics of memory and connections, and logs when one of them becomes scarce.
func (d *Daemon) recordResources(now time.Time) {
	if d.scarce == nil {
		d.scarce = scarcity{}
	}
	for holder, pool := range map[string]*memory.Pool{
		"answers": &d.memory.answers, "events": &d.memory.events, "requests": &d.memory.requests, "heads": &d.memory.heads,
	} {
		u := pool.Usage()
		d.recorder.SetGauge(metrics.MemoryUsed, u.Used(), holder)
		d.recorder.SetGauge(metrics.MemoryPeak, u.Peak(), holder)
		d.recorder.SetGauge(metrics.MemoryLimit, u.Limit(), holder)
		d.recorder.SetGauge(metrics.MemoryWaiting, int64(u.Waiting()), holder)
		d.recorder.SetTotal(metrics.MemoryRefusals, u.Refused(), holder)
		if isScarce, hasChanged := d.scarce.update(now, "memory of "+holder, u.Refused()); hasChanged {
			d.log.Info("daemon", "memory scarce", "holder", holder, "scarce", isScarce, "used", u.Used(), "limit", u.Limit(),
				"waiting", u.Waiting(), "refused", u.Refused())
		}
	}
	for kind, limiter := range map[string]*connLimiter{
		"callers": &d.conns.callers, "peers": &d.conns.peers, "administration": &d.conns.administration,
	} {
		u := limiter.usage()
		d.recorder.SetGauge(metrics.OpenConnections, int64(u.open), kind)
		d.recorder.SetGauge(metrics.ConnectionLimits, int64(u.limit), kind)
		d.recorder.SetTotal(metrics.ClosedConnections, u.timedOut, kind, "timeout")
		d.recorder.SetTotal(metrics.ClosedConnections, u.excess, kind, "limit")
		if isScarce, hasChanged := d.scarce.update(now, "connections of "+kind, u.excess); hasChanged {
			d.log.Info("daemon", "connections scarce", "kind", kind, "scarce", isScarce, "open", u.open, "limit", u.limit, "closed", u.excess)
		}
	}
}
