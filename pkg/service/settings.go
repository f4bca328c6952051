package service

import "time"

// These values determine which object stores the claim of a key and for how long, so they must be equal in all daemons
// and versions. A daemon that reads another object, or accepts a key whose claim another daemon has removed, runs a
// call twice.
const (
	// MaxKeyAge is the age up to which a key is accepted.
	MaxKeyAge = time.Hour
	// MaxClockSkew bounds the difference between the clocks of daemons and callers.
	MaxClockSkew = 2 * time.Minute
	// keySpan is the range of creation times of the keys in one object.
	keySpan = time.Minute
	// shardCount is the number of objects among which the keys of one span and service are distributed.
	shardCount = 128
)

const (
	// sendWindow is the time after a claim in which its call may be sent.
	sendWindow = 5 * time.Second
	// maxStoreWait is how long a call waits for the store if its service does not wait for the end of an outage.
	maxStoreWait = time.Second
	// defaultRetryAfter is how long a caller should wait before it retries if the store or upstreams are unavailable.
	defaultRetryAfter = 2 * time.Second
	// MaxStoredAnswerBytes is the maximum size of an answer that is stored with its claim.
	MaxStoredAnswerBytes = 2 << 10
	// maxObjectBytes is the size of the JSON value above which an object is stored without answers.
	maxObjectBytes = 900 << 10
	// maxAttempts is the number of upstreams to which one call may be sent.
	maxAttempts = 3
	// maxDetachedTime is how long an attempt may run after its caller stopped waiting, so that its answer is stored.
	maxDetachedTime = time.Minute

	// The default retry budget: retries earned per idempotent call, and the maximum burst of retries.
	defaultRetryRatio = 0.1
	defaultRetryBurst = 10
)

// Settings hold the identity of the daemon, the services and the retry budget.
type Settings struct {
	writer     string
	dataCentre string
	seed       uint64
	retryRatio float64
	retryBurst int
	services   []Service
}

// NewSettings returns settings with defaults for a daemon in dataCentre. The writer is the identity under which it
// writes claims and must be new at each start of the daemon; seed seeds its random numbers.
func NewSettings(writer, dataCentre string, seed uint64, services ...Service) Settings {
	return Settings{
		writer: writer, dataCentre: dataCentre, seed: seed,
		retryRatio: defaultRetryRatio, retryBurst: defaultRetryBurst, services: services,
	}
}

// WithRetryBudget returns the settings with the budget of retries: a ratio of the idempotent calls, and a burst.
func (s Settings) WithRetryBudget(ratio float64, burst int) Settings {
	s.retryRatio, s.retryBurst = ratio, burst
	return s
}

// Service is one plain service.
type Service struct {
	name          string
	waitsForStore bool
}

// NewService returns the service called name. During an outage of the store, its calls that need a claim are rejected
// after a short time, or wait until their deadlines if waits is set.
func NewService(name string, waits bool) Service { return Service{name, waits} }

// Name returns the name that callers request.
func (s Service) Name() string { return s.name }

// Upstream is one process of a service.
type Upstream struct {
	address    string
	dataCentre string
	load       int
	leaving    bool
}

// NewUpstream returns a live process at address (host:port) in dataCentre with load calls, running and queued.
func NewUpstream(address, dataCentre string, load int) Upstream {
	return Upstream{address: address, dataCentre: dataCentre, load: load}
}

// WithLeaving returns the upstream marked as leaving: it receives no new calls.
func (u Upstream) WithLeaving() Upstream {
	u.leaving = true
	return u
}
