package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/azurepond/azurepond/pkg/dispatch"
	"github.com/azurepond/azurepond/pkg/peer"
	"github.com/azurepond/azurepond/pkg/relay"
	"github.com/azurepond/azurepond/pkg/replica"
)

// A daemon may lose its paths to upstreams that its peers still reach. Its calls, orders and probes go through a peer then, and its own
// failed probes are no evidence that an upstream is dead.

func (s *State) reduceRelay(now time.Time, e relay.Event) {
	for _, effect := range s.relay.Reduce(now, s, e) {
		switch effect := effect.(type) {
		case relay.PathLost:
			s.reduceDispatch(now, dispatch.NewPathLost(effect.Upstream()))
		case relay.AccessChanged:
			s.members.refreshedAt = time.Time{}
			s.shareAccess(now)
		}
		s.emit(RelayEffect{effect})
	}
}

// UpstreamNames returns the names of the listed upstreams of a service, sorted.
func (s *State) UpstreamNames(service string) []string {
	if s.namesByService == nil {
		s.namesByService = map[string][]string{}
		for id, u := range s.listing.entries {
			s.namesByService[u.service] = append(s.namesByService[u.service], string(id))
		}
		for _, names := range s.namesByService {
			slices.Sort(names)
		}
	}
	return s.namesByService[service]
}

// UpstreamAddress returns the service and the address of a listed upstream.
func (s *State) UpstreamAddress(name string) (service, address string) {
	u := s.listing.entries[replica.ID(name)]
	return u.service, u.instance.Address()
}

// refreshRelays tells pkg/relay which peers may pass requests on.
func (s *State) refreshRelays(now time.Time, fresh []peer.Member) {
	var peers []relay.Peer
	for _, m := range fresh {
		if !m.Leaving() && m.RelayAddress() != "" {
			peers = append(peers, relay.NewPeer(m.Name(), m.RelayAddress(), m.Centre()).
				WithCapacity(m.Capacity()).WithAccess(s.pathAccessOf(now, m.Name())))
		}
	}
	s.reduceRelay(now, relay.NewPeersChanged(peers))
}

// pathAccessOf returns the access of a daemon to the upstreams; peers that report none have full access.
func (s *State) pathAccessOf(now time.Time, name string) relay.Access {
	if name == s.members.self {
		return s.relay.Access()
	}
	if reported := s.members.outages[name]; now.Before(reported.until) {
		return reported.paths
	}
	return relay.AccessFull
}

// byPaths orders daemons by their access to the upstreams, the best first; those with the same access keep their order.
func (s *State) byPaths(now time.Time, ranking []peer.Member) []peer.Member {
	ordered := slices.Clone(ranking)
	slices.SortStableFunc(ordered, func(a, b peer.Member) int {
		return cmp.Compare(s.pathAccessOf(now, a.Name()), s.pathAccessOf(now, b.Name()))
	})
	return ordered
}

// wayOfOrder returns the peer through which an order goes, none if it goes directly.
func (s *State) wayOfOrder(now time.Time, id replica.ID) relay.Peer {
	if way := s.relay.Route(now, s, string(id)); !way.IsDirect() {
		return way.Relays()[0]
	}
	return relay.Peer{}
}

// wayOfProbe returns the peer through which a probe goes, none if it goes directly. After a missed probe, other daemons probe.
func (s *State) wayOfProbe(now time.Time, probe replica.Probe) relay.Peer {
	if probe.Missed() == 0 {
		return s.wayOfOrder(now, probe.ID())
	}
	witness, _ := s.relay.Witness(now, string(probe.ID()), probe.Missed())
	return witness
}

// probeEnded handles the result of a probe. A probe is no evidence of a death if the daemon that missed it has no path.
func (s *State) probeEnded(now time.Time, e ProbeEnded) {
	upstream, result, isEvidence := string(e.result.ID()), e.result, true
	switch {
	case e.via == "" && result.Answered():
		s.reduceRelay(now, relay.NewConnected(upstream))
	case e.via == "":
		s.reduceRelay(now, relay.NewSuspected(upstream))
		isEvidence = !s.relay.IsCut(s, upstream)
	case result.Answered():
		s.reduceRelay(now, relay.NewAnswered(e.via, upstream))
	default:
		s.reduceRelay(now, relay.NewFailed(e.via, upstream, e.failure))
		isEvidence = e.failure == relay.NoPath
	}
	if !isEvidence {
		result = replica.NewProbeInconclusive(result.ID())
	}
	wasDead := s.replica.IsDead(result.ID())
	s.reduceReplica(now, result)
	switch {
	case result.Answered():
		s.watchedAnswered(now, result.ID())
		if wasDead && s.replica.Leading() {
			s.reducePeer(now, peer.NewFactShared(aliveTopic, upstream, []byte{1}, now.Add(deadFactTTL)))
		}
	case isEvidence:
		s.watchedMissed(now, result.ID())
	}
}
