package dispatch

import "time"

// The events and effects by which daemons tell each other the limits of upstreams.

// LimitReported reports the limit that an upstream named to another daemon.
type LimitReported struct {
	upstream  string
	perSecond float64
	from      string
	isShared  bool
}

// NewLimitReported returns the event that an upstream named a limit (requests per second, 0 for none any more) to the daemon from, which
// tells it to this one as the owner of the upstream's shard.
func NewLimitReported(upstream string, perSecond float64, from string) LimitReported {
	return LimitReported{upstream, perSecond, from, false}
}

// NewLimitShared returns the event that the owner of an upstream's shard told all daemons its limit.
func NewLimitShared(upstream string, perSecond float64, from string) LimitReported {
	return LimitReported{upstream, perSecond, from, true}
}

// ReportLimit tells the owner of an upstream's shard the limit that the upstream named.
type ReportLimit struct {
	owner     string
	upstream  string
	perSecond float64
}

// Owner returns the name of the shard owner.
func (r ReportLimit) Owner() string { return r.owner }

// Upstream returns the upstream.
func (r ReportLimit) Upstream() string { return r.upstream }

// PerSecond returns the rate in requests per second, 0 for no limit any more.
func (r ReportLimit) PerSecond() float64 { return r.perSecond }

// ShareLimit tells all daemons the limit of an upstream in a shard of this daemon.
type ShareLimit struct {
	upstream  string
	perSecond float64
	ttl       time.Duration
}

// Upstream returns the upstream.
func (s ShareLimit) Upstream() string { return s.upstream }

// PerSecond returns the rate in requests per second, 0 for no limit any more.
func (s ShareLimit) PerSecond() float64 { return s.perSecond }

// TTL returns how long daemons that start may learn it.
func (s ShareLimit) TTL() time.Duration { return s.ttl }

// LimitChanged reports a change of the rate of requests that an upstream accepts from all daemons together.
type LimitChanged struct {
	upstream  string
	perSecond float64
	source    string
}

// Upstream returns the upstream.
func (l LimitChanged) Upstream() string { return l.upstream }

// PerSecond returns the rate in requests per second, 0 for no limit any more.
func (l LimitChanged) PerSecond() float64 { return l.perSecond }

// Source returns the daemon that reported it, "answer" if an answer to this daemon named it, or "list" if the upstream is no longer listed.
func (l LimitChanged) Source() string { return l.source }

func (LimitReported) isEvent() {}

func (ReportLimit) isEffect() {}

func (ShareLimit) isEffect() {}

func (LimitChanged) isEffect() {}
