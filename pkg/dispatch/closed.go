package dispatch

import (
	"maps"
	"slices"
	"time"
)

// UpstreamsClosed reports that upstreams get no further requests from now on, since their data centre is evacuated. Running attempts go on.
type UpstreamsClosed struct{}

// NewUpstreamsClosed returns the event that Upstreams no longer lists the upstreams of an evacuated data centre.
func NewUpstreamsClosed() UpstreamsClosed { return UpstreamsClosed{} }

func (UpstreamsClosed) isEvent() {}

// handleUpstreamsClosed places the waiting calls again that have no upstream left where they wait, which refuses those that can't be
// served. Granted slots are checked when they are used.
func (s *State) handleUpstreamsClosed(now time.Time, up Upstreams) {
	for _, c := range slices.Clone(s.queue) {
		if !s.hasUntried(up, c) {
			s.dequeue(c)
			s.place(now, up, c)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.pendingSlots)) {
		pending := s.pendingSlots[id]
		if !pending.isQueued || s.hasReplicas(up, SlotRequest{shard: pending.shard, regions: pending.call.regions}) {
			continue // the reply or its timeout follows within milliseconds
		}
		delete(s.pendingSlots, id)
		if s.calls[pending.call.id] == pending.call {
			s.place(now, up, pending.call)
		}
	}
}
