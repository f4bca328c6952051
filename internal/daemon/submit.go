package daemon

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/azurepond/azurepond/pkg/operator"
	"github.com/azurepond/azurepond/pkg/reducer"
)

// Submit hands an operator's request to the reducer and waits for its outcome.
func (d *Daemon) Submit(ctx context.Context, e operator.Event) (operator.Outcome, error) {
	request, err := requestOf(e)
	if err != nil {
		return nil, err
	}
	answer := make(chan operator.Outcome, 1)
	d.addWaiter(request, answer)
	defer d.removeWaiter(request, answer)
	if err := d.loop.feed(reducer.NewOperatorEvent(e)); err != nil {
		return nil, trace.Wrap(err)
	}
	select {
	case outcome := <-answer:
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
	return "", trace.BadParameter("%T is no request of an operator", e)
}

func (d *Daemon) addWaiter(request operator.RequestID, answer chan operator.Outcome) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.outcomeWaiters[request] = append(d.outcomeWaiters[request], answer)
}

func (d *Daemon) removeWaiter(request operator.RequestID, answer chan operator.Outcome) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var left []chan operator.Outcome
	for _, other := range d.outcomeWaiters[request] {
		if other != answer {
			left = append(left, other)
		}
	}
	d.outcomeWaiters[request] = left
	if len(left) == 0 {
		delete(d.outcomeWaiters, request)
	}
}

// answer gives an outcome to all who wait for it.
func (d *Daemon) deliverOutcome(request operator.RequestID, outcome operator.Outcome) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, waiting := range d.outcomeWaiters[request] {
		select {
		case waiting <- outcome:
		default:
		}
	}
}

// Fleet returns the configuration that is in force.
func (d *Daemon) Fleet() operator.Fleet { return *d.fleet.Load() }
