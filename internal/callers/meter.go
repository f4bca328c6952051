package callers

import (
	"sync"
	"time"

	"github.com/azurepond/azurepond/pkg/caller"
)

// Recorder counts how calls go.
type Recorder interface {
	// Ended counts a call that ended with outcome, whole after it arrived; first is the time to its first token, 0 for none.
	CallEnded(call caller.Call, outcome caller.Outcome, first, whole time.Duration)
	// Retried counts a try of a call of target after its first one.
	CallRetried(target string)
}

// WithRecorder makes the server report to meter; it comes before the first call.
func (s *Server) WithRecorder(meter Recorder) *Server {
	s.recorder = meter
	return s
}

// watch is what the server notes of one call for its meter.
type watch struct {
	mutex   sync.Mutex
	call    caller.Call
	arrived time.Time
	first   time.Duration
	tries   int
}

func (w *watch) begin(call caller.Call, now time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.call, w.arrived = call, now
}

// token notes that the first token came, unless one came before.
func (w *watch) token(now time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.first == 0 {
		w.first = now.Sub(w.arrived)
	}
}

// try notes a try, and reports it to meter when it is not the first one.
func (w *watch) try(meter Recorder) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.tries++
	if meter != nil && w.tries > 1 {
		meter.CallRetried(w.call.Target())
	}
}

// end reports the end of the call to meter.
func (w *watch) end(meter Recorder, outcome caller.Outcome, now time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if meter != nil && !w.arrived.IsZero() {
		meter.CallEnded(w.call, outcome, w.first, now.Sub(w.arrived))
	}
}
