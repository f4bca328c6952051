package callers

import (
	"sync"
	"time"

	"github.com/azurepond/azurepond/pkg/caller"
)

// Recorder records metrics of calls.
type Recorder interface {
	// CallEnded records the outcome of a call, the time to its first token (0 if there was none) and its total time.
	CallEnded(call caller.Call, outcome caller.Outcome, firstToken, total time.Duration)
	// CallRetried counts one retry of a call to target, that is, an attempt after the first one.
	CallRetried(target string)
}

// WithRecorder sets the recorder of s and returns s. It must be called before the first request.
func (s *Server) WithRecorder(recorder Recorder) *Server {
	s.recorder = recorder
	return s
}

// callStats collects the metrics of one call.
type callStats struct {
	mutex            sync.Mutex
	call             caller.Call
	arrivedAt        time.Time
	timeToFirstToken time.Duration
	attempts         int
	isRecorded       bool
}

func (s *callStats) start(call caller.Call, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.call, s.arrivedAt = call, now
}

// recordFirstToken sets the time to the first token, unless it is already set.
func (s *callStats) recordFirstToken(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.timeToFirstToken == 0 {
		s.timeToFirstToken = now.Sub(s.arrivedAt)
	}
}

// countAttempt counts an attempt and records it as a retry if it is not the first one.
func (s *callStats) countAttempt(recorder Recorder) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.attempts++
	if recorder != nil && s.attempts > 1 {
		recorder.CallRetried(s.call.Target())
	}
}

// finish records the end of the call, unless it was recorded before.
func (s *callStats) finish(recorder Recorder, outcome caller.Outcome, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if recorder != nil && !s.arrivedAt.IsZero() && !s.isRecorded {
		s.isRecorded = true
		recorder.CallEnded(s.call, outcome, s.timeToFirstToken, now.Sub(s.arrivedAt))
	}
}
