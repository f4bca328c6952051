package service

import "time"

// These values decide which object holds the claim of a key and how long, so they must be equal in all daemons and
// versions: a daemon that looks elsewhere, or accepts a key whose claim another one has removed, runs a call twice.
const (
	// Keep is the age up to which a key is accepted.
	MaxKeyAge = time.Hour
	// Margin bounds the difference between the clocks of daemons and callers.
	MaxClockSkew = 2 * time.Minute
	// span is the time that the keys in one object cover.
	span = time.Minute
	// shardCount is the number of objects over which the keys of one span and service are spread.
	shardCount = 128
)

const (
	// window is the time from a claim to the last moment at which its call may be sent.
	window = 5 * time.Second
	// patience is how long a call waits for the store if its service does not want to wait out an outage.
	patience = time.Second
	// comeBack is how long a caller should wait after a refusal for want of a store or an upstream.
	comeBack = 2 * time.Second
	// MaxStoredAnswerBytes is the largest answer that a claim keeps, in bytes.
	MaxStoredAnswerBytes = 2 << 10
	// maxValue is the size above which an object drops the answers that it keeps, in bytes; JSON around it included.
	maxValue = 900 << 10
	// maxTries is the number of upstreams that one call may try.
	maxTries = 3
	// detached is how long a call that its caller no longer waits for may go on, so that its answer is kept.
	detached = time.Minute

	defaultRatio = 0.1
	defaultBurst = 10
)

// Settings are what the decisions towards services need to know.
type Settings struct {
	writer     string
	centre     string
	seed       uint64
	retryRatio float64
	retryBurst int
	services   []Service
}

// NewSettings returns settings with defaults for a daemon in the data centre; writer names this start of the daemon
// and must be new at each start; seed is the seed of its random draws.
func NewSettings(writer, centre string, seed uint64, services ...Service) Settings {
	return Settings{
		writer: writer, centre: centre, seed: seed, retryRatio: defaultRatio, retryBurst: defaultBurst, services: services,
	}
}

// WithRetryBudget returns the settings with the budget of tries after the first: a ratio of the calls, and a burst.
func (s Settings) WithRetryBudget(ratio float64, burst int) Settings {
	s.retryRatio, s.retryBurst = ratio, burst
	return s
}

// Service is one plain service.
type Service struct {
	name  string
	waits bool
}

// NewService returns the service called name. While the store is out, its calls that need a claim are refused soon, or
// wait until their deadlines if waits is set.
func NewService(name string, waits bool) Service { return Service{name, waits} }

// Name returns the name that callers ask for.
func (s Service) Name() string { return s.name }

// Upstream is one process of a service.
type Upstream struct {
	address string
	centre  string
	load    int
	leaving bool
}

// NewUpstream returns a live process at address (host:port) in a data centre, with load calls running and queued.
func NewUpstream(address, centre string, load int) Upstream {
	return Upstream{address: address, centre: centre, load: load}
}

// WithLeaving returns the upstream marked as leaving: it gets no new calls.
func (u Upstream) WithLeaving() Upstream {
	u.leaving = true
	return u
}
