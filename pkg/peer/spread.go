package peer

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxDocuments bounds the number of documents that are held.
const maxDocuments = 256

// askAgain is the time after which a document that did not come is asked for again.
const askAgain = time.Second

// publish takes a document that the store accepted.
func (s *State) publish(d Document) {
	if f := s.follow(d.name); f != nil {
		f.confirmed = true
	}
	s.offer(d)
}

// offer adopts a document if its revision is higher than the one in force; while the daemon has not heard enough to
// know the latest one, it only remembers it.
func (s *State) offer(d Document) {
	f := s.follow(d.name)
	if f != nil && !f.confirmed {
		if d.revision > f.candidate.revision {
			f.candidate = d
		}
		return
	}
	if d.revision <= s.documents[d.name].revision {
		return
	}
	if _, held := s.documents[d.name]; !held && len(s.documents) >= maxDocuments {
		s.counters.overLimit++
		return
	}
	s.documents[d.name] = d
	if len(s.follows) > 0 && s.follows[0].name == d.name {
		s.self.card.revision = d.revision
	}
	s.spread(rumour{document: d.name})
	s.emit(Adopt{d})
}

// held returns the highest revision of a document that this daemon has, in force or not.
func (s *State) held(name string) uint64 {
	revision := s.documents[name].revision
	if f := s.follow(name); f != nil {
		revision = max(revision, f.candidate.revision)
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

// revisions returns the revisions of all documents in force, by name.
func (s *State) revisions() []revision {
	revisions := make([]revision, 0, len(s.documents))
	for name, d := range s.documents {
		revisions = append(revisions, revision{name, d.revision})
	}
	slices.SortFunc(revisions, func(a, b revision) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	return revisions
}

// newer returns the revisions in force here that are higher than those that a message names.
func (s *State) newer(m Message) []revision {
	var higher []revision
	for _, r := range m.revisions {
		if d := s.documents[r.name]; d.revision > r.number {
			higher = append(higher, revision{r.name, d.revision})
		}
	}
	return higher
}

// wanted returns the documents that a message names in a higher revision than is held here.
func (s *State) wanted(now time.Time, m Message) []string {
	var names []string
	for _, r := range m.revisions {
		if r.number <= s.held(r.name) || slices.Contains(names, r.name) {
			continue
		}
		if a := s.asked[r.name]; a.revision >= r.number && now.Sub(a.at) < askAgain {
			continue
		}
		if len(s.asked) >= maxDocuments && s.asked[r.name].at.IsZero() {
			s.counters.overLimit++
			continue
		}
		s.asked[r.name] = asking{revision: r.number, at: now}
		names = append(names, r.name)
	}
	return names
}

// asking is the last request of a document to a peer.
type asking struct {
	revision uint64
	at       time.Time
}

// takeDocuments takes the documents in a message, and counts the message as an answer to a daemon that has just begun.
func (s *State) takeDocuments(now time.Time, m Message) {
	for _, d := range m.documents {
		s.offer(d)
	}
	tells := len(m.revisions) > 0 || m.digest == 0 || m.digest == s.digest()
	if !m.settled || !tells {
		return
	}
	for _, f := range s.follows {
		f.answered(now, m)
	}
}
