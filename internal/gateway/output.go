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

// Output writes lines of the log from a bounded buffer, so that nothing waits for who reads them.
type Output struct {
	lines   chan string
	dropped atomic.Int64
}

// NewOutput returns an output whose lines go to w; lines that come while the buffer is full are dropped and counted.
func NewOutput(w io.Writer) *Output {
	o := &Output{lines: make(chan string, linesKept)}
	go o.run(w)
	return o
}

func (o *Output) run(w io.Writer) {
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
func (o *Output) Write(line []byte) (int, error) {
	select {
	case o.lines <- string(line):
	default:
		o.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (o *Output) Dropped() int64 { return o.dropped.Load() }

// Redirect makes the whole program log to o.
func (o *Output) Redirect() error {
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
type journal struct{ *Output }

// Line writes that something was decided or seen in a part of the daemon, with pairs of keys and values.
func (j *journal) Line(part, what string, pairs ...any) { klog.InfoS(part+": "+what, pairs...) }
