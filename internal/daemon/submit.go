package daemon

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/azurepond/azurepond/pkg/operator"
	"github.com/azurepond/azurepond/pkg/reducer"
)

// Submit passes an operator's request to the reducer and waits for its outcome.
func (d *Daemon) Submit(ctx context.Context, e operator.Event) (operator.Outcome, error) {
	request, err := requestOf(e)
	if err != nil {
		return nil, err
	}
	waiter := make(chan operator.Outcome, 1)
	d.addWaiter(request, waiter)
	defer d.removeWaiter(request, waiter)
	if err := d.loop.feed(reducer.NewOperatorEvent(e)); err != nil {
		return nil, trace.Wrap(err)
	}
	select {
	case outcome := <-waiter:
		return outcome, nil
	case <-ctx.Done():
		return nil, trace.Wrap(ctx.Err())
	case <-d.loop.ended:
		return nil, trace.ConnectionProblem(nil, "the daemon has ended")
	}
}

func requestOf(e operator.Event) (operator.RequestID, error) {
	switch e := e.(type) {
	case operator.ApplyRequested:
		return e.Request(), nil
	case operator.ActionRequested:
		return e.Request(), nil
	case operator.ReadRequested:
		return e.Request(), nil
	}
	return "", trace.BadParameter("%T is not an operator request", e)
}

func (d *Daemon) addWaiter(request operator.RequestID, waiter chan operator.Outcome) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.outcomeWaiters[request] = append(d.outcomeWaiters[request], waiter)
}

func (d *Daemon) removeWaiter(request operator.RequestID, waiter chan operator.Outcome) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var remaining []chan operator.Outcome
	for _, other := range d.outcomeWaiters[request] {
		if other != waiter {
			remaining = append(remaining, other)
		}
	}
	d.outcomeWaiters[request] = remaining
	if len(remaining) == 0 {
		delete(d.outcomeWaiters, request)
	}
}

// deliverOutcome sends the outcome of a request to all that wait for it.
func (d *Daemon) deliverOutcome(request operator.RequestID, outcome operator.Outcome) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, waiter := range d.outcomeWaiters[request] {
		select {
		case waiter <- outcome:
		default:
		}
	}
}

// Fleet returns the active configuration.
func (d *Daemon) Fleet() operator.Fleet { return *d.fleet.Load() }
