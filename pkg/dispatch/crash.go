package dispatch

import (
	"maps"
	"time"
)

// Detection of poison requests: a request that crashes each upstream that runs it, and that its caller retries at any
// daemon. An interrupted connection counts as a crash. For each content hash, one daemon counts the upstreams that
// crashed while they ran a copy of the request. After two, copies are not retried; after three, all daemons refuse
// them. Content with a recent success is never refused, since many callers may send the same.

// The limits of counting crashes.
const (
	crashesToStopRetry = 2 // with ten replicas, about one harmless request at a crash is also at the next one by chance
	crashesToRefuse    = 3
	crashWindow        = time.Minute      // upstreams restart and callers retry within seconds
	poisonTTL          = 5 * time.Minute  // renewed by each further crash
	maxCrashRecords    = 4096             // each crash adds all requests that ran there
	successGeneration  = 30 * time.Second // common content succeeds more often than that
	maxSuccesses       = 16384            // of a generation, 128 KB
)

// crashRecord lists the upstreams that crashed while they ran copies of one request.
type crashRecord struct {
	upstreams []string
	moments   moments
	lastCrash time.Time
	marked    int   // the number of crashes that all daemons were told
	trial     trial // once copies are refused
}

// successes holds the content hashes of recent successful requests, in two generations.
type successes struct {
	current, previous map[uint64]bool
	rotated           time.Time
}

func (s *successes) add(now time.Time, contentHash uint64) {
	if s.current == nil || now.Sub(s.rotated) > successGeneration || len(s.current) >= maxSuccesses {
		s.current, s.previous, s.rotated = map[uint64]bool{}, s.current, now
	}
	s.current[contentHash] = true
}

func (s *successes) has(contentHash uint64) bool {
	return s.current[contentHash] || s.previous[contentHash]
}

// reportCrash reports a crash of the upstream of an attempt to the daemon that counts them. Of copies whose upstreams crash together, one is
// reported, unless other content was answered meanwhile.
func (s *State) reportCrash(now time.Time, a *attempt) {
	c := a.call
	last, isKnown := s.ownCrashes[c.contentHash]
	isTogether := isKnown && a.sentAt.Before(last) && !s.controls.hasOther(now, c.contentHash)
	if c.contentHash != 0 && !isTogether {
		s.ownCrashes[c.contentHash] = now
		s.emit(ReportCrash{c.contentHash, a.target()})
	}
	s.reportPartCrashes(c, a.target())
}

// handleCrashReported counts a crash, and marks the request as poison after enough crashes.
func (s *State) handleCrashReported(now time.Time, e CrashReported) {
	record := s.crashes[e.contentHash]
	if record == nil || record.isOutdated(now) {
		if record == nil && len(s.crashes) >= maxCrashRecords {
			return
		}
		record = &crashRecord{}
		s.crashes[e.contentHash] = record
	}
	for _, upstream := range record.upstreams {
		if upstream == e.upstream {
			return
		}
	}
	record.upstreams, record.lastCrash = append(record.upstreams, e.upstream), now
	record.moments.addFrom(now, e.from)
	evidence := record.moments.count
	if s.controls.hasOther(now, e.contentHash) {
		evidence = len(record.upstreams)
	}
	if evidence < crashesToStopRetry {
		return
	}
	if evidence >= crashesToRefuse && record.marked < crashesToRefuse {
		record.trial = newTrial(now, contentTrialWaits)
	}
	record.marked = evidence
	s.emit(MarkPoison{e.contentHash, evidence, poisonTTL})
}

// isOutdated reports whether a record counts no more. One whose copies are refused is kept as long as that.
func (r *crashRecord) isOutdated(now time.Time) bool {
	if r.marked >= crashesToRefuse {
		return now.Sub(r.lastCrash) > poisonTTL
	}
	return now.Sub(r.lastCrash) > crashWindow
}

// poisonMark is the number of upstreams that crashed while they ran copies of a request.
type poisonMark struct {
	crashes   int
	expiresAt time.Time
}

// handlePoisonMarked stores a poison mark, unless the request succeeded recently.
func (s *State) handlePoisonMarked(now time.Time, e PoisonMarked) {
	if !s.recentSuccesses.has(e.contentHash) {
		s.poisonMarks[e.contentHash] = poisonMark{e.crashes, now.Add(e.ttl)}
	}
}

// isPoison reports whether the call has a valid poison mark of at least that many crashes.
func (s *State) isPoison(now time.Time, c *call, crashes int) bool {
	mark, isKnown := s.poisonMarks[c.contentHash]
	return isKnown && now.Before(mark.expiresAt) && mark.crashes >= crashes
}

// recordSuccess records a success and clears the poison mark.
func (s *State) recordSuccess(now time.Time, c *call) {
	s.recentSuccesses.add(now, c.contentHash)
	s.controls.add(now, c)
	delete(s.poisonMarks, c.contentHash)
	if record := s.crashes[c.contentHash]; record != nil && record.marked > 0 {
		delete(s.crashes, c.contentHash)
		s.emit(MarkPoison{c.contentHash, 0, poisonTTL})
	}
	s.recordAnsweredParts(now, c)
}

// forgetCrashes removes expired crash records and poison marks.
func (s *State) forgetCrashes(now time.Time) {
	maps.DeleteFunc(s.crashes, func(_ uint64, record *crashRecord) bool { return record.isOutdated(now) })
	maps.DeleteFunc(s.ownCrashes, func(_ uint64, at time.Time) bool { return now.Sub(at) > crashWindow })
	maps.DeleteFunc(s.poisonMarks, func(_ uint64, mark poisonMark) bool { return now.After(mark.expiresAt) })
}
