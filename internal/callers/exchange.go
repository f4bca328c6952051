package callers

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/engine"
	"github.com/azurepond/azurepond/pkg/reducer"
)

// orderQueue is how many orders of the reducer one call holds before its handler takes them.
const orderQueue = 16

// attemptID names one attempt among all attempts of one daemon.
type attemptID struct {
	kind   caller.Kind
	number uint64
}

// order is what the reducer wants of one call's handler: sendOrder, forwardOrder, replayOrder or finishOrder.
type order interface{ isOrder() }

// sendOrder runs one attempt of a model call.
type sendOrder struct {
	ctx     context.Context
	attempt engine.AttemptID
	address string
	from    int
}

// finishOrder ends the call.
type finishOrder struct{ outcome caller.Outcome }

func (sendOrder) isOrder() {}

func (finishOrder) isOrder() {}

// exchange carries one call between its caller's handler and the reducer; the handler alone writes to the caller.
type exchange struct {
	id     caller.ID
	orders chan order
	watch  watch

	mutex   sync.Mutex
	cancels map[attemptID]context.CancelFunc
}

func newExchange(id caller.ID) *exchange {
	return &exchange{id: id, orders: make(chan order, orderQueue), cancels: map[attemptID]context.CancelFunc{}}
}

// begin returns the context of an attempt, which cancel ends.
func (x *exchange) begin(attempt attemptID) context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.cancels[attempt] = cancel
	return ctx
}

// cancel ends an attempt, whether or not its handler has begun it.
func (x *exchange) cancel(attempt attemptID) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if cancel := x.cancels[attempt]; cancel != nil {
		cancel()
	}
}

// end frees what an attempt held.
func (x *exchange) end(attempt attemptID) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if cancel := x.cancels[attempt]; cancel != nil {
		cancel()
		delete(x.cancels, attempt)
	}
}

// watchCaller tells the reducer when the caller goes away; the returned function ends the watch.
func (s *Server) watchCaller(r *http.Request, x *exchange) func() bool {
	return context.AfterFunc(r.Context(), func() {
		_ = s.daemon.Feed(reducer.NewCallerEvent(caller.NewDisconnected(x.id)))
	})
}

// arrive hands a call to the reducer; an error means that the daemon has ended.
func (s *Server) arrive(call caller.Call) error {
	if x := s.exchange(call.ID()); x != nil {
		x.watch.begin(call, s.clock())
	}
	return s.daemon.Feed(reducer.NewCallerEvent(caller.NewArrived(call)))
}

// deadline returns when the answer to r becomes useless, whole after now unless the caller wants it sooner.
func deadline(r *http.Request, now time.Time, whole time.Duration) (time.Time, error) {
	wanted, err := parseTimeout(r.Header.Get(timeoutHeader))
	if err != nil {
		return time.Time{}, err
	}
	if wanted > 0 && (whole <= 0 || wanted < whole) {
		whole = wanted
	}
	if whole <= 0 {
		whole = maxTimeout
	}
	return now.Add(whole), nil
}
