package callers

import (
	"maps"
	"slices"

	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/engine"
)

// Reject executes an effect that ends a call which was never sent to an upstream.
func (s *Server) Reject(effect caller.Reject) {
	s.enqueueFinish(effect.ID(), effect.Outcome())
}

// ExecuteEngine executes an effect on a model call: engine.Send, Cancel or Finish.
func (s *Server) ExecuteEngine(effect engine.Effect) {
	switch effect := effect.(type) {
	case engine.Send:
		s.enqueueSend(effect)
	case engine.Cancel:
		s.cancelAttempt(modelAttemptID(effect.Attempt()))
	case engine.Finish:
		s.enqueueFinish(effect.ID(), effect.Outcome())
	}
}

// EndCalls answers all calls that have not ended as ones that may have run, and cancels their attempts, since the process ends.
func (s *Server) EndCalls() {
	s.mutex.Lock()
	exchanges := slices.Collect(maps.Values(s.exchanges))
	s.mutex.Unlock()
	outcome := caller.NewUnknown(caller.DaemonStopping)
	for _, x := range exchanges {
		x.stats.finish(s.recorder, outcome, s.clock())
		select {
		case x.commands <- finishCommand{outcome}:
		default: // the handler is far behind, and its connection is closed without an answer
		}
		x.cancelAttempts()
	}
}

// modelAttemptID returns the ID of an attempt at an engine among all attempts of this daemon.
func modelAttemptID(a engine.AttemptID) attemptID { return attemptID{caller.Model, uint64(a)} }

func (s *Server) enqueueSend(effect engine.Send) {
	x := s.exchange(effect.Call().ID())
	if x == nil {
		return
	}
	id := modelAttemptID(effect.Attempt())
	s.trackAttempt(id, x)
	x.stats.countAttempt(s.recorder)
	x.commands <- sendCommand{x.startAttempt(id), effect.Attempt(), effect.Address(), effect.TokenOffset()}
}

func (s *Server) enqueueFinish(id caller.ID, outcome caller.Outcome) {
	if x := s.exchange(id); x != nil {
		x.stats.finish(s.recorder, outcome, s.clock())
		x.commands <- finishCommand{outcome}
	}
}
