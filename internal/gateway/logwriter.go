package gateway

import (
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
	lines   chan string
	dropped atomic.Int64
}

// NewLogWriter returns a log writer to w; it drops and counts the lines that arrive while the buffer is full.
func NewLogWriter(w io.Writer) *LogWriter {
	l := &LogWriter{lines: make(chan string, maxBufferedLines)}
	go l.run(w)
	return l
}

func (l *LogWriter) run(w io.Writer) {
	reported := int64(0)
	for line := range l.lines {
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
	case l.lines <- string(line):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
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
