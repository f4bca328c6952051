package gateway

import (
	"net/http"
	"time"
)

// The limits of writing to a caller.
const (
	callerWriteTimeout = 30 * time.Second // a caller that takes nothing for so long is gone; a frozen one resumes within seconds
	callerWriteBytes   = 32 << 10         // that are written within one timeout
)

// callerError is an error of writing to the caller.
type callerError struct{ error }

// callerWriter writes to a caller, and marks the errors of that. Without its timeout, a caller that keeps its connection open and reads
// nothing would hold its call, and the slot of that, without end.
type callerWriter struct {
	writer  http.ResponseWriter
	control *http.ResponseController
}

func newCallerWriter(w http.ResponseWriter) callerWriter {
	return callerWriter{w, http.NewResponseController(w)}
}

// Write writes to the caller.
func (w callerWriter) Write(b []byte) (int, error) {
	written := 0
	for {
		_ = w.control.SetWriteDeadline(time.Now().Add(callerWriteTimeout)) // fails only if the connection is closed
		n, err := w.writer.Write(b[written:min(written+callerWriteBytes, len(b))])
		written += n
		if err != nil {
			return written, callerError{err}
		}
		if written >= len(b) {
			return written, nil
		}
	}
}

// writeEvent writes an event and flushes it.
func (w callerWriter) writeEvent(event []byte) error {
	if _, err := w.Write(event); err != nil {
		return err
	}
	if err := w.control.Flush(); err != nil {
		return callerError{err}
	}
	return nil
}
