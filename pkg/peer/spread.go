package peer

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxDocuments limits the documents in force, the pending requests of documents and the documents in one message.
const maxDocuments = 256

// requestRetryInterval is the time after which an unanswered request to a peer is repeated.
const requestRetryInterval = time.Second

// publishDocument offers a document that the store accepted.
func (s *State) publishDocument(d Document) {
	if t := s.trackedDocument(d.name); t != nil {
		t.confirmed = true
	}
	s.offerDocument(StoreSource, d)
}

// offerDocument adopts a document of source if its revision is higher than the one in force. A daemon that has none in force yet keeps
// it as a candidate until the latest revision is confirmed: it may have had a later one before its start.
func (s *State) offerDocument(source string, d Document) {
	t := s.trackedDocument(d.name)
	if t != nil && !t.confirmed && s.documents[d.name].revision == 0 {
		if d.revision > t.candidate.revision {
			t.candidate, t.candidateSource = d, source
		}
		return
	}
	if d.revision <= s.documents[d.name].revision {
		return
	}
	if _, known := s.documents[d.name]; !known && len(s.documents) >= maxDocuments {
		s.counters.overLimit++
		return
	}
	s.documents[d.name] = d
	if len(s.trackedDocuments) > 0 && s.trackedDocuments[0].name == d.name {
		s.self.memberInfo.revision = d.revision
	}
	s.queueUpdate(update{document: d.name})
	s.emit(Adopt{d, source, t.storeAge(s.lastEventAt)})
}

// highestRevision returns the highest revision of a document that this daemon has, in force or not.
func (s *State) highestRevision(name string) uint64 {
	revision := s.documents[name].revision
	if t := s.trackedDocument(name); t != nil {
		revision = max(revision, t.candidate.revision)
	}
	return revision
}

// digest returns a hash of the names and revisions of all documents in force.
func (s *State) digest() uint32 {
	var sum uint64
	for name, d := range s.documents {
		sum += xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(name), d.revision))
	}
	return uint32(sum)
}

// revisions returns the revisions of all documents in force, sorted by name.
func (s *State) revisions() []documentRevision {
	revisions := make([]documentRevision, 0, len(s.documents))
	for name, d := range s.documents {
		revisions = append(revisions, documentRevision{name, d.revision})
	}
	slices.SortFunc(revisions, func(a, b documentRevision) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	return revisions
}

// newerRevisions returns the revisions in force here that are higher than those that a message names.
func (s *State) newerRevisions(m Message) []documentRevision {
	var higher []documentRevision
	for _, r := range m.revisions {
		if d := s.documents[r.name]; d.revision > r.number {
			higher = append(higher, documentRevision{r.name, d.revision})
		}
	}
	return higher
}

// missingDocuments returns the documents that a message names with a higher revision than the highest one here.
func (s *State) missingDocuments(now time.Time, m Message) []string {
	var names []string
	for _, r := range m.revisions {
		if r.number <= s.highestRevision(r.name) || slices.Contains(names, r.name) {
			continue
		}
		if last := s.documentRequests[r.name]; last.revision >= r.number && now.Sub(last.sentAt) < requestRetryInterval {
			continue
		}
		if len(s.documentRequests) >= maxDocuments && s.documentRequests[r.name].sentAt.IsZero() {
			s.counters.overLimit++
			continue
		}
		s.documentRequests[r.name] = documentRequest{revision: r.number, sentAt: now}
		names = append(names, r.name)
	}
	return names
}

// documentRequest is the last request of a document from a peer.
type documentRequest struct {
	revision uint64
	sentAt   time.Time
}

// acceptDocuments offers the documents in a message. A message from a synced peer that reports its revisions also counts
// as an answer, by which confirmFromPeers may confirm a document while the store fails.
func (s *State) acceptDocuments(now time.Time, m Message) {
	for _, d := range m.documents {
		s.offerDocument(m.from, d)
	}
	reportsRevisions := len(m.revisions) > 0 || m.digest == 0 || m.digest == s.digest()
	if !m.synced || !reportsRevisions {
		return
	}
	for _, t := range s.trackedDocuments {
		t.recordAnswer(now, m)
	}
}
