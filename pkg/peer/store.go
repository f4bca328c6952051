package peer

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/azurepond/azurepond/pkg/jsontext"
	"github.com/azurepond/azurepond/pkg/object"
)

// The wait before a failed store request is retried, doubled with each failure.
const (
	minBackoff = time.Second
	maxBackoff = time.Minute
)

// storeTimeout is the time after which a read without a result counts as failed.
const storeTimeout = 5 * time.Second

// minAnsweringPeers is the number of peers that must answer before a daemon accepts their revision in place of the store.
const minAnsweringPeers = 3

// The time that a daemon waits for later revisions if only peers answer: as long as a revision takes to reach all members.
const (
	spreadPerMember = 40 * time.Millisecond
	minSpreadTime   = 3 * time.Second
	maxSpreadTime   = 12 * time.Second
)

// trackedDocument is the state of one document that this daemon must have.
type trackedDocument struct {
	DocumentSource
	confirmed       bool     // the revision in force is the latest, as far as can be known
	candidate       Document // the highest revision received before confirmed
	candidateSource string
	nextRead        time.Time
	retryAt         time.Time // no store request before then
	sentAt          time.Time
	answeredAt      time.Time  // when the store last answered
	ref             object.Ref // of the pending read or the watch, 0 for none
	watching        bool
	failures        int
	answeredBy      []string // peers that reported their revision
	highestReported uint64   // the highest revision that they reported
	firstAnswerAt   time.Time
}

// storeAge returns how long ago the store last answered for the document, 0 if it never did or does not hold it.
func (t *trackedDocument) storeAge(now time.Time) time.Duration {
	if t == nil || t.answeredAt.IsZero() {
		return 0
	}
	return now.Sub(t.answeredAt)
}

func (s *State) trackedDocument(name string) *trackedDocument {
	for _, t := range s.trackedDocuments {
		if t.name == name {
			return t
		}
	}
	return nil
}

// setStoreWatch starts or stops watching the documents in the store.
func (s *State) setStoreWatch(now time.Time, enabled bool) {
	if s.storeWatchDisabled == !enabled {
		return
	}
	s.storeWatchDisabled = !enabled
	if enabled {
		s.readDocuments(now)
		return
	}
	for _, t := range s.trackedDocuments {
		if t.watching {
			delete(s.storeRequests, t.ref)
			t.ref, t.watching, t.nextRead = 0, false, now.Add(s.jitter(s.settings.RereadInterval()))
		}
	}
	s.emit(StopWatches{})
}

// resyncDocuments makes this daemon request all documents again. Those in force stay in force meanwhile.
func (s *State) resyncDocuments(now time.Time) {
	for _, t := range s.trackedDocuments {
		t.confirmed = false
		t.answeredBy, t.highestReported = nil, 0
	}
	s.stopReads(now)
	s.documentRequests = map[string]documentRequest{}
}

// rereadDocuments reads all documents from the store again.
func (s *State) rereadDocuments(now time.Time) {
	s.stopReads(now)
	s.readDocuments(now)
}

// stopReads abandons the reads and watches of documents in the store. They are due again at once.
func (s *State) stopReads(now time.Time) {
	watching := false
	for _, t := range s.trackedDocuments {
		watching = watching || t.watching
		t.ref, t.watching, t.nextRead, t.retryAt, t.failures = 0, false, now, now, 0
	}
	s.storeRequests = map[object.Ref]*trackedDocument{}
	if watching {
		s.emit(StopWatches{})
	}
}

// readDocuments requests the documents that are due from the store.
func (s *State) readDocuments(now time.Time) {
	for _, t := range s.trackedDocuments {
		if t.ref != 0 && !t.watching && now.Sub(t.sentAt) > storeTimeout {
			s.handleStoreFailure(now, t)
		}
		if t.ref != 0 || now.Before(t.retryAt) {
			continue
		}
		if watch := t.confirmed && s.IsReader(now, t.name); watch || !now.Before(t.nextRead) {
			s.requestDocument(now, t, watch)
		}
	}
}

func (s *State) requestDocument(now time.Time, t *trackedDocument, watch bool) {
	s.nextRef++
	t.ref, t.sentAt, t.watching = s.nextRef, now, watch
	s.storeRequests[t.ref] = t
	if watch {
		s.emit(Store{object.NewWatch(t.ref, t.key)})
		return
	}
	s.emit(Store{object.NewGet(t.ref, t.key)})
}

// IsReader reports whether this daemon is one of those in its data centre that read the document called name from the
// store for the others.
func (s *State) IsReader(now time.Time, name string) bool {
	if !s.configured || s.storeWatchDisabled {
		return false
	}
	if s.settings.ReadersPerCentre() >= maxMembers {
		return true
	}
	if !s.isWarm(now) {
		return false
	}
	var candidates []*member
	for _, m := range s.live {
		if m.centre == s.self.centre && !m.leaving {
			candidates = append(candidates, m)
		}
	}
	key := hash(name)
	slices.SortFunc(candidates, func(a, b *member) int {
		if score(key, a.hash) > score(key, b.hash) {
			return -1
		}
		return 1
	})
	return slices.Contains(candidates[:min(s.settings.ReadersPerCentre(), len(candidates))], s.self)
}

// handleStoreResult applies the result of a store request.
func (s *State) handleStoreResult(now time.Time, result object.Result) {
	t := s.storeRequests[result.Ref()]
	if t == nil {
		return
	}
	switch r := result.(type) {
	case object.Found:
		s.handleDocumentData(t, r.Data())
	case object.StillCurrent:
	case object.Absent:
		t.confirmed = true
	default:
		s.handleStoreFailure(now, t)
		return
	}
	t.failures, t.answeredAt = 0, now
	if !t.watching {
		delete(s.storeRequests, t.ref)
		t.ref = 0
		t.nextRead = now.Add(s.jitter(s.settings.RereadInterval()))
	}
}

// handleDocumentData offers a document as read from the store.
func (s *State) handleDocumentData(t *trackedDocument, data []byte) {
	number, valid := revisionIn(data, t.revisionField)
	if !valid {
		s.counters.overLimit++
		return
	}
	t.confirmed = true
	s.offerDocument(t.candidateSource, t.candidate)
	s.offerDocument(StoreSource, NewDocument(t.name, number, data))
}

// revisionIn returns the number in a top-level field of a JSON object.
func revisionIn(data []byte, field string) (uint64, bool) {
	fields, err := jsontext.Fields(data)
	if err != nil {
		return 0, false
	}
	var number uint64
	err = json.Unmarshal(fields[field], &number)
	return number, err == nil && number > 0
}

func (s *State) handleStoreFailure(now time.Time, t *trackedDocument) {
	delete(s.storeRequests, t.ref)
	t.ref, t.watching = 0, false
	t.retryAt = now
	if t.failures > 0 || now.Sub(t.sentAt) < minBackoff { // a lost watch is replaced at once, unless it was just started
		t.retryAt = now.Add(s.jitter(min(minBackoff<<min(t.failures, 10), s.settings.MaxBackoff())))
	}
	t.nextRead = t.retryAt
	t.failures++
}

// jitter returns a random duration between 0.5 and 1.5 times mean.
func (s *State) jitter(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(s.random.Int64N(int64(mean)))
}

// recordAnswer records the revisions that a peer reported.
func (t *trackedDocument) recordAnswer(now time.Time, m Message) {
	if t.confirmed {
		return
	}
	if len(t.answeredBy) == 0 {
		t.firstAnswerAt = now
	}
	if !slices.Contains(t.answeredBy, m.from) && len(t.answeredBy) < maxMembers {
		t.answeredBy = append(t.answeredBy, m.from)
	}
	for _, r := range m.revisions {
		if r.name == t.name {
			t.highestReported = max(t.highestReported, r.number)
		}
	}
}

// confirmFromPeers confirms documents by the answers of peers while the store fails.
func (s *State) confirmFromPeers(now time.Time) {
	for _, t := range s.trackedDocuments {
		if t.confirmed || t.failures == 0 || len(t.answeredBy) == 0 || now.Sub(t.firstAnswerAt) < s.spreadTime() {
			continue
		}
		if s.hasEnoughAnswers(t) && s.highestRevision(t.name) >= t.highestReported {
			t.confirmed = true
			s.offerDocument(t.candidateSource, t.candidate)
		}
	}
}

// hasEnoughAnswers reports whether minAnsweringPeers, or all live peers if they are fewer, answered, in more than one data
// centre if there is more than one.
func (s *State) hasEnoughAnswers(t *trackedDocument) bool {
	centres, all := map[string]bool{}, map[string]bool{}
	for _, m := range s.live {
		all[m.centre] = true
		if slices.Contains(t.answeredBy, m.name) {
			centres[m.centre] = true
		}
	}
	return len(t.answeredBy) >= min(minAnsweringPeers, len(s.live)-1) && len(centres) >= min(2, len(all))
}

// spreadTime returns how long a revision takes to be in force on all members.
func (s *State) spreadTime() time.Duration {
	return min(max(minSpreadTime, time.Duration(len(s.allMembers))*spreadPerMember), maxSpreadTime)
}

// documentsSynced reports whether all documents that this daemon must have are the latest, as far as can be known.
func (s *State) documentsSynced() bool {
	return !slices.ContainsFunc(s.trackedDocuments, func(t *trackedDocument) bool { return !t.confirmed })
}
