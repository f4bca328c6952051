package gateway

import (
	"context"
	"io"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// gatedWriter writes once gate is closed.
type gatedWriter struct {
	strings.Builder
	gate chan struct{}
}

func (w *gatedWriter) Write(p []byte) (int, error) {
	<-w.gate
	return w.Builder.Write(p)
}

func TestLastLogLinesAreLost(t *testing.T) {
	Convey("Flush waits for the lines before it, unless the reader of the log is stuck", t, func() {
		w := &gatedWriter{gate: make(chan struct{})}
		l := NewLogWriter(w)
		for range 100 {
			_, _ = io.WriteString(l, "line\n")
		}
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		l.Flush(ended)
		close(w.gate)
		l.Flush(context.Background())
		So(w.String(), ShouldEqual, strings.Repeat("line\n", 100))
	})
}
