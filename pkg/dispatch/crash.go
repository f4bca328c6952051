package dispatch

import (
	"maps"
	"time"
)

// The decisions of this file answer a request that crashes each upstream that begins to run it, and that its caller sends
// again and again, to any daemon. One daemon counts the upstreams that copies of a request were at when they crashed. After
// two, a copy is not sent a second time; after three all daemons refuse it. What has been answered lately is not refused:
// many callers may ask the same.

// The bounds of counting crashes.
const (
	crashesToStopRetry = 2 // one of those that were at a crash meets the next by chance at one of ten replicas
	crashesToRefuse    = 3
	crashWindow        = time.Minute      // upstreams are back within seconds, and the caller with them
	poisonTTL          = 10 * time.Minute // renewed by each crash that is still told
	maxCrashRecords    = 4096             // requests that are counted; a crash adds those that ran there
	successGeneration  = 30 * time.Second // a generation; what many ask for is answered more often
	maxSuccesses       = 16384            // in a generation, 128 KB
)

// crashed is what is known of one request, by what it asks for.
type crashRecord struct {
	upstreams []string
	at        time.Time
}

// successes remembers what was answered lately, in two generations.
type successes struct {
	current, previous map[uint64]bool
	rotated           time.Time
}

func (s *successes) add(now time.Time, content uint64) {
	if s.current == nil || now.Sub(s.rotated) > successGeneration || len(s.current) >= maxSuccesses {
		s.current, s.previous, s.rotated = map[uint64]bool{}, s.current, now
	}
	s.current[content] = true
}

func (s *successes) has(content uint64) bool { return s.current[content] || s.previous[content] }

// noteCrash tells the daemon that counts that a request was at an upstream that broke off.
func (s *State) reportCrash(c *call, upstream string) {
	if c.contentHash != 0 {
		s.emit(ReportCrash{c.contentHash, upstream})
	}
}

// count takes in that a copy of a request was at an upstream that broke off.
func (s *State) handleCrashReported(now time.Time, e CrashReported) {
	record := s.crashes[e.contentHash]
	if record == nil || now.Sub(record.at) > crashWindow {
		if record == nil && len(s.crashes) >= maxCrashRecords {
			return
		}
		record = &crashRecord{}
		s.crashes[e.contentHash] = record
	}
	for _, known := range record.upstreams {
		if known == e.upstream {
			return
		}
	}
	record.upstreams, record.at = append(record.upstreams, e.upstream), now
	if len(record.upstreams) >= crashesToStopRetry {
		s.emit(MarkPoison{e.contentHash, len(record.upstreams), poisonTTL})
	}
}

// sentence tells at how many crashes copies of a request were.
type poisonMark struct {
	crashes int
	until   time.Time
}

// condemn takes in at how many crashes copies of a request were.
func (s *State) handlePoisonMarked(now time.Time, e PoisonMarked) {
	if !s.recentSuccesses.has(e.contentHash) {
		s.poisonMarks[e.contentHash] = poisonMark{e.crashes, now.Add(e.ttl)}
	}
}

// isCondemned reports whether copies of a call were at so many crashes.
func (s *State) isPoison(now time.Time, c *call, crashes int) bool {
	mark, isKnown := s.poisonMarks[c.contentHash]
	return isKnown && now.Before(mark.until) && mark.crashes >= crashes
}

// acquit takes in that a request was answered.
func (s *State) recordSuccess(now time.Time, c *call) {
	s.recentSuccesses.add(now, c.contentHash)
	delete(s.poisonMarks, c.contentHash)
}

// forgetCrashes forgets what is over.
func (s *State) forgetCrashes(now time.Time) {
	maps.DeleteFunc(s.crashes, func(_ uint64, record *crashRecord) bool { return now.Sub(record.at) > crashWindow })
	maps.DeleteFunc(s.poisonMarks, func(_ uint64, mark poisonMark) bool { return now.After(mark.until) })
}
