package operator

import (
	"math/rand/v2"
	"time"

	"github.com/azurepond/azurepond/pkg/object"
)

// The timings of the decisions towards operators.
const (
	// retryFirst is the mean wait before the first repetition of a request to the store.
	retryFirst = 200 * time.Millisecond
	// retryMost bounds the mean wait between two repetitions.
	retryMost = 5 * time.Second
	// patience is how long an operator's request is worked on before it is answered with what is known.
	patience = 15 * time.Second
	// maxJobs bounds the operators' requests that wait.
	maxJobs = 64
)

// TargetResolver tells which model or service a target of a planned action works for, by what this daemon knows.
type TargetResolver interface {
	// Owner returns the model or service, empty for none, and whether the target is known at all.
	ResolveTarget(kind Kind, target string) (owner string, known bool)
}

// State is what one daemon holds of the configuration and of its operators' requests; the zero value is ready.
type State struct {
	random  *rand.Rand
	record  record
	ref     object.Ref
	pending pending
	next    time.Time
	failed  int
	// trouble is why the store did not help with the last request to it, empty when it did.
	trouble string
	jobs    []job
}

// pending is the read or write that is on its way to the store; the zero value means none.
type pending struct {
	ref   object.Ref
	write *record
}

// job is one operator's request that is being worked on; one that asks changes nothing, and one that is sent again may
// be at work in another daemon as well.
type job struct {
	change   Change
	asks     bool
	again    bool
	deadline time.Time
	// version is the one that the last write of the job expected.
	version object.Version
	// unsure says that a write of the job was lost and may still take effect.
	unsure bool
}

// Fleet returns the configuration that is in force in this daemon.
func (s *State) Fleet() Fleet { return s.record.fleet }

// History returns the newest changes that this daemon has read from the store, oldest first.
func (s *State) History() []Change { return s.record.history }

// PendingRequests returns how many operators' requests are being worked on.
func (s *State) PendingRequests() int { return len(s.jobs) }

func (s *State) nextRef() object.Ref {
	s.ref++
	return s.ref
}

// jitter returns a time between half and one and a half of mean.
func (s *State) jitter(mean time.Duration) time.Duration {
	if s.random == nil {
		return mean
	}
	return mean/2 + time.Duration(s.random.Int64N(int64(mean)))
}

// backoff returns the wait before the next request after so many failures in a row.
func (s *State) backoff() time.Duration {
	mean := retryFirst << min(s.failed, 10)
	s.failed++
	return s.jitter(min(mean, retryMost))
}
