package gateway

import (
	"time"

	"github.com/azurepond/azurepond/pkg/dispatch"
	"github.com/azurepond/azurepond/pkg/peer"
)

// stop begins the planned stop: callers are sent elsewhere, and what comes by old address lists is still served.
func (s *State) stop(now time.Time) {
	if !s.stopping.IsZero() {
		return
	}
	s.stopping = now
	s.toPeer(now, peer.NewLeaving())
	s.refreshReady()
	s.members.checked = time.Time{}
	s.refreshMembers(now)
}

// proceedStop refuses new requests once address lists that name this daemon have lapsed, and ends when nothing runs.
func (s *State) proceedStop(now time.Time) {
	if s.stopping.IsZero() || s.stopped || now.Sub(s.stopping) < s.identity.shutdownDelay {
		return
	}
	if !s.refusing {
		s.refusing = true
		s.toDispatch(now, dispatch.NewStopping())
		s.emit(StopAccepting{})
	}
	if s.dispatch.Active() == 0 {
		s.stopped = true
		s.emit(Stopped{})
	}
}
