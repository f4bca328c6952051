package gateway

import (
	"time"

	"github.com/azurepond/azurepond/pkg/replica"
)

// Requests that a peer without a path to an upstream sends through this daemon.

// The limits of requests that are passed on for peers.
const (
	maxRelayed  = 512                    // at once
	maxRelayLag = 250 * time.Millisecond // a daemon that is later than that has no processor time for more
)

// RelayID identifies a request that is passed on for a peer, unique within one daemon.
type RelayID uint64

// relayRequested decides whether a request of a peer is passed on.
func (s *State) relayRequested(now time.Time, e RelayRequested) {
	u, isListed := s.listing.entries[replica.ID(e.upstream)]
	decision := RelayDecided{id: e.id, upstream: e.upstream}
	switch {
	case !s.stopping.IsZero(), len(s.relayed) >= maxRelayed, s.lag.Recent(now) >= maxRelayLag:
		decision.refusal = RelayBusy
	case !isListed, s.relay.IsLost(s, e.upstream), e.isCall && (u.instance.Leaving() || s.isClosed(u)), s.dispatch.IsThrottling(now, e.upstream):
		decision.refusal = RelayUnfit
	default:
		decision.address = u.instance.Address()
		s.relayed[e.id] = true
	}
	s.emit(decision)
}

// RelayRefusal is why a request of a peer is not passed on.
type RelayRefusal uint8

// The reasons why a request of a peer is not passed on.
const (
	NotRefused RelayRefusal = iota
	RelayBusy               // this daemon passes no requests on now
	RelayUnfit              // this daemon has no path to the upstream, or must not send to it
)

var relayRefusalNames = [...]string{"none", "busy", "unfit"}

// String returns the reason as written to logs and answers.
func (r RelayRefusal) String() string { return relayRefusalNames[r] }
