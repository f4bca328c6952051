package dispatch

import (
	"time"
)

// Load is what an upstream reports of its work.
type Load struct {
	known   bool
	running int
	waiting int
	slots   int
}

// NewLoad returns the load of an upstream that runs and queues so many requests and has so many slots.
func NewLoad(running, waiting, slots int) Load { return Load{true, running, waiting, slots} }

// Target is an upstream that takes requests.
type Target struct {
	name     string
	address  string
	isLocal  bool
	slots    int
	slowdown float64
}

// NewTarget returns the upstream called name at address (host:port), whether it is in the daemon's data centre, and how
// many requests it runs at once.
func NewTarget(name, address string, isLocal bool, slots int) Target {
	return Target{name, address, isLocal, slots, 1}
}

// WithSlowdown returns the target with the factor by which its work takes longer than that of others.
func (t Target) WithSlowdown(factor float64) Target {
	t.slowdown = factor
	return t
}

// Name returns the name of the upstream.
func (t Target) Name() string { return t.name }

// Upstreams tells which upstreams take requests.
type Upstreams interface {
	// Replicas returns the heads of the replicas that serve a model.
	Replicas(model string) []Target
	// Processes returns the upstreams of a plain service.
	Processes(service string) []Target
	// Owner returns the daemon that keeps count of the calls in a share of the replicas, empty for this one.
	Owner(share Shard) string
}

// The pauses of an upstream that failed.
const (
	failureBackoff = time.Second            // a restarted process is listed within its heartbeat
	fullBackoff    = 100 * time.Millisecond // about one event of each running call, after which a slot may be free
	deadBackoff    = 3 * time.Second        // the list names a dead instance for three heartbeats
)

// upstream is what this daemon itself knows of one upstream.
type upstream struct {
	running      int
	model        string    // of the replica that it leads
	reportedTo   string    // the daemon that was last told how many calls run
	unreadTokens int       // prompt tokens that were sent and not answered yet
	load         Load      // last report
	reportedAt   time.Time // when it came
	begunSince   int       // own requests begun since
	endedSince   int       // own requests ended since
	avoidUntil   time.Time // no new requests until then
	lastUsed     time.Time
	failures     int
	slowdown     float64 // how many times as long as expected the last first event took, 0 if that was told
}

// calls returns how many requests the upstream is believed to have.
func (u *upstream) estimatedCalls(now time.Time) float64 {
	if !u.load.known || now.Sub(u.reportedAt) > maxReportAge {
		return float64(u.running)
	}
	return max(float64(u.load.running+u.load.waiting+u.begunSince-u.endedSince), float64(u.running))
}

// reportAge is how long a report of load counts; requests last about two seconds.
const maxReportAge = 2 * time.Second

// age returns how old the last report is, 0 if there was none.
func (u *upstream) reportAge(now time.Time) time.Duration {
	if u.reportedAt.IsZero() {
		return 0
	}
	return now.Sub(u.reportedAt)
}

func (u *upstream) recordLoad(now time.Time, load Load) {
	if !load.known {
		return
	}
	u.load, u.reportedAt, u.begunSince, u.endedSince = load, now, 0, 0
}

func (u *upstream) begin(now time.Time, prompt int) {
	u.running++
	u.begunSince++
	u.unreadTokens += prompt
	u.lastUsed = now
}

func (u *upstream) end(now time.Time) {
	u.running--
	u.endedSince++
	u.lastUsed = now
}

func (s *State) upstream(name string) *upstream {
	u := s.upstreams[name]
	if u == nil {
		u = &upstream{}
		s.upstreams[name] = u
	}
	return u
}

// forgetAfter is how long an unused upstream is remembered; names are new at each start of a process.
const upstreamTTL = time.Minute

func (s *State) forgetUpstreams(now time.Time) {
	for name, u := range s.upstreams {
		if u.running == 0 && now.Sub(u.lastUsed) > upstreamTTL {
			delete(s.upstreams, name)
		}
	}
}
