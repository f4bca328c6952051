package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/azurepond/azurepond/pkg/reducer"
)

// queueLength is how many jobs may wait for the loop before those who bring more have to wait.
const maxQueuedJobs = 4096

// job is one thing that the loop does while nothing else touches the state.
type job func(now time.Time, state *reducer.State)

// loop owns the state: all that reads or changes it is a job that the loop runs.
type loop struct {
	state   reducer.State
	clock   func() time.Time
	jobs    chan job
	ended   chan struct{}
	execute func(reducer.Effect)
	events  atomic.Int64
}

func newLoop(clock func() time.Time, execute func(reducer.Effect)) *loop {
	return &loop{
		clock:   clock,
		jobs:    make(chan job, maxQueuedJobs),
		ended:   make(chan struct{}),
		execute: execute,
	}
}

// run does the jobs until ctx ends.
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

// feed brings an event to the reducer.
func (l *loop) feed(e reducer.Event) error {
	return l.enqueue(func(now time.Time, state *reducer.State) {
		l.events.Add(1)
		for _, effect := range state.Reduce(now, e) {
			l.execute(effect)
		}
	})
}

// put hands a job to the loop.
func (l *loop) enqueue(next job) error {
	select {
	case l.jobs <- next:
		return nil
	case <-l.ended:
		return trace.ConnectionProblem(nil, "the daemon has ended")
	}
}

// ask runs a job and waits until it is done.
func (l *loop) runAndWait(ctx context.Context, question job) error {
	done := make(chan struct{})
	err := l.enqueue(func(now time.Time, state *reducer.State) {
		defer close(done)
		question(now, state)
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
