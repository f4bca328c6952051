package gateway

import (
	"context"
	"flag"
	"io"
	"strconv"
	"sync/atomic"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"
)

// maxBufferedLines limits the memory of the buffer to about 800 KB, at 200 bytes per line.
const maxBufferedLines = 4096

// LogWriter writes log lines through a bounded buffer, so that a slow reader of the log never blocks the daemon.
type LogWriter struct {
	lines   chan logEntry
	dropped atomic.Int64
}

// logEntry is a line to write, or a call of Flush that waits for the lines before it.
type logEntry struct {
	text    string
	flushed chan struct{} // nil for a line
}

// NewLogWriter returns a log writer to w; it drops and counts the lines that arrive while the buffer is full.
func NewLogWriter(w io.Writer) *LogWriter {
	l := &LogWriter{lines: make(chan logEntry, maxBufferedLines)}
	go l.run(w)
	return l
}

func (l *LogWriter) run(w io.Writer) {
	reported := int64(0)
	for next := range l.lines {
		if next.flushed != nil {
			close(next.flushed)
			continue
		}
		line := next.text
		if dropped := l.dropped.Load(); dropped != reported {
			line = "log: dropped lines=" + strconv.FormatInt(dropped-reported, 10) + "\n" + line
			reported = dropped
		}
		if _, err := io.WriteString(w, line); err != nil {
			l.dropped.Add(1)
		}
	}
}

// Write buffers one line; it never blocks.
func (l *LogWriter) Write(line []byte) (int, error) {
	select {
	case l.lines <- logEntry{text: string(line)}:
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Flush waits until the lines so far are written, at most until ctx ends, since a reader of the log may be stuck.
func (l *LogWriter) Flush(ctx context.Context) {
	flushed := make(chan struct{})
	select {
	case l.lines <- logEntry{flushed: flushed}:
	case <-ctx.Done():
		return
	}
	select {
	case <-flushed:
	case <-ctx.Done():
	}
}

// DroppedLines returns the number of dropped lines.
func (l *LogWriter) DroppedLines() int64 { return l.dropped.Load() }

// RedirectKlog sends the log lines of the whole process to the writer.
func (l *LogWriter) RedirectKlog() error {
	flags := flag.NewFlagSet("log", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{
		"logtostderr": "false", "alsologtostderr": "false", "stderrthreshold": "FATAL", "one_output": "true",
	} {
		if err := flags.Set(name, value); err != nil {
			return trace.Wrap(err)
		}
	}
	klog.SetOutput(l)
	return nil
}

// logger writes structured log lines.
type logger struct{ *LogWriter }

// Info writes a message of a component of the daemon, with pairs of keys and values.
func (l *logger) Info(component, message string, pairs ...any) {
	klog.InfoS(component+": "+message, pairs...)
}
