package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Detection of parts of prompts that crash upstreams: each request with such a part crashes the upstream that begins to answer it, and no
// two of these requests are alike. For each part, one daemon counts the crashes. After two it asks all daemons whether a request with the
// part was answered lately, which clears the part; after four, all daemons refuse requests with it. Requests that ran beside one that
// crashes their upstream are interrupted too, but their parts are answered in other requests.

// The limits of counting the crashes of a part.
const (
	partCrashesToAsk    = 2
	partCrashesToRefuse = 4                      // three may be chance for an innocent part that nobody has answered
	partSameCrash       = 2 * time.Second        // reports of several daemons on the same upstream; a restart takes longer
	partAnswerTime      = 300 * time.Millisecond // from the question until the part is refused; messages take a tenth of it
	partClearTime       = 30 * time.Second       // for which a part that was answered is not counted
	maxPartRecords      = 4096
	maxPartsAsked       = 32 // in one message
)

// partRecord is the crashes of a part, as counted by one daemon.
type partRecord struct {
	crashes   map[string]time.Time // the last one by upstream
	count     int
	moments   moments
	lastCrash time.Time
	askedAt   time.Time // zero before the question
	refused   bool
	trial     trial // once it is refused
}

// partCrashes is what a daemon knows of the parts that may crash upstreams; the zero value knows nothing.
type partCrashes struct {
	records  map[string]*partRecord // of the parts whose crashes this daemon counts
	cleared  map[string]time.Time   // the same for parts that were cleared lately
	refused  map[string]time.Time   // expiry of the refusal
	answered successes
}

func partHash(part string) uint64 { return xxhash.Sum64String(part) }

// reportPartCrashes reports the crash of an upstream for each part of a call that was not answered lately.
func (s *State) reportPartCrashes(c *call, upstream string) {
	for _, part := range c.parts {
		if !s.parts.answered.has(partHash(part)) {
			s.emit(ReportPartCrash{part, upstream})
		}
	}
}

// recordAnsweredParts records that a call was answered completely, which clears its parts.
func (s *State) recordAnsweredParts(now time.Time, c *call) {
	for _, part := range c.parts {
		s.parts.answered.add(now, partHash(part))
		if _, isRefused := s.parts.refused[part]; isRefused {
			delete(s.parts.refused, part)
			s.emit(ReportPartAnswered{part})
		}
	}
}

// handlePartCrashReported counts a crash of a part.
func (s *State) handlePartCrashReported(now time.Time, e PartCrashReported) {
	if clearedAt, isCleared := s.parts.cleared[e.part]; isCleared && now.Sub(clearedAt) < partClearTime {
		return
	}
	record := s.parts.records[e.part]
	if record == nil || now.Sub(record.lastCrash) > crashWindow && !record.refused {
		if record == nil && len(s.parts.records) >= maxPartRecords {
			return
		}
		if s.parts.records == nil {
			s.parts.records = map[string]*partRecord{}
		}
		record = &partRecord{crashes: map[string]time.Time{}}
		s.parts.records[e.part] = record
	}
	if last, isKnown := record.crashes[e.upstream]; isKnown && now.Sub(last) < partSameCrash {
		return
	}
	record.crashes[e.upstream], record.lastCrash = now, now
	record.count++
	record.moments.add(now)
}

// judgeParts asks about the parts with some crashes, and refuses those with enough that no daemon has answered.
func (s *State) judgeParts(now time.Time) {
	var asked []string
	for _, part := range slices.Sorted(maps.Keys(s.parts.records)) {
		record := s.parts.records[part]
		switch {
		case record.refused || record.count < partCrashesToAsk:
		case record.askedAt.IsZero():
			if len(asked) < maxPartsAsked {
				record.askedAt = now
				asked = append(asked, part)
			}
		case s.partEvidence(now, part, record) >= partCrashesToRefuse && now.Sub(record.askedAt) >= partAnswerTime:
			record.refused, record.trial = true, newTrial(now, partTrialWaits)
			s.emit(MarkPart{part, poisonTTL})
		}
	}
	if len(asked) > 0 {
		s.emit(AskParts{asked})
	}
}

// partEvidence returns how many crashes count against a part: all if requests without it were answered meanwhile, else those that did not come
// together.
func (s *State) partEvidence(now time.Time, part string, record *partRecord) int {
	if s.controls.hasWithoutPart(now, part) {
		return record.count
	}
	return record.moments.count
}

// handlePartsAsked reports which of the parts were answered lately.
func (s *State) handlePartsAsked(e PartsAsked) {
	for _, part := range e.parts {
		if s.parts.answered.has(partHash(part)) {
			s.emit(ReportPartAnswered{part})
		}
	}
}

// handlePartAnswered clears a part of which a daemon answered a request.
func (s *State) handlePartAnswered(now time.Time, e PartAnswered) {
	if s.parts.cleared == nil {
		s.parts.cleared = map[string]time.Time{}
	}
	s.parts.cleared[e.part] = now
	if record := s.parts.records[e.part]; record != nil {
		delete(s.parts.records, e.part)
		if record.refused {
			s.emit(MarkPart{e.part, 0})
		}
	}
}

// handlePartMarked refuses the requests with a part, or no longer does so. A daemon that answered one lately objects.
func (s *State) handlePartMarked(now time.Time, e PartMarked) {
	switch {
	case e.ttl <= 0:
		delete(s.parts.refused, e.part)
	case s.parts.answered.has(partHash(e.part)):
		s.emit(ReportPartAnswered{e.part})
	default:
		if s.parts.refused == nil {
			s.parts.refused = map[string]time.Time{}
		}
		s.parts.refused[e.part] = now.Add(e.ttl)
		s.stopPart(now, e.part)
	}
}

// stopPart ends the calls with a refused part that no upstream has begun to answer.
func (s *State) stopPart(now time.Time, part string) {
	for _, id := range slices.Sorted(maps.Keys(s.calls)) {
		c := s.calls[id]
		switch {
		case c.finalEffect != nil || c.trial != nil || !slices.Contains(c.parts, part):
		case c.attempt == nil:
			s.giveUp(now, c, Poison, suspicionRetryAfter)
		case !c.attempt.hasEvent:
			s.halt(c, Fail{c.id, Poison, false})
		}
	}
}

// hasRefusedPart reports whether requests with a part of the call's prompt are refused.
func (s *State) hasRefusedPart(now time.Time, c *call) bool {
	return len(s.parts.refused) > 0 && slices.ContainsFunc(c.parts, func(part string) bool { return s.isPartRefused(now, part) })
}

func (s *State) isPartRefused(now time.Time, part string) bool {
	expiry, isRefused := s.parts.refused[part]
	return isRefused && now.Before(expiry)
}

// forgetParts removes what has expired.
func (s *State) forgetParts(now time.Time) {
	maps.DeleteFunc(s.parts.records, func(_ string, record *partRecord) bool {
		return now.Sub(record.lastCrash) > poisonTTL || !record.refused && now.Sub(record.lastCrash) > crashWindow
	})
	maps.DeleteFunc(s.parts.cleared, func(_ string, at time.Time) bool { return now.Sub(at) > partClearTime })
	maps.DeleteFunc(s.parts.refused, func(_ string, expiry time.Time) bool { return now.After(expiry) })
}
