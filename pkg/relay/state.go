package relay

import (
	"maps"
	"math/rand/v2"
	"time"
)

// Upstreams lists the upstreams that are known.
type Upstreams interface {
	// UpstreamNames returns the names of the upstreams of a service, sorted.
	UpstreamNames(service string) []string
	// UpstreamAddress returns the service of an upstream, and where it listens, as host:port; both are empty if it is unknown.
	UpstreamAddress(name string) (service, address string)
}

// State holds the paths of one daemon to the upstreams.
type State struct {
	random     *rand.Rand
	centre     string
	paths      map[string]*path    // those that are lost or were checked lately
	services   map[string]*service // those of which a path was lost lately
	lostCount  int
	access     Access
	impairedAt time.Time // when the access was last as bad as it is reported
	peers      []Peer
	avoidPeers map[string]time.Time // end of the backoff of a peer that did not pass a request on
	noPaths    map[pair]time.Time   // the same for peers that have no path to one upstream
	lag        time.Duration        // of this daemon
	effects    []Effect
}

// pair is a peer and an upstream.
type pair struct{ peer, upstream string }

// service holds what is known of the paths to all upstreams of a service.
type service struct {
	failed map[string]bool // upstreams to which a connection failed since one to any was established
	isCut  bool            // no connection to any upstream is established

	cutAt        time.Time // since when isCut
	cutFailures  int       // checks of random upstreams that were made and failed since then
	isConfirmed  bool      // a peer reaches one of them meanwhile
	sampledAt    time.Time // when random upstreams were last checked
	partialSince time.Time // since when a path is lost that a peer does not lack, zero if none is
}

// isVerified reports whether this daemon is cut from a service that a peer reaches. Some upstreams may have crashed together, so random
// ones must fail too.
func (v *service) isVerified() bool { return v.isCut && v.isConfirmed && v.cutFailures >= cutChecks }

// path is the path of this daemon to one upstream.
type path struct {
	service     string
	isLost      bool
	failures    int  // connections that failed in a row
	isConfirmed bool // a peer reaches the upstream meanwhile
	isChecking  bool
	isCheckDue  bool // a request was sent another way, as the path may be lost
	connectedAt time.Time
	checkedAt   time.Time
	nextCheck   time.Time // of a lost path
	interval    time.Duration
}

// lostInPart reports whether the path is lost while a peer reaches the upstream. One failed connection may be a lost packet.
func (p *path) lostInPart() bool { return p.isLost && p.isConfirmed && p.failures > 1 }

// randomStream separates the random numbers of this package from those of other packages with the same seed.
const randomStream = 17

// New returns the state of a daemon in a data centre, with a seed for random choices.
func New(centre string, seed uint64) State {
	return State{
		random: rand.New(rand.NewPCG(seed, randomStream)), centre: centre, paths: map[string]*path{},
		services: map[string]*service{}, avoidPeers: map[string]time.Time{}, noPaths: map[pair]time.Time{},
	}
}

// Reduce applies an event that happened at now and returns the effects to carry out, in order.
func (s *State) Reduce(now time.Time, up Upstreams, e Event) []Effect {
	s.effects = nil
	switch e := e.(type) {
	case Connected:
		s.handleConnected(now, up, e.upstream)
	case ConnectFailed:
		s.handleConnectFailed(now, up, e)
	case Suspected:
		s.suspect(now, up, e.upstream)
	case Answered:
		s.handleAnswered(up, e)
	case Failed:
		s.handleRelayFailed(now, e)
	case PeersChanged:
		s.peers = e.peers
	case Ticked:
		s.lag = e.lag
		s.tick(now, up)
	}
	s.refreshAccess(now)
	return s.effects
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// Access returns the access of this daemon to the upstreams.
func (s *State) Access() Access { return s.access }

// LostPaths returns the number of upstreams to which the path is lost.
func (s *State) LostPaths() int { return s.lostCount }

// IsLost reports whether the path to an upstream is lost.
func (s *State) IsLost(up Upstreams, upstream string) bool {
	if s.lostCount == 0 {
		return false
	}
	if p := s.paths[upstream]; p != nil && p.isLost {
		return true
	}
	name, _ := up.UpstreamAddress(upstream)
	return s.isCutFrom(name)
}

// IsCut reports whether this daemon is cut from all upstreams of the service of an upstream.
func (s *State) IsCut(up Upstreams, upstream string) bool {
	name, _ := up.UpstreamAddress(upstream)
	return s.isCutFrom(name)
}

func (s *State) isCutFrom(name string) bool { return s.services[name] != nil && s.services[name].isCut }

func (s *State) path(serviceName, upstream string) *path {
	p := s.paths[upstream]
	if p == nil {
		p = &path{service: serviceName}
		s.paths[upstream] = p
	}
	return p
}

func (s *State) service(name string) *service {
	v := s.services[name]
	if v == nil {
		v = &service{failed: map[string]bool{}}
		s.services[name] = v
	}
	return v
}

// cutThreshold is the number of upstreams of a service to which connections fail in a row, without one that is established, from which on
// a daemon is taken to be cut from all of them.
const cutThreshold = 3

// handleConnected ends the loss of a path. The other lost paths are checked at once, as they are often restored together.
func (s *State) handleConnected(now time.Time, up Upstreams, upstream string) {
	name, _ := up.UpstreamAddress(upstream)
	if v := s.services[name]; v != nil {
		clear(v.failed)
		if v.isCut {
			v.isCut, v.isConfirmed, v.cutFailures = false, false, 0
			s.checkAllAt(now, name)
		}
	}
	p := s.paths[upstream]
	if p == nil && s.isPartlyLost(name) {
		p = s.path(name, upstream)
	}
	if p == nil {
		return
	}
	if p.isLost {
		s.lostCount--
		s.emit(PathRestored{upstream})
	}
	*p = path{service: p.service, checkedAt: p.checkedAt, connectedAt: now}
}

func (s *State) isPartlyLost(serviceName string) bool {
	v := s.services[serviceName]
	return v != nil && !v.partialSince.IsZero()
}

// isDoubtful reports whether the path to an upstream may be lost: others of its service are, and this one was not used since.
func (s *State) isDoubtful(serviceName string, p *path) bool {
	return s.isPartlyLost(serviceName) && (p == nil || p.connectedAt.Before(s.services[serviceName].partialSince))
}

// checkAllAt makes the checks of all lost paths to a service due at a time.
func (s *State) checkAllAt(at time.Time, serviceName string) {
	for _, p := range s.paths {
		if p.service == serviceName {
			p.nextCheck, p.interval = at, minCheckInterval
		}
	}
}

// The time that a connection takes at a daemon that is late itself.
const (
	connectTime  = 100 * time.Millisecond // dozens of round trips
	connectWaits = 3                      // how often a connection waits for this daemon
)

// handleConnectFailed takes a path for lost. It checks some other upstreams of the service, to learn whether this daemon is cut from all.
func (s *State) handleConnectFailed(now time.Time, up Upstreams, e ConnectFailed) {
	name, address := up.UpstreamAddress(e.upstream)
	if address == "" {
		return
	}
	p, v := s.path(name, e.upstream), s.service(name)
	wasCheck := p.isChecking
	p.isChecking = false
	if e.timeout > 0 && e.timeout < connectTime+connectWaits*s.lag {
		return
	}
	v.failed[e.upstream] = true
	p.failures++
	if !p.isLost {
		p.isLost, p.interval = true, minCheckInterval
		s.lostCount++
		s.emit(PathLost{e.upstream})
	}
	p.nextCheck = now.Add(p.interval)
	switch {
	case v.isCut && wasCheck && !p.checkedAt.Before(v.cutAt):
		v.cutFailures++
	case v.isCut:
	case len(v.failed) >= min(cutThreshold, len(up.UpstreamNames(name))):
		v.isCut, v.cutAt = true, now
		s.sample(now, up, name, cutChecks)
	case now.Sub(v.sampledAt) >= sampleInterval:
		s.sample(now, up, name, cutThreshold)
	}
}

// handleAnswered records that a peer reaches an upstream, so that a failed connection of this daemon was the fault of its path.
func (s *State) handleAnswered(up Upstreams, e Answered) {
	delete(s.noPaths, pair{e.peer, e.upstream})
	name, _ := up.UpstreamAddress(e.upstream)
	if s.isCutFrom(name) {
		s.services[name].isConfirmed = true
	}
	if p := s.paths[e.upstream]; p != nil && p.isLost {
		p.isConfirmed = true
	}
}

// How long a peer gets no requests that did not pass one on.
const (
	noRelayBackoff = time.Second
	noPathBackoff  = 2 * time.Second
)

func (s *State) handleRelayFailed(now time.Time, e Failed) {
	switch e.failure {
	case NoRelay:
		s.avoidPeers[e.peer] = now.Add(noRelayBackoff)
	case Unfit, NoPath:
		s.noPaths[pair{e.peer, e.upstream}] = now.Add(noPathBackoff)
	}
}

// impairedHold is how long the access of a daemon is reported as before after it became better, so that the lead does not change back and
// forth.
const impairedHold = 3 * time.Second

// refreshAccess determines the access of this daemon. A lost path counts if a peer reaches its upstream meanwhile.
func (s *State) refreshAccess(now time.Time) {
	access := AccessFull
	if s.lostCount > 0 || s.access != AccessFull {
		access = s.refreshPartial(now)
	}
	for _, v := range s.services {
		if v.isVerified() {
			access = AccessNone
		}
	}
	if access >= s.access {
		s.impairedAt = now
	} else if now.Sub(s.impairedAt) < impairedHold {
		access = s.access
	}
	if access != s.access {
		s.access = access
		s.emit(AccessChanged{access, s.lostCount})
	}
}

// refreshPartial determines which services this daemon lost paths of that a peer does not lack.
func (s *State) refreshPartial(now time.Time) Access {
	access := AccessFull
	isPartial := map[string]bool{}
	for _, p := range s.paths {
		isPartial[p.service] = isPartial[p.service] || p.lostInPart()
	}
	for name, v := range s.services {
		switch {
		case !isPartial[name]:
			v.partialSince = time.Time{}
		case v.partialSince.IsZero():
			v.partialSince = now
		}
		if isPartial[name] {
			access = AccessSome
		}
	}
	return access
}

// pathMemory is how long a path is remembered that was checked and is not lost.
const pathMemory = 5 * time.Second

// forget removes the paths of upstreams that are no longer known, and backoffs that have ended.
func (s *State) forget(now time.Time, up Upstreams) {
	for name, p := range s.paths {
		_, address := up.UpstreamAddress(name)
		if address != "" && (p.isLost || s.isPartlyLost(p.service) || now.Sub(p.checkedAt) < pathMemory) {
			continue
		}
		if p.isLost {
			s.lostCount--
		}
		delete(s.paths, name)
		delete(s.service(p.service).failed, name)
	}
	for name, v := range s.services {
		v.isCut = v.isCut && len(v.failed) > 0
		if len(v.failed) == 0 && v.partialSince.IsZero() && now.Sub(v.sampledAt) >= sampleInterval {
			delete(s.services, name)
		}
	}
	maps.DeleteFunc(s.avoidPeers, func(_ string, until time.Time) bool { return !now.Before(until) })
	maps.DeleteFunc(s.noPaths, func(_ pair, until time.Time) bool { return !now.Before(until) })
}
