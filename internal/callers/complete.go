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

// tokensPerReport is the number of tokens between two progress reports to the reducer.
const tokensPerReport = 16

// Upstreams runs attempts at engines and plain services.
type Upstreams interface {
	// Stream runs one attempt at a chat completion and calls deliver with each chunk.
	Stream(
		ctx context.Context, completion upstream.Completion, deliver func(upstream.Chunk) error,
	) upstream.CompletionResult
	// Forward runs one attempt at a call to a plain service. A call that is not idempotent is sent at most once.
	Forward(ctx context.Context, request upstream.Request) upstream.Reply
}

// completionCall is a chat completion in progress.
type completionCall struct {
	*exchange
	server          *Server
	request         completionRequest
	answer          answerWriter
	deliveredTokens int
	summary         summary
}

// handleCompletion handles a chat completion request.
func (s *Server) handleCompletion(w http.ResponseWriter, r *http.Request) {
	req, ok := s.readRequest(w, r)
	if !ok {
		return
	}
	completion, err := parseCompletion(req.body)
	if err != nil {
		requestProblem(err).write(w)
		return
	}
	x := s.openExchange()
	defer s.closeExchange(x)
	defer s.watchDisconnect(r, x)()
	c := &completionCall{exchange: x, server: s, request: completion, answer: s.newAnswerWriter(w, x.id, completion)}
	if err := s.submit(newModelCall(x.id, req, completion)); err != nil {
		outcomeProblem(caller.NewNotRun(caller.DaemonStopping, 0)).write(w)
		return
	}
	c.run()
}

func (s *Server) newAnswerWriter(w http.ResponseWriter, id caller.ID, completion completionRequest) answerWriter {
	if completion.stream {
		return &eventStreamWriter{w: w, id: s.answerID(id)}
	}
	return &jsonWriter{w: w, id: s.answerID(id)}
}

// answerID returns the ID of an answer in all its chunks, whichever attempt produced them.
func (s *Server) answerID(id caller.ID) string { return fmt.Sprintf("chatcmpl-%s-%d", s.name, id) }

func newModelCall(id caller.ID, req request, completion completionRequest) caller.Call {
	return caller.NewCall(id, caller.Model, completion.model, req.organisation.Name(), req.deadline).
		WithIdempotent().
		WithPriority(req.organisation.Priority()).
		WithMaxTokens(completion.maxTokens).
		WithHashes(fingerprint(completion.body), prefixHashes(completion.prompt))
}

// run executes the reducer's commands until the call has ended.
func (c *completionCall) run() {
	for cmd := range c.commands {
		switch cmd := cmd.(type) {
		case sendCommand:
			c.runAttempt(cmd)
		case finishCommand:
			c.finish(cmd.outcome)
			return
		}
	}
}

// runAttempt runs one attempt and reports its progress and result to the reducer.
func (c *completionCall) runAttempt(cmd sendCommand) {
	defer c.server.releaseAttempt(modelAttemptID(cmd.attempt))
	id := fmt.Sprintf("%s-%d", c.server.name, cmd.attempt)
	req, err := upstream.NewCompletion(cmd.address, id, cmd.tokenOffset, c.request.body)
	if err != nil {
		c.report(engine.NewFailed(cmd.attempt, engine.RefusedPermanently, c.deliveredTokens))
		return
	}
	started := false
	result := c.server.upstreams.Stream(cmd.ctx, req, func(chunk upstream.Chunk) error {
		if !started {
			started = true
			c.report(engine.NewStarted(cmd.attempt))
		}
		return c.deliver(cmd.attempt, chunk)
	})
	if !result.Complete() {
		c.report(engine.NewFailed(cmd.attempt, result.Failure(), result.Tokens()))
		return
	}
	c.summary = summary{result.Model(), result.FinishReason(), result.Usage()}
	c.report(engine.NewCompleted(cmd.attempt))
}

// deliver writes one chunk to the caller and reports the progress every tokensPerReport tokens. It skips the token
// count if the caller did not request it.
func (c *completionCall) deliver(attempt engine.AttemptID, chunk upstream.Chunk) error {
	if chunk.HasUsage() && !c.request.includeUsage {
		return nil
	}
	if err := c.answer.writeChunk(chunk.EncodeWithID(c.server.answerID(c.id)), chunk.Text()); err != nil {
		return err
	}
	c.stats.recordFirstToken(c.server.clock())
	before := c.deliveredTokens
	c.deliveredTokens = max(c.deliveredTokens, chunk.Position())
	if before/tokensPerReport != c.deliveredTokens/tokensPerReport {
		c.report(engine.NewProgressed(attempt, c.deliveredTokens))
	}
	return nil
}

func (c *completionCall) report(e engine.Event) {
	_ = c.server.daemon.Feed(reducer.NewEngineEvent(e))
}

func (c *completionCall) finish(outcome caller.Outcome) {
	if _, isAnswered := outcome.(caller.Answered); isAnswered {
		c.answer.writeEnd(c.summary)
		return
	}
	c.answer.writeProblem(outcomeProblem(outcome))
}
