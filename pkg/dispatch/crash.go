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
	crashesToDoubt  = 2 // one of those that were at a crash meets the next by chance at one of ten replicas
	crashesToRefuse = 3
	crashWindow     = time.Minute      // upstreams are back within seconds, and the caller with them
	refusedFor      = 10 * time.Minute // renewed by each crash that is still told
	maxCrashed      = 4096             // requests that are counted; a crash adds those that ran there
	successesKept   = 30 * time.Second // a generation; what many ask for is answered more often
	maxSuccesses    = 16384            // in a generation, 128 KB
)

// crashed is what is known of one request, by what it asks for.
type crashed struct {
	upstreams []string
	at        time.Time
}

// successes remembers what was answered lately, in two generations.
type successes struct {
	new, old map[uint64]bool
	since    time.Time
}

func (s *successes) add(now time.Time, content uint64) {
	if s.new == nil || now.Sub(s.since) > successesKept || len(s.new) >= maxSuccesses {
		s.new, s.old, s.since = map[uint64]bool{}, s.new, now
	}
	s.new[content] = true
}

func (s *successes) has(content uint64) bool { return s.new[content] || s.old[content] }

// noteCrash tells the daemon that counts that a request was at an upstream that broke off.
func (s *State) noteCrash(c *call, upstream string) {
	if c.contentHash != 0 {
		s.emit(ReportCrash{c.contentHash, upstream})
	}
}

// count takes in that a copy of a request was at an upstream that broke off.
func (s *State) count(now time.Time, e CrashReported) {
	one := s.crashes[e.contentHash]
	if one == nil || now.Sub(one.at) > crashWindow {
		if one == nil && len(s.crashes) >= maxCrashed {
			return
		}
		one = &crashed{}
		s.crashes[e.contentHash] = one
	}
	for _, known := range one.upstreams {
		if known == e.upstream {
			return
		}
	}
	one.upstreams, one.at = append(one.upstreams, e.upstream), now
	if len(one.upstreams) >= crashesToDoubt {
		s.emit(MarkPoison{e.contentHash, len(one.upstreams), refusedFor})
	}
}

// sentence tells at how many crashes copies of a request were.
type sentence struct {
	crashes int
	until   time.Time
}

// condemn takes in at how many crashes copies of a request were.
func (s *State) condemn(now time.Time, e PoisonMarked) {
	if !s.answeredLately.has(e.contentHash) {
		s.condemned[e.contentHash] = sentence{e.crashes, now.Add(e.ttl)}
	}
}

// isCondemned reports whether copies of a call were at so many crashes.
func (s *State) isCondemned(now time.Time, c *call, crashes int) bool {
	one, isKnown := s.condemned[c.contentHash]
	return isKnown && now.Before(one.until) && one.crashes >= crashes
}

// acquit takes in that a request was answered.
func (s *State) acquit(now time.Time, c *call) {
	s.answeredLately.add(now, c.contentHash)
	delete(s.condemned, c.contentHash)
}

// forgetCrashes forgets what is over.
func (s *State) forgetCrashes(now time.Time) {
	maps.DeleteFunc(s.crashes, func(_ uint64, one *crashed) bool { return now.Sub(one.at) > crashWindow })
	maps.DeleteFunc(s.condemned, func(_ uint64, one sentence) bool { return now.After(one.until) })
}
