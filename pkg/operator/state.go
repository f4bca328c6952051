package operator

import (
	"math/rand/v2"
	"time"

	"github.com/azurepond/azurepond/pkg/object"
)

// The retry delays, the timeout and the queue limit of operators' requests.
const (
	// initialRetryDelay is the mean delay before the first retry of a request to the store.
	initialRetryDelay = 200 * time.Millisecond
	// maxRetryDelay is the maximum mean delay between two retries.
	maxRetryDelay = 5 * time.Second
	// requestTimeout is how long a request of an operator may wait for the store before it is answered as refused or
	// unknown.
	requestTimeout = 15 * time.Second
	// maxJobs is the maximum number of operators' requests that are queued.
	maxJobs = 64
)

// TargetResolver maps the target of a planned action to its model or service, as known to this daemon.
type TargetResolver interface {
	// ResolveTarget returns the model or service of the target, if any, and whether the target is known.
	ResolveTarget(kind Kind, target string) (name string, known bool)
}

// State holds the configuration and the operators' requests of one daemon. The zero value is ready to use.
type State struct {
	random              *rand.Rand
	record              record
	lastRef             object.Ref
	pending             storeRequest
	retryAt             time.Time
	consecutiveFailures int
	// storeError is the error of the last failed request to the store. It is empty after a read that found the record.
	storeError string
	jobs       []job
}

// storeRequest is the pending read or write of the store. The zero value means that none is pending.
type storeRequest struct {
	ref   object.Ref
	write *record
}

// job is one queued request of an operator. If isRetry is set, another daemon may process the same request at the same
// time.
type job struct {
	change   Change
	readOnly bool
	isRetry  bool
	deadline time.Time
	// expectedVersion is the object version that the last write of the job expected.
	expectedVersion object.Version
	// writeUncertain reports that the answer to a write was lost. The write may still take effect while the object has
	// expectedVersion.
	writeUncertain bool
}

// Fleet returns the configuration that is active in this daemon.
func (s *State) Fleet() Fleet { return s.record.fleet }

// History returns the newest changes that this daemon has read from the store, oldest first.
func (s *State) History() []Change { return s.record.history }

// PendingRequests returns the number of operators' requests without an answer.
func (s *State) PendingRequests() int { return len(s.jobs) }

func (s *State) nextRef() object.Ref {
	s.lastRef++
	return s.lastRef
}

// jitter returns a random duration between 0.5 and 1.5 times mean.
func (s *State) jitter(mean time.Duration) time.Duration {
	if s.random == nil {
		return mean
	}
	return mean/2 + time.Duration(s.random.Int64N(int64(mean)))
}

// backoff counts a failure and returns the delay before the next request to the store. The mean delay doubles with each
// failure in a row, up to maxRetryDelay.
func (s *State) backoff() time.Duration {
	mean := initialRetryDelay << min(s.consecutiveFailures, 10)
	s.consecutiveFailures++
	return s.jitter(min(mean, maxRetryDelay))
}
