package gateway

import (
	"time"

	"github.com/azurepond/azurepond/pkg/replica"
)

// The era of the store rises when the store is restored from an older snapshot. What was written since the copy is gone
// then, and its revisions are given out again, so answers of an earlier era are worthless.

// observeEra applies the era of an answer of the store, and reports whether the answer is not of an earlier one.
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
		s.shareStoreAccess(now)
		s.emit(StoreRestored{before, era})
	}
	return true
}
