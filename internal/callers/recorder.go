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
	// CallRetried counts an attempt of a call of target after its first one.
	CallRetried(target string)
}

// WithRecorder sets the recorder of s and returns s. It must be called before the first request.
func (s *Server) WithRecorder(recorder Recorder) *Server {
	s.recorder = recorder
	return s
}

// callStats collects the metrics of one call.
type callStats struct {
	mutex          sync.Mutex
	call           caller.Call
	arrivedAt      time.Time
	firstTokenTime time.Duration
	attempts       int
}

func (w *callStats) start(call caller.Call, now time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.call, w.arrivedAt = call, now
}

// recordFirstToken sets the time to the first token, once.
func (w *callStats) recordFirstToken(now time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.firstTokenTime == 0 {
		w.firstTokenTime = now.Sub(w.arrivedAt)
	}
}

// countAttempt counts an attempt and records it as a retry if it is not the first one.
func (w *callStats) countAttempt(recorder Recorder) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.attempts++
	if recorder != nil && w.attempts > 1 {
		recorder.CallRetried(w.call.Target())
	}
}

// finish records the end of the call.
func (w *callStats) finish(recorder Recorder, outcome caller.Outcome, now time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if recorder != nil && !w.arrivedAt.IsZero() {
		recorder.CallEnded(w.call, outcome, w.firstTokenTime, now.Sub(w.arrivedAt))
	}
}
