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

// maxQueuedCommands limits the commands of one call that its handler has not received yet. Executing an effect blocks
// while the queue is full.
const maxQueuedCommands = 16

// attemptID identifies an attempt among all attempts of one daemon.
type attemptID struct {
	kind   caller.Kind
	number uint64
}

// command is an instruction of the reducer to the handler of a call: sendCommand, forwardCommand, replayCommand or
// finishCommand.
type command interface{ isCommand() }

// sendCommand runs one attempt of a model call.
type sendCommand struct {
	ctx         context.Context
	attempt     engine.AttemptID
	address     string
	tokenOffset int
}

// finishCommand ends the call.
type finishCommand struct{ outcome caller.Outcome }

func (sendCommand) isCommand() {}

func (finishCommand) isCommand() {}

// exchange connects the HTTP handler of one call with the reducer. Only the handler writes to the caller.
type exchange struct {
	id       caller.ID
	commands chan command
	stats    callStats

	mutex   sync.Mutex
	cancels map[attemptID]context.CancelFunc
}

func newExchange(id caller.ID) *exchange {
	return &exchange{id: id, commands: make(chan command, maxQueuedCommands), cancels: map[attemptID]context.CancelFunc{}}
}

// startAttempt returns the context of an attempt, which cancelAttempt cancels.
func (x *exchange) startAttempt(attempt attemptID) context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.cancels[attempt] = cancel
	return ctx
}

// cancelAttempt cancels the context of an attempt, whether or not the handler has started the attempt.
func (x *exchange) cancelAttempt(attempt attemptID) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if cancel := x.cancels[attempt]; cancel != nil {
		cancel()
	}
}

// cancelAttempts cancels the contexts of all attempts.
func (x *exchange) cancelAttempts() {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	for _, cancel := range x.cancels {
		cancel()
	}
}

// endAttempt releases the context of an attempt.
func (x *exchange) endAttempt(attempt attemptID) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if cancel := x.cancels[attempt]; cancel != nil {
		cancel()
		delete(x.cancels, attempt)
	}
}

// watchDisconnect notifies the reducer when the caller disconnects. The returned function stops the watch.
func (s *Server) watchDisconnect(r *http.Request, x *exchange) func() bool {
	return context.AfterFunc(r.Context(), func() {
		_ = s.daemon.Feed(reducer.NewCallerEvent(caller.NewDisconnected(x.id)))
	})
}

// submit passes a call to the reducer. It returns an error once the daemon has stopped.
func (s *Server) submit(call caller.Call) error {
	if x := s.exchange(call.ID()); x != nil {
		x.stats.start(call, s.clock())
	}
	return s.daemon.Feed(reducer.NewCallerEvent(caller.NewArrived(call)))
}

// requestDeadline returns the deadline of r: timeout after now, or earlier if the caller sets a shorter timeout. If
// neither is set, the deadline is maxCallTimeout after now.
func requestDeadline(r *http.Request, now time.Time, timeout time.Duration) (time.Time, error) {
	requested, err := parseTimeout(r.Header.Get(timeoutHeader))
	if err != nil {
		return time.Time{}, err
	}
	if requested > 0 && (timeout <= 0 || requested < timeout) {
		timeout = requested
	}
	if timeout <= 0 {
		timeout = maxCallTimeout
	}
	return now.Add(timeout), nil
}
