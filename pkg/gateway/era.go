package gateway

import (
	"time"

	"github.com/azurepond/azurepond/pkg/peer"
	"github.com/azurepond/azurepond/pkg/replica"
)

// The era of the store rises when the store is restored from an older snapshot. Later writes are lost then and their revisions are
// reused, so an answer of an earlier era can't be compared with one of the present era.

// observeEra applies the era of an answer of the store, and reports whether the answer may be used.
func (s *State) observeEra(now time.Time, era uint64) bool {
	switch {
	case era == 0 || era == s.storeEra:
		return true
	case era < s.storeEra:
		s.emit(StoreAnswerOutdated{era, s.storeEra})
		return false
	}
	before := s.storeEra
	s.storeEra = era
	s.reduceReplica(now, replica.NewStoreEra(era))
	if before != 0 {
		s.listing.restore(now)
		s.reducePeer(now, peer.NewRereadRequested())
		s.emit(StoreRestored{before, era})
	}
	return true
}
