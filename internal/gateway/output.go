package gateway

import (
	"flag"
	"io"
	"strconv"
	"sync/atomic"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"
)

// linesKept is how many lines wait for the writer; at 200 bytes each they take up 800 KB at most.
const linesKept = 4096

// LogWriter writes lines of the log from a bounded buffer, so that nothing waits for who reads them.
type LogWriter struct {
	lines   chan string
	dropped atomic.Int64
}

// NewLogWriter returns an output whose lines go to w; lines that come while the buffer is full are dropped and counted.
func NewLogWriter(w io.Writer) *LogWriter {
	o := &LogWriter{lines: make(chan string, linesKept)}
	go o.run(w)
	return o
}

func (o *LogWriter) run(w io.Writer) {
	told := int64(0)
	for line := range o.lines {
		if dropped := o.dropped.Load(); dropped != told {
			line = "log: dropped lines=" + strconv.FormatInt(dropped-told, 10) + "\n" + line
			told = dropped
		}
		if _, err := io.WriteString(w, line); err != nil {
			o.dropped.Add(1)
		}
	}
}

// Write takes one line; it never waits.
func (o *LogWriter) Write(line []byte) (int, error) {
	select {
	case o.lines <- string(line):
	default:
		o.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (o *LogWriter) Dropped() int64 { return o.dropped.Load() }

// RedirectKlog makes the whole program log to o.
func (o *LogWriter) RedirectKlog() error {
	flags := flag.NewFlagSet("log", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{
		"logtostderr": "false", "alsologtostderr": "false", "stderrthreshold": "FATAL", "one_output": "true",
	} {
		if err := flags.Set(name, value); err != nil {
			return trace.Wrap(err)
		}
	}
	klog.SetOutput(o)
	return nil
}

// journal writes structured lines, with the same keys in all parts.
type journal struct{ *LogWriter }

// Line writes that something was decided or seen in a part of the daemon, with pairs of keys and values.
func (j *journal) Line(part, what string, pairs ...any) { klog.InfoS(part+": "+what, pairs...) }
