package gateway

import (
	"time"

	"github.com/azurepond/azurepond/pkg/object"
	"github.com/azurepond/azurepond/pkg/peer"
)

// A connection may fall silent without a reset while new ones work. The store answers each call of a watch after a known time, also
// if nothing changed, so a watch without answers is replaced by one over a new connection.

// silentWatchFactor times the wait of its calls is how long a watch may be without an answer.
const silentWatchFactor = 1.5

// replacementTimeout is how long the first answer to the watch that replaces a silent one may take, until the store counts as
// unreachable. A store that only lost connections answers within a few round trips.
const replacementTimeout = 300 * time.Millisecond

// storeWatch is when the store last answered a watch; the zero value is a watch that was not answered yet.
type storeWatch struct {
	ref        object.Ref // of the watch of an object, 0 for none
	answeredAt time.Time
	replacedAt time.Time // when it replaced a silent watch, zero if it did not or was answered since
}

// silence returns how long a watch that was answered before has been silent.
func (w storeWatch) silence(now time.Time) time.Duration {
	if w.answeredAt.IsZero() {
		return 0
	}
	return now.Sub(w.answeredAt)
}

// discountPause takes a pause of this daemon off the silence of the watch.
func (w *storeWatch) discountPause(pause time.Duration) {
	if !w.answeredAt.IsZero() {
		w.answeredAt = w.answeredAt.Add(pause)
	}
	if !w.replacedAt.IsZero() {
		w.replacedAt = w.replacedAt.Add(pause)
	}
}

// observeConfigWatch records an answer to the watch of the configuration.
func (s *State) observeConfigWatch(now time.Time, result object.Result) {
	if s.configWatch.ref == 0 || result.Ref() != s.configWatch.ref {
		return
	}
	switch result.(type) {
	case object.Found, object.Absent, object.StillCurrent:
		s.configWatch.answeredAt = now
	default:
		s.configWatch = storeWatch{}
	}
}

// replaceListWatches replaces the watches of the list and of the evacuated data centres, since one of them is silent.
func (s *State) replaceListWatches(now time.Time, name string, silence time.Duration) {
	s.listSync.watch, s.evacuations.watch = storeWatch{replacedAt: now}, storeWatch{}
	s.emit(ResetStore{name, silence})
	s.emit(WatchUpstreams{s.listSync.watchInterval})
}

// replaceSilentWatches replaces the watches that were not answered in time.
func (s *State) replaceSilentWatches(now time.Time) {
	if s.settings.watchWait == 0 {
		return
	}
	limit := time.Duration(silentWatchFactor*float64(s.settings.watchWait)) + s.lag.Recent(now)
	if silence := s.configWatch.silence(now); silence > limit {
		s.configWatch = storeWatch{}
		s.emit(ResetStore{configDocument, silence})
		s.reducePeer(now, peer.NewRereadRequested())
	}
	listLimit := limit + s.listSync.watchInterval
	if silence := s.listSync.watch.silence(now); silence > listLimit {
		s.replaceListWatches(now, "upstreams", silence)
	}
	if silence := s.evacuations.watch.silence(now); silence > listLimit {
		s.replaceListWatches(now, "evacuations", silence)
	}
	if w := s.listSync.watch; !w.replacedAt.IsZero() && now.Sub(w.replacedAt) > replacementTimeout+s.lag.Recent(now) {
		s.listFailed(now)
	}
}
