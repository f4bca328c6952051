package gateway

import (
	"time"

	"github.com/azurepond/azurepond/pkg/dispatch"
	"github.com/azurepond/azurepond/pkg/peer"
)

// stop begins a graceful shutdown: the daemon is no longer advertised to callers, but still serves the requests of callers
// with an old address list.
func (s *State) stop(now time.Time) {
	if !s.stopping.IsZero() {
		return
	}
	s.stopping = now
	s.reducePeer(now, peer.NewLeaving())
	s.refreshReady()
	s.members.refreshedAt = time.Time{}
	s.refreshMembers(now)
}

// proceedStop refuses new requests once address lists that contain this daemon have expired, and stops when no request is
// active.
func (s *State) proceedStop(now time.Time) {
	if s.stopping.IsZero() || s.stopped || now.Sub(s.stopping) < s.settings.shutdownDelay {
		return
	}
	if !s.stoppedAccepting {
		s.stoppedAccepting = true
		s.reduceDispatch(now, dispatch.NewStopping())
		s.emit(StopAccepting{})
	}
	if s.dispatch.Active()+len(s.relayed) == 0 {
		s.stopped = true
		s.emit(Stopped{})
	}
}
