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

// The memory that connections of callers may take, and that of each: its buffers, its goroutine and what its head takes beside the pool.
const (
	callerConnMemoryShare = 0.5
	callerConnMemory      = 32 << 10
)

// connLimiters limit the connections of each kind, so that none takes the descriptors of another one.
type connLimiters struct {
	callers, peers, administration connLimiter
}

// setLimits divides the connections that the settings allow, 0 for no limit, for an instance with memoryBytes, 0 if unknown. It returns the
// shares of idle connections to upstreams, and of inbound links.
func (l *connLimiters) setLimits(maxConnections int, memoryBytes int64) (maxIdleUpstream, maxLinks int) {
	share := func(part float64) int {
		if maxConnections <= 0 {
			return 0
		}
		return max(int(part*float64(maxConnections)), 1)
	}
	l.callers.setLimit(atMost(share(callerConnShare), int(callerConnMemoryShare*float64(memoryBytes))/callerConnMemory))
	l.peers.setLimit(share(peerConnShare))
	l.administration.setLimit(share(administrationConnShare))
	return share(idleUpstreamConnShare), share(linkShare)
}

// atMost returns the lower of two limits, of which 0 is none.
func atMost(a, b int) int {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// closeIdle closes connections that are idle for too long; callerTimeout is that of the configuration, 0 for none.
func (l *connLimiters) closeIdle(now time.Time, callerTimeout time.Duration) {
	l.callers.closeIdle(now, cmp.Or(callerTimeout, defaultIdleTimeout))
	l.peers.closeIdle(now, defaultIdleTimeout)
	l.administration.closeIdle(now, defaultIdleTimeout)
}
