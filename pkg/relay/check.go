package relay

import (
	"maps"
	"slices"
	"time"
)

// The times and limits of checks, each of which opens a connection.
const (
	minCheckInterval     = 500 * time.Millisecond // of a lost path; doubles with each failed check
	maxCheckInterval     = 2 * time.Second
	cutCheckInterval     = 250 * time.Millisecond // of a daemon that is cut from all upstreams of a service
	suspectCheckInterval = time.Second            // between two checks of a silent upstream
	sampleInterval       = 500 * time.Millisecond // between two checks of other upstreams after a lost path
	checkTimeout         = time.Second            // after which a check without a result is repeated
	maxChecksPerTick     = 4
	cutChecks            = 2 // at once
)

// suspect checks the path to an upstream that is silent.
func (s *State) suspect(now time.Time, up Upstreams, upstream string) {
	name, address := up.UpstreamAddress(upstream)
	if address == "" || s.IsLost(up, upstream) {
		return
	}
	if p := s.path(name, upstream); now.Sub(p.checkedAt) >= suspectCheckInterval {
		s.check(now, upstream, address, p)
	}
}

func (s *State) check(now time.Time, upstream, address string, p *path) {
	if p.isChecking && now.Sub(p.checkedAt) < checkTimeout {
		return
	}
	p.isChecking, p.checkedAt = true, now
	s.emit(Check{upstream, address})
}

// sample checks the paths to some random upstreams of a service: those that are not known to be lost, or any if all are.
func (s *State) sample(now time.Time, up Upstreams, serviceName string, count int) {
	s.service(serviceName).sampledAt = now
	names := up.UpstreamNames(serviceName)
	isLost := func(name string) bool { return s.paths[name] != nil && s.paths[name].isLost }
	candidates := slices.DeleteFunc(slices.Clone(names), isLost)
	if len(candidates) == 0 {
		candidates = names
	}
	for _, i := range s.random.Perm(len(candidates))[:min(count, len(candidates))] {
		_, address := up.UpstreamAddress(candidates[i])
		s.check(now, candidates[i], address, s.path(serviceName, candidates[i]))
	}
}

// tick checks the lost paths that are due.
func (s *State) tick(now time.Time, up Upstreams) {
	if len(s.paths)+len(s.avoidPeers)+len(s.noPaths) == 0 {
		return
	}
	s.forget(now, up)
	for _, name := range slices.Sorted(maps.Keys(s.services)) {
		if v := s.services[name]; v.isCut && now.Sub(v.sampledAt) >= cutCheckInterval {
			s.sample(now, up, name, cutChecks)
		}
	}
	if s.lostCount > 0 {
		s.checkLost(now, up)
	}
}

// checkLost checks the paths that are lost or may be, to services from which this daemon is not cut.
func (s *State) checkLost(now time.Time, up Upstreams) {
	left := maxChecksPerTick
	for _, name := range slices.Sorted(maps.Keys(s.paths)) {
		p := s.paths[name]
		isDue := p.isCheckDue || p.isLost && !now.Before(p.nextCheck)
		if left == 0 {
			return
		}
		if !isDue || s.isCutFrom(p.service) {
			continue
		}
		left--
		p.isCheckDue = false
		p.interval = min(2*p.interval, maxCheckInterval)
		p.nextCheck = now.Add(p.interval)
		_, address := up.UpstreamAddress(name)
		s.check(now, name, address, p)
	}
}
