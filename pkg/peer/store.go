package peer

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/azurepond/azurepond/pkg/object"
)

// The wait before the store is asked again after it failed, doubled with each failure.
const (
	minBackoff = time.Second
	maxBackoff = time.Minute
)

// answerTime is the time after which a read without any result counts as failed.
const answerTime = 5 * time.Second

// enoughPeers is the number of peers that a daemon hears before it goes by them in place of the store.
const enoughPeers = 3

// The time that a daemon waits for later revisions when only peers answer: as long as a revision takes to spread.
const (
	spreadPerMember = 40 * time.Millisecond
	minSpread       = 3 * time.Second
	maxSpread       = 12 * time.Second
)

// follow is the state of one document that this daemon must hold.
type follow struct {
	DocumentSource
	confirmed bool      // the revision held is the latest, as far as can be known
	candidate Document  // the highest revision heard of before confirmed
	due       time.Time // next read
	notBefore time.Time // the store is left alone until then
	sent      time.Time
	ref       object.Ref // of the read or watch that is under way, 0 for none
	watching  bool
	failures  int
	answers   []string // peers that told their revision
	announced uint64   // the highest revision that they named
	answerAt  time.Time
}

func (s *State) follow(name string) *follow {
	for _, f := range s.follows {
		if f.name == name {
			return f
		}
	}
	return nil
}

// watchDocuments begins or ends watching the documents in the store.
func (s *State) watchDocuments(now time.Time, on bool) {
	if s.unwatched == !on {
		return
	}
	s.unwatched = !on
	if on {
		s.readDocuments(now)
		return
	}
	for _, f := range s.follows {
		if f.watching {
			delete(s.requests, f.ref)
			f.ref, f.watching, f.due = 0, false, now.Add(s.jitter(s.settings.RereadInterval()))
		}
	}
	s.emit(StopWatches{})
}

// unsettle makes this daemon ask afresh for all documents; what is in force stays in force until it has heard.
func (s *State) unsettle(now time.Time) {
	for _, f := range s.follows {
		f.confirmed = false
		f.answers, f.announced = nil, 0
		f.ref, f.watching, f.due, f.notBefore, f.failures = 0, false, now, now, 0
	}
	s.requests = map[object.Ref]*follow{}
	s.asked = map[string]asking{}
}

// readDocuments asks the store for the documents that are due.
func (s *State) readDocuments(now time.Time) {
	for _, f := range s.follows {
		if f.ref != 0 && !f.watching && now.Sub(f.sent) > answerTime {
			s.failed(now, f)
		}
		if f.ref != 0 || now.Before(f.notBefore) {
			continue
		}
		if watch := f.confirmed && s.IsReader(now, f.name); watch || !now.Before(f.due) {
			s.ask(now, f, watch)
		}
	}
}

func (s *State) ask(now time.Time, f *follow, watch bool) {
	s.nextRef++
	f.ref, f.sent, f.watching = s.nextRef, now, watch
	s.requests[f.ref] = f
	if watch {
		s.emit(Store{object.NewWatch(f.ref, f.key)})
		return
	}
	s.emit(Store{object.NewGet(f.ref, f.key)})
}

// IsReader reports whether this daemon is among those of its data centre that bring the document called name from the
// platform to the others.
func (s *State) IsReader(now time.Time, name string) bool {
	if !s.configured || s.unwatched {
		return false
	}
	if s.settings.ReadersPerCentre() >= maxMembers {
		return true
	}
	if !s.warm(now) {
		return false
	}
	var near []*member
	for _, m := range s.live {
		if m.centre == s.self.centre && !m.leaving {
			near = append(near, m)
		}
	}
	key := hash(name)
	slices.SortFunc(near, func(a, b *member) int {
		if score(key, a.hash) > score(key, b.hash) {
			return -1
		}
		return 1
	})
	return slices.Contains(near[:min(s.settings.ReadersPerCentre(), len(near))], s.self)
}

// resulted takes the answer of the store.
func (s *State) resulted(now time.Time, result object.Result) {
	f := s.requests[result.Ref()]
	if f == nil {
		return
	}
	switch r := result.(type) {
	case object.Found:
		s.read(f, r.Data())
	case object.Absent:
		f.confirmed = true
	default:
		s.failed(now, f)
		return
	}
	f.failures = 0
	if !f.watching {
		delete(s.requests, f.ref)
		f.ref = 0
		f.due = now.Add(s.jitter(s.settings.RereadInterval()))
	}
}

// read takes a document as the store holds it.
func (s *State) read(f *follow, data []byte) {
	number, valid := revisionIn(data, f.revisionField)
	if !valid {
		s.counters.overLimit++
		return
	}
	f.confirmed = true
	s.offer(f.candidate)
	s.offer(NewDocument(f.name, number, data))
}

// revisionIn returns the number in a top-level field of a JSON object.
func revisionIn(data []byte, field string) (uint64, bool) {
	var fields map[string]json.RawMessage
	if json.Unmarshal(data, &fields) != nil {
		return 0, false
	}
	var number uint64
	err := json.Unmarshal(fields[field], &number)
	return number, err == nil && number > 0
}

func (s *State) failed(now time.Time, f *follow) {
	delete(s.requests, f.ref)
	f.ref, f.watching = 0, false
	f.notBefore = now.Add(s.jitter(min(minBackoff<<min(f.failures, 10), s.settings.MaxBackoff())))
	f.due = f.notBefore
	f.failures++
}

// jitter returns a random duration between half and one and a half of mean.
func (s *State) jitter(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(s.random.Int64N(int64(mean)))
}

// answered notes that a peer told which revisions it holds.
func (f *follow) answered(now time.Time, m Message) {
	if f.confirmed {
		return
	}
	if len(f.answers) == 0 {
		f.answerAt = now
	}
	if !slices.Contains(f.answers, m.from) && len(f.answers) < maxMembers {
		f.answers = append(f.answers, m.from)
	}
	for _, r := range m.revisions {
		if r.name == f.name {
			f.announced = max(f.announced, r.number)
		}
	}
}

// settle goes by the peers' word for the documents that the store does not tell.
func (s *State) settle(now time.Time) {
	for _, f := range s.follows {
		if f.confirmed || f.failures == 0 || len(f.answers) == 0 || now.Sub(f.answerAt) < s.spreadTime() {
			continue
		}
		if s.heardEnough(f) && s.held(f.name) >= f.announced {
			f.confirmed = true
			s.offer(f.candidate)
		}
	}
}

// heardEnough reports whether several peers answered, in more than one data centre if there is more than one.
func (s *State) heardEnough(f *follow) bool {
	centres, all := map[string]bool{}, map[string]bool{}
	for _, m := range s.live {
		all[m.centre] = true
		if slices.Contains(f.answers, m.name) {
			centres[m.centre] = true
		}
	}
	return len(f.answers) >= min(enoughPeers, len(s.live)-1) && len(centres) >= min(2, len(all))
}

// spreadTime returns how long a revision takes to be in force everywhere.
func (s *State) spreadTime() time.Duration {
	return min(max(minSpread, time.Duration(len(s.roster))*spreadPerMember), maxSpread)
}

// documentsSettled reports whether all documents that this daemon must hold are the latest, as far as can be known.
func (s *State) documentsSettled() bool {
	return !slices.ContainsFunc(s.follows, func(f *follow) bool { return !f.confirmed })
}
