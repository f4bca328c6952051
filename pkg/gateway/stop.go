package gateway

import (
	"time"

	"github.com/azurepond/azurepond/pkg/dispatch"
	"github.com/azurepond/azurepond/pkg/peer"
)

// Shutdown is the times of a graceful shutdown, all from the signal on.
type Shutdown struct {
	callersLeave time.Duration
	refusal      time.Duration
	end          time.Duration
}

// NewShutdown returns the times of a shutdown: until callersLeave, callers have the daemon in their address lists; from refusal on, it
// refuses all new requests; at the end, it closes all connections.
func NewShutdown(callersLeave, refusal, end time.Duration) Shutdown {
	return Shutdown{callersLeave, refusal, end}
}

// stop begins a graceful shutdown: the daemon is no longer advertised to callers, but still serves the requests of callers
// with an old address list.
func (s *State) stop(now, signalledAt time.Time) {
	if !s.stopping.IsZero() {
		return
	}
	s.stopping = signalledAt
	s.shutdown = s.settings.shutdown
	s.emit(StopScheduled{signalledAt.Add(s.shutdown.end)})
	s.reducePeer(now, peer.NewLeaving())
	s.reduceDispatch(now, dispatch.NewStopping(
		dispatch.NewShutdown(
			signalledAt.Add(s.shutdown.callersLeave), signalledAt.Add(s.shutdown.refusal), signalledAt.Add(s.shutdown.end))))
	s.refreshReady()
	s.members.refreshedAt = time.Time{}
	s.refreshMembers(now)
}

// proceedStop stops when no request is active, once all new requests are refused.
func (s *State) proceedStop(now time.Time) {
	if s.stopping.IsZero() || s.stopped || now.Sub(s.stopping) < s.shutdown.refusal {
		return
	}
	if !s.stoppedAccepting {
		s.stoppedAccepting = true
		s.emit(StopAccepting{})
	}
	if s.dispatch.Active()+len(s.relayed) == 0 {
		s.stopped = true
		s.emit(Stopped{})
	}
}
