package callers

import (
	"context"
	"fmt"
	"net/http"

	"github.com/azurepond/azurepond/internal/upstream"
	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/engine"
	"github.com/azurepond/azurepond/pkg/reducer"
)

// reportEvery is how many tokens pass between two reports of progress to the reducer.
const reportEvery = 16

// Upstreams runs attempts at engines and plain services.
type Upstreams interface {
	// Stream runs one attempt at a chat completion and passes its chunks to deliver.
	Stream(ctx context.Context, completion upstream.Completion, deliver func(upstream.Chunk) error) upstream.CompletionResult
	// Forward sends one call to a plain service, at most once.
	Forward(ctx context.Context, request upstream.Request) upstream.Reply
}

// completionCall is one chat completion on its way.
type completionCall struct {
	*exchange
	server  *Server
	wanted  completion
	answer  answer
	passed  int
	summary summary
}

// complete answers one chat completion request.
func (s *Server) complete(w http.ResponseWriter, r *http.Request) {
	asked, isFit := s.take(w, r)
	if !isFit {
		return
	}
	wanted, err := parseCompletion(asked.body)
	if err != nil {
		bodyProblem(err).write(w)
		return
	}
	x := s.open()
	defer s.close(x)
	defer s.watchCaller(r, x)()
	c := &completionCall{exchange: x, server: s, wanted: wanted, answer: s.newAnswer(w, x.id, wanted)}
	if err := s.arrive(modelCall(x.id, asked, wanted)); err != nil {
		outcomeOf(caller.NewNotRun(caller.DaemonStopping, 0)).write(w)
		return
	}
	c.run()
}

func (s *Server) newAnswer(w http.ResponseWriter, id caller.ID, wanted completion) answer {
	if wanted.stream {
		return &streamed{w: w, id: s.answerID(id)}
	}
	return &whole{w: w, id: s.answerID(id)}
}

// answerID returns the identity of a whole answer, as its caller sees it.
func (s *Server) answerID(id caller.ID) string { return fmt.Sprintf("chatcmpl-%s-%d", s.name, id) }

func modelCall(id caller.ID, asked request, wanted completion) caller.Call {
	return caller.NewCall(id, caller.Model, wanted.model, asked.organisation.Name(), asked.until).
		WithIdempotent().
		WithPriority(asked.organisation.Priority()).
		WithMaxTokens(wanted.tokens).
		WithHashes(fingerprint(wanted.body), prefixHashes(wanted.prompt))
}

// run carries out the reducer's orders until the call has ended.
func (c *completionCall) run() {
	for next := range c.orders {
		switch next := next.(type) {
		case sendOrder:
			c.attempt(next)
		case finishOrder:
			c.finish(next.outcome)
			return
		}
	}
}

// attempt runs one attempt and reports on it.
func (c *completionCall) attempt(o sendOrder) {
	defer c.server.release(modelAttempt(o.attempt))
	id := fmt.Sprintf("%s-%d", c.server.name, o.attempt)
	asked, err := upstream.NewCompletion(o.address, id, o.from, c.wanted.body)
	if err != nil {
		c.report(engine.NewFailed(o.attempt, engine.RefusedPermanently, c.passed))
		return
	}
	started := false
	ending := c.server.upstreams.Stream(o.ctx, asked, func(chunk upstream.Chunk) error {
		if !started {
			started = true
			c.report(engine.NewStarted(o.attempt))
		}
		return c.pass(o.attempt, chunk)
	})
	if !ending.Complete() {
		c.report(engine.NewFailed(o.attempt, ending.Failure(), ending.Tokens()))
		return
	}
	c.summary = summary{ending.Model(), ending.FinishReason(), ending.Usage()}
	c.report(engine.NewCompleted(o.attempt))
}

// pass hands one chunk to the caller.
func (c *completionCall) pass(attempt engine.AttemptID, chunk upstream.Chunk) error {
	if chunk.HasUsage() && !c.wanted.usage {
		return nil
	}
	if err := c.answer.token(chunk.EncodeWithID(c.server.answerID(c.id)), chunk.Text()); err != nil {
		return err
	}
	c.watch.token(c.server.clock())
	before := c.passed
	c.passed = max(c.passed, chunk.Position())
	if before/reportEvery != c.passed/reportEvery {
		c.report(engine.NewProgressed(attempt, c.passed))
	}
	return nil
}

func (c *completionCall) report(e engine.Event) {
	_ = c.server.daemon.Feed(reducer.NewEngineEvent(e))
}

func (c *completionCall) finish(outcome caller.Outcome) {
	if _, isAnswered := outcome.(caller.Answered); isAnswered {
		c.answer.end(c.summary)
		return
	}
	c.answer.fail(outcomeOf(outcome))
}
