package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Route is the ways to an upstream, in the order in which they are tried until one establishes a connection.
type Route struct {
	isIndirect bool
	relays     []Peer
}

// IsDirect reports whether the first way is a connection of this daemon itself.
func (r Route) IsDirect() bool { return !r.isIndirect }

// Relays returns the peers that pass the request on if there is no direct way or if it fails.
func (r Route) Relays() []Peer { return r.relays }

// maxRelays is the number of peers of a route; some may have lost the same paths, which is not known at first.
const maxRelays = 2

// Route returns the route to an upstream. A request whose path may be lost goes through a peer too, and the path is checked.
func (s *State) Route(now time.Time, up Upstreams, upstream string) Route {
	return s.RouteWithin(now, up, upstream, func(string) bool { return true })
}

// RouteWithin returns the route to an upstream that uses only peers in the data centres that isAllowed reports.
func (s *State) RouteWithin(now time.Time, up Upstreams, upstream string, isAllowed func(centre string) bool) Route {
	relays := s.pickRelays(now, upstream, isAllowed)
	if len(relays) == 0 || relays[0].access == AccessNone {
		return Route{relays: relays}
	}
	isIndirect := s.IsLost(up, upstream)
	if name, _ := up.UpstreamAddress(upstream); !isIndirect && s.isDoubtful(name, s.paths[upstream]) {
		s.path(name, upstream).isCheckDue, isIndirect = true, true
	}
	return Route{isIndirect: isIndirect, relays: relays}
}

// Witness returns the peer through which an upstream is probed after a number of probes in a row were missed. Each number selects
// another peer.
func (s *State) Witness(now time.Time, upstream string, missed int) (Peer, bool) {
	candidates := slices.Clone(s.candidates(now))
	if len(candidates) == 0 {
		return Peer{}, false
	}
	slices.SortFunc(candidates, func(a, b Peer) int {
		return cmp.Or(
			cmp.Compare(xxhash.Sum64String(upstream+" "+a.name), xxhash.Sum64String(upstream+" "+b.name)),
			cmp.Compare(a.name, b.name))
	})
	return candidates[missed%len(candidates)], true
}

// candidates returns the peers that may pass requests on, those with the best access only.
func (s *State) candidates(now time.Time) []Peer {
	var best []Peer
	for _, p := range s.peers {
		if now.Before(s.avoidPeers[p.name]) {
			continue
		}
		if len(best) > 0 && p.access < best[0].access {
			best = best[:0]
		}
		if len(best) == 0 || p.access == best[0].access {
			best = append(best, p)
		}
	}
	return best
}

// pickRelays returns random peers for an upstream, larger ones more often. Peers in the own data centre are preferred, unless most of
// them can't pass requests on: the few others would carry the load of all.
func (s *State) pickRelays(now time.Time, upstream string, isAllowed func(centre string) bool) []Peer {
	var near, all []Peer
	for _, p := range s.candidates(now) {
		if now.Before(s.noPaths[pair{p.name, upstream}]) || !isAllowed(p.centre) {
			continue
		}
		all = append(all, p)
		if p.centre == s.centre {
			near = append(near, p)
		}
	}
	if 2*len(near) > s.countNear() {
		all = near
	}
	var relays []Peer
	for len(relays) < maxRelays && len(all) > 0 {
		i := s.pickWeighted(all)
		relays = append(relays, all[i])
		all = slices.Delete(all, i, i+1)
	}
	return relays
}

// countNear returns the number of live peers in the own data centre.
func (s *State) countNear() int {
	count := 0
	for _, p := range s.peers {
		if p.centre == s.centre {
			count++
		}
	}
	return count
}

// maxWeightShift limits the weight of large peers, whose resources are also used for other work.
const maxWeightShift = 3

// pickWeighted returns the index of a random peer, with a probability in proportion to its resources.
func (s *State) pickWeighted(peers []Peer) int {
	smallest := slices.MinFunc(peers, func(a, b Peer) int { return cmp.Compare(a.capacity, b.capacity) }).capacity
	weight := func(p Peer) int { return 1 << min(p.capacity-smallest, maxWeightShift) }
	sum := 0
	for _, p := range peers {
		sum += weight(p)
	}
	at := s.random.IntN(sum)
	for i, p := range peers {
		if at -= weight(p); at < 0 {
			return i
		}
	}
	return len(peers) - 1
}

// Through returns the route through some peers only.
func Through(relays ...Peer) Route { return Route{isIndirect: true, relays: relays} }
