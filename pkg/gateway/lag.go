package gateway

import (
	"time"

	"github.com/azurepond/azurepond/pkg/dispatch"
	"github.com/azurepond/azurepond/pkg/replica"
)

// A daemon that lacks processor time reads the answers of others late. Its timeouts allow for that, so that it does not take its own
// delay for their silence.

// minLag is the shortest lag that the timeouts of this daemon allow for.
const minLag = 5 * time.Millisecond // twice the round trip to an upstream

// minPause is the shortest time without a tick that counts as a pause of this daemon.
const minPause = 4 * TickInterval

// discountPause takes a pause of this daemon off the time for which others have been silent.
func (s *State) discountPause(pause time.Duration) {
	m := &s.members
	if !m.unackedSince.IsZero() {
		m.unackedSince = m.unackedSince.Add(pause)
	}
	for name, at := range m.receivedAt {
		m.receivedAt[name] = at.Add(pause)
	}
	s.listSync.receivedAt = s.listSync.receivedAt.Add(pause)
	s.listSync.watch.discountPause(pause)
	s.evacuations.watch.discountPause(pause)
	s.configWatch.discountPause(pause)
}

// observeLag records how late this daemon handles a tick, or how long the next one is overdue.
func (s *State) observeLag(now time.Time, e Event) {
	due := s.nextTick
	if tick, isTick := e.(Ticked); isTick {
		if pause := now.Sub(due); !due.IsZero() && pause >= minPause {
			s.discountPause(pause)
		}
		due, s.nextTick = tick.due, now.Add(TickInterval)
	}
	if due.IsZero() || !now.After(due) {
		return
	}
	lag := now.Sub(due)
	s.lag.Observe(now, lag)
	if lag >= minLag {
		s.reduceReplica(now, replica.NewDelayed(lag))
		s.reduceDispatch(now, dispatch.NewDelayed(lag))
	}
}
