package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/azurepond/azurepond/pkg/reducer"
)

// maxQueuedJobs is how many jobs may wait for the loop before enqueue blocks.
const maxQueuedJobs = 4096

// job is a function that the loop runs with exclusive access to the state.
type job func(now time.Time, state *reducer.State)

// loop owns the state: every read and every change of it is a job.
type loop struct {
	state   reducer.State
	clock   func() time.Time
	jobs    chan job
	ended   chan struct{}
	execute func(reducer.Effect)
	events  atomic.Int64 // number of events so far
}

func newLoop(clock func() time.Time, execute func(reducer.Effect)) *loop {
	return &loop{
		clock:   clock,
		jobs:    make(chan job, maxQueuedJobs),
		ended:   make(chan struct{}),
		execute: execute,
	}
}

// run runs the jobs until ctx ends.
func (l *loop) run(ctx context.Context) error {
	defer close(l.ended)
	for {
		select {
		case <-ctx.Done():
			return nil
		case next := <-l.jobs:
			next(l.clock(), &l.state)
		}
	}
}

// feed queues an event for the reducer.
func (l *loop) feed(e reducer.Event) error {
	return l.enqueue(func(now time.Time, state *reducer.State) {
		l.events.Add(1)
		for _, effect := range state.Reduce(now, e) {
			l.execute(effect)
		}
	})
}

// enqueue queues a job.
func (l *loop) enqueue(j job) error {
	select {
	case l.jobs <- j:
		return nil
	case <-l.ended:
		return trace.ConnectionProblem(nil, "the daemon has ended")
	}
}

// runAndWait queues a job and waits until it has run. It returns an error if ctx or the loop ends first.
func (l *loop) runAndWait(ctx context.Context, j job) error {
	done := make(chan struct{})
	err := l.enqueue(func(now time.Time, state *reducer.State) {
		defer close(done)
		j(now, state)
	})
	if err != nil {
		return trace.Wrap(err)
	}
	select {
	case <-done:
		return nil
	case <-l.ended:
		return trace.ConnectionProblem(nil, "the daemon has ended")
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
}
