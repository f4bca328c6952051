package gateway

import (
	"cmp"
	"time"
)

// Shares of the connections that the settings allow. The rest is for the store, and for orders and probes.
const (
	callerConnShare         = 0.65 // and for the connections to upstreams that their requests use
	idleUpstreamConnShare   = 0.08
	linkShare               = 0.1
	peerConnShare           = 0.05 // for requests that peers pass on
	administrationConnShare = 0.05 // for readiness checks, the directory and the metrics
)

// connLimiters limit the connections of each kind, so that none takes the descriptors of another one.
type connLimiters struct {
	callers, peers, administration connLimiter
}

// setLimits divides the connections that the settings allow, 0 for no limit. It returns the shares of idle connections to upstreams, and of
// inbound links.
func (l *connLimiters) setLimits(maxConnections int) (maxIdleUpstream, maxLinks int) {
	share := func(part float64) int {
		if maxConnections <= 0 {
			return 0
		}
		return max(int(part*float64(maxConnections)), 1)
	}
	l.callers.setLimit(share(callerConnShare))
	l.peers.setLimit(share(peerConnShare))
	l.administration.setLimit(share(administrationConnShare))
	return share(idleUpstreamConnShare), share(linkShare)
}

// closeIdle closes connections that are idle for too long; callerTimeout is that of the configuration, 0 for none.
func (l *connLimiters) closeIdle(now time.Time, callerTimeout time.Duration) {
	l.callers.closeIdle(now, cmp.Or(callerTimeout, defaultIdleTimeout))
	l.peers.closeIdle(now, defaultIdleTimeout)
	l.administration.closeIdle(now, defaultIdleTimeout)
}
