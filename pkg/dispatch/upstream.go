package dispatch

import (
	"time"

	"github.com/azurepond/azurepond/pkg/quantity"
	"github.com/azurepond/azurepond/pkg/relay"
	"github.com/azurepond/azurepond/pkg/route"
)

// Load is the load that an upstream reports.
type Load struct {
	known   bool
	running int
	waiting int
	slots   int
	limit   Limit
}

// NewLoad returns the load of an upstream with its running and waiting requests and its slots, each at most quantity.MaxCount.
func NewLoad(running, waiting, slots int) Load {
	return Load{
		known: true, running: quantity.Limit(int64(running)), waiting: quantity.Limit(int64(waiting)), slots: quantity.Limit(int64(slots)),
	}
}

// WithLimit returns the load with what the upstream says about the rate of requests that it accepts.
func (l Load) WithLimit(limit Limit) Load {
	l.limit = limit
	return l
}

// Limit returns what the upstream says about the rate of requests that it accepts.
func (l Load) Limit() Limit { return l.limit }

// Target is an upstream that accepts requests.
type Target struct {
	name     string
	address  string
	isLocal  bool
	slots    int
	slowdown float64
	centre   string

	coldUntil time.Time
	coldRate  float64 // requests per second that it tolerates until then, 0 for no limit
}

// NewTarget returns an upstream at address (host:port); isLocal means that it is in the daemon's data centre, and slots
// is the number of requests that it runs at once.
func NewTarget(name, address string, isLocal bool, slots int) Target {
	return Target{name: name, address: address, isLocal: isLocal, slots: slots, slowdown: 1}
}

// WithCentre returns the target with its data centre, in a deployment with several.
func (t Target) WithCentre(name string) Target {
	t.centre = name
	return t
}

// WithSlowdown returns the target with the factor on its expected times, relative to other targets.
func (t Target) WithSlowdown(factor float64) Target {
	t.slowdown = factor
	return t
}

// Name returns the name of the upstream.
func (t Target) Name() string { return t.name }

// Upstreams lists the upstreams that accept requests.
type Upstreams interface {
	// Replicas returns the heads of the replicas that serve a model. The head is the member that accepts requests.
	Replicas(model string) []Target
	// NextOpening returns when the next replica of a model may open at the earliest, which may have passed.
	NextOpening(now time.Time, model string) time.Time
	// Processes returns the upstreams of a plain service.
	Processes(service string) []Target
	// Centre returns the data centre of this daemon in a deployment with several, empty in any other.
	Centre() string
	// Owner returns the daemon that grants the slots of a shard, empty for this one.
	Owner(shard Shard) string
	// Way returns the ways to an upstream, through peers in some regions.
	Way(now time.Time, upstream string, regions route.Regions) relay.Route
	// IsWithin reports whether an upstream, with all members of its replica, is in some regions.
	IsWithin(upstream string, regions route.Regions) bool
}

// How long an upstream that failed gets no new requests.
const (
	failureBackoff = time.Second            // a restarted process is listed within one heartbeat
	fullBackoff    = 100 * time.Millisecond // about one event of each running call, after which a slot may be free
	deadBackoff    = 3 * time.Second        // a dead instance stays listed for three heartbeats
)

// upstream is the local state of one upstream.
type upstream struct {
	running              int
	shard                Shard     // whose owner gets usage reports, zero for none
	reportedTo           string    // the shard owner that got the last usage report
	pendingPrefillTokens int       // prompt tokens sent, without a first event yet
	load                 Load      // last reported load
	reportedAt           time.Time // time of that report
	begunSince           int       // requests of this daemon sent since the report
	endedSince           int       // requests of this daemon ended since the report
	avoidUntil           time.Time // gets no new requests before
	suspendedUntil       time.Time // is probed by another daemon, which may resume it before
	throttledUntil       time.Time // throttles this daemon until then
	trialCalls           int       // that may run there at once since then, 0 for no limit
	lastUsed             time.Time
	answeredAt           time.Time // when it last answered over a connection of this daemon itself
	slowdown             float64   // of the latest first event, as in ReplicaUsage, 0 once reported
}

// estimatedCalls returns the estimated number of requests at the upstream.
func (u *upstream) estimatedCalls(now time.Time) float64 {
	if !u.load.known || now.Sub(u.reportedAt) > maxReportAge {
		return float64(u.running)
	}
	return max(float64(u.load.running+u.load.waiting+u.begunSince-u.endedSince), float64(u.running))
}

// maxReportAge is how long a load report is valid; requests take about two seconds.
const maxReportAge = 2 * time.Second

// reportAge returns the age of the last load report, 0 if there was none.
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

func (u *upstream) begin(now time.Time, promptTokens int) {
	u.running++
	u.begunSince++
	u.pendingPrefillTokens += promptTokens
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

// upstreamTTL is how long the state of an unused upstream is kept, and the time between two cleanups. An old name is
// never used again, since each start of a process has a new one.
const upstreamTTL = time.Minute

func (s *State) forgetUpstreams(now time.Time) {
	for name, u := range s.upstreams {
		isExcluded := now.Before(u.avoidUntil) || u.isThrottling(now)
		if u.running == 0 && !isExcluded && now.Sub(u.lastUsed) > upstreamTTL {
			delete(s.upstreams, name)
		}
	}
}
