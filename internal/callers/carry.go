package callers

import (
	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/engine"
)

// Reject carries out the end of a call that was never sent on.
func (s *Server) Reject(effect caller.Reject) {
	s.finish(effect.ID(), effect.Outcome())
}

// ExecuteEngine carries out what the reducer decided about a model call: engine.Send, Cancel or Finish.
func (s *Server) ExecuteEngine(effect engine.Effect) {
	switch effect := effect.(type) {
	case engine.Send:
		s.send(effect)
	case engine.Cancel:
		s.cancel(modelAttempt(effect.Attempt()))
	case engine.Finish:
		s.finish(effect.ID(), effect.Outcome())
	}
}

// modelAttempt returns the name of an attempt at an engine among all attempts of this daemon.
func modelAttempt(a engine.AttemptID) attemptID { return attemptID{caller.Model, uint64(a)} }

func (s *Server) send(effect engine.Send) {
	x := s.exchange(effect.Call().ID())
	if x == nil {
		return
	}
	id := modelAttempt(effect.Attempt())
	s.track(id, x)
	x.watch.try(s.recorder)
	x.orders <- sendOrder{x.begin(id), effect.Attempt(), effect.Address(), effect.TokenOffset()}
}

func (s *Server) finish(id caller.ID, outcome caller.Outcome) {
	if x := s.exchange(id); x != nil {
		x.watch.end(s.recorder, outcome, s.clock())
		x.orders <- finishOrder{outcome}
	}
}
