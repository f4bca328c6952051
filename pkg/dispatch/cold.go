package dispatch

import (
	"maps"
	"slices"
	"time"
)

// An upstream that has just started is cold for a few seconds: it crashes at a rate of requests that it accepts afterwards. That is a limit
// that ends by itself, so the owner of its shard grants its slots at the cold rate, and each send to it needs a slot. The platform counts
// the requests that arrive in any one second, which is stricter than for the limits that upstreams name. So only the owner grants slots of
// cold upstreams, slowly at first, and a daemon that was paused neither grants nor uses old ones.

// ColdBound is how many requests a cold upstream may get in any one second; the zero value is the cold rate and no more.
type ColdBound struct {
	overshoot float64 // factor on the cold rate
	slack     float64 // requests in addition
}

// NewColdBound returns the bound of the cold rate times overshoot plus slack.
func NewColdBound(overshoot, slack float64) ColdBound { return ColdBound{overshoot, slack} }

// spare returns the part of the cold rate by which the bound exceeds it.
func (b ColdBound) spare() float64 { return min(max(b.overshoot-1, 0), 1) }

// burstShare is the part of what the bound allows beyond the cold rate that accumulates. The rest is for requests that arrive closer
// together than they were granted, and for the grants of two owners.
const burstShare = 0.25

// burst returns how many unused requests accumulate at a rate.
func (b ColdBound) burst(perSecond float64) float64 {
	return max(1, burstShare*(b.slack+b.spare()*perSecond))
}

// handoverShare is the part of the spare rate at which a new owner grants while the previous one may still grant at the whole rate.
const handoverShare = 0.5

// The times of owners that change or are late.
const (
	handoverTime = 2 * time.Second        // in which all daemons agree on the owner
	maxTickGap   = 300 * time.Millisecond // between two ticks of a daemon; grants of a longer time would arrive together
	staleTime    = 200 * time.Millisecond // for which a daemon that was paused reads messages from before
)

// WithCold returns the target as one that is cold until a time and tolerates a rate of requests per second until then, 0 for no limit.
func (t Target) WithCold(until time.Time, perSecond float64) Target {
	t.coldUntil, t.coldRate = until, perSecond
	return t
}

// coldRateAt returns the requests per second that an upstream tolerates because it is cold, 0 for no limit.
func (t Target) coldRateAt(now time.Time) float64 {
	if now.Before(t.coldUntil) {
		return t.coldRate
	}
	return 0
}

// selectColdShards determines the shards of the services whose upstreams may be cold.
func (s *State) selectColdShards() {
	s.coldShards = nil
	services := s.config.Services()
	for _, name := range slices.Sorted(maps.Keys(services)) {
		models := services[name].Engine().Models()
		switch {
		case services[name].ColdRate() == 0:
		case len(models) == 0:
			s.coldShards = append(s.coldShards, NewServiceShard(name))
		}
		for _, model := range models {
			for number := range uint64(shardsPerModel) {
				if services[name].ColdRate() > 0 {
					s.coldShards = append(s.coldShards, NewShard(model.Name(), number))
				}
			}
		}
	}
	maps.DeleteFunc(s.ownedSince, func(shard Shard, _ time.Time) bool { return !slices.Contains(s.coldShards, shard) })
}

// refreshColdShards determines which shards with cold upstreams this daemon owns, and refills their limits.
func (s *State) refreshColdShards(now time.Time, up Upstreams) {
	if s.isPaused(now) {
		s.resume(now)
	}
	s.tickedAt = now
	for _, shard := range s.coldShards {
		if up.Owner(shard) != "" {
			delete(s.ownedSince, shard)
			continue
		}
		if _, isOwned := s.ownedSince[shard]; !isOwned {
			s.ownedSince[shard] = now
		}
		s.refreshLimits(now, up, shard)
	}
}

// isPaused reports whether this daemon has not run for a while, and has handled no tick since.
func (s *State) isPaused(now time.Time) bool { return now.Sub(s.tickedAt) > maxTickGap }

// resume handles that this daemon was paused: another one may own its shards, and grants that it has not read are old.
func (s *State) resume(now time.Time) {
	clear(s.ownedSince)
	s.staleUntil = now.Add(staleTime)
}

// noteSuspension handles that this daemon did not run for a time that its clock may not include.
func (s *State) noteSuspension(now time.Time, duration time.Duration) {
	if duration > maxTickGap {
		s.resume(now)
	}
}

// coldGrantLimit returns what this daemon may grant of an upstream that tolerates a rate because it is cold: nothing unless it owns the
// shard.
func (s *State) coldGrantLimit(now time.Time, shard Shard, perSecond float64) grantLimit {
	bound := s.settings.cold
	since, isOwned := s.ownedSince[shard]
	granted := grantLimit{isLimited: true, burst: bound.burst(perSecond)}
	switch {
	case !isOwned:
	case now.Sub(since) < handoverTime:
		granted.perSecond = handoverShare * bound.spare() * perSecond
	default:
		granted.perSecond = perSecond
	}
	return granted
}

// isStaleGrant reports whether a granted slot of a cold upstream may be from before a pause of this daemon. The slots that were granted
// meanwhile would be used all at once.
func (s *State) isStaleGrant(now time.Time, up Upstreams, c *call, reply SlotReply) bool {
	if len(s.coldShards) == 0 || !s.isPaused(now) && !now.Before(s.staleUntil) {
		return false
	}
	return slices.ContainsFunc(s.targets(up, c), func(t Target) bool { return t.name == reply.upstream && t.coldRateAt(now) > 0 })
}

// ColdBoundChanged reports a new bound of the requests to cold upstreams.
type ColdBoundChanged struct{ bound ColdBound }

// NewColdBoundChanged returns the event of a new bound of the requests to cold upstreams.
func NewColdBoundChanged(bound ColdBound) ColdBoundChanged { return ColdBoundChanged{bound} }

// Suspended reports that this daemon did not run for a time that its clock may not include.
type Suspended struct{ duration time.Duration }

// NewSuspended returns the event that this daemon was suspended.
func NewSuspended(duration time.Duration) Suspended { return Suspended{duration} }

func (ColdBoundChanged) isEvent() {}

func (Suspended) isEvent() {}
