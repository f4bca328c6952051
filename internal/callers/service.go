package callers

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/azurepond/azurepond/internal/upstream"
	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/operator"
	"github.com/azurepond/azurepond/pkg/reducer"
	"github.com/azurepond/azurepond/pkg/service"
)

// forwardCommand runs one attempt of a call to a plain service.
type forwardCommand struct {
	ctx      context.Context
	attempt  service.AttemptID
	address  string
	notAfter time.Time
}

// replayCommand ends the call with a stored answer.
type replayCommand struct{ answer service.Answer }

func (forwardCommand) isCommand() {}

func (replayCommand) isCommand() {}

// ExecuteService executes an effect on a call to a plain service: service.Send, Cancel, Finish or Replay.
func (s *Server) ExecuteService(effect service.Effect) {
	switch effect := effect.(type) {
	case service.Send:
		s.enqueueForward(effect)
	case service.Cancel:
		s.cancelAttempt(serviceAttemptID(effect.Attempt()))
	case service.Finish:
		s.enqueueFinish(effect.ID(), effect.Outcome())
	case service.Replay:
		if x := s.exchange(effect.ID()); x != nil {
			x.stats.finish(s.recorder, caller.Answered{}, s.clock())
			x.commands <- replayCommand{effect.Answer()}
		}
	}
}

// serviceAttemptID returns the ID of an attempt at a service among all attempts of this daemon.
func serviceAttemptID(a service.AttemptID) attemptID { return attemptID{caller.Service, uint64(a)} }

// enqueueForward queues an attempt for the handler of its call. If the handler has returned, as after the caller
// disconnected, the attempt is reported as not sent.
func (s *Server) enqueueForward(effect service.Send) {
	x := s.exchange(effect.Call().ID())
	if x == nil {
		go s.report(service.NewFailed(effect.Attempt(), service.NotSent))
		return
	}
	id := serviceAttemptID(effect.Attempt())
	s.trackAttempt(id, x)
	x.stats.countAttempt(s.recorder)
	x.commands <- forwardCommand{x.startAttempt(id), effect.Attempt(), effect.Address(), effect.NotAfter()}
}

func (s *Server) report(e service.Event) { _ = s.daemon.Feed(reducer.NewServiceEvent(e)) }

// serviceCall is a call to a plain service in progress.
type serviceCall struct {
	*exchange
	server       *Server
	w            http.ResponseWriter
	method       string
	path         string
	pathAndQuery string
	header       http.Header
	body         []byte
	idempotent   bool
	reply        upstream.Reply
}

// handleService handles a request for a plain service.
func (s *Server) handleService(w http.ResponseWriter, r *http.Request) {
	req, ok := s.readRequest(w, r)
	if !ok {
		return
	}
	key, err := idempotencyKey(r)
	if err != nil {
		requestProblem(err).write(w)
		return
	}
	x := s.openExchange()
	defer s.closeExchange(x)
	defer s.watchDisconnect(r, x)()
	c := &serviceCall{
		exchange:     x,
		server:       s,
		w:            w,
		method:       r.Method,
		path:         "/" + r.PathValue("path"),
		pathAndQuery: servicePathAndQuery(r),
		header:       r.Header.Clone(),
		body:         req.body,
	}
	call := c.newCall(s.daemon.Fleet(), r.PathValue("service"), req).WithKey(key)
	c.idempotent = call.Idempotent()
	if err := s.submit(call); err != nil {
		outcomeProblem(caller.NewNotRun(caller.DaemonStopping, 0)).write(w)
		return
	}
	c.run()
}

// servicePathAndQuery returns the path and query that are sent to the service, without the prefix /services/{service}.
func servicePathAndQuery(r *http.Request) string {
	pathAndQuery := "/" + r.PathValue("path")
	if r.URL.RawQuery != "" {
		pathAndQuery += "?" + r.URL.RawQuery
	}
	return pathAndQuery
}

// newCall returns the call that is submitted to the reducer. Its fingerprint covers the method, path, query and body.
func (c *serviceCall) newCall(fleet operator.Fleet, name string, req request) caller.Call {
	content := append([]byte(c.method+" "+c.pathAndQuery+"\n"), c.body...)
	call := caller.NewCall(c.id, caller.Service, name, req.organisation.Name(), req.deadline).
		WithPriority(req.organisation.Priority()).
		WithHashes(fingerprint(content), nil)
	for _, configured := range fleet.Services() {
		if configured.Name() == name && configured.Idempotent(c.method, c.path) {
			return call.WithIdempotent()
		}
	}
	return call
}

// run executes the reducer's commands until the call has ended. Attempts run in their own goroutines, so that the
// caller gets its answer at once even if an attempt is still running.
func (c *serviceCall) run() {
	for cmd := range c.commands {
		switch cmd := cmd.(type) {
		case forwardCommand:
			go c.runAttempt(cmd)
		case replayCommand:
			c.replay(cmd.answer)
			return
		case finishCommand:
			c.finish(cmd.outcome)
			return
		}
	}
}

// runAttempt runs one attempt and reports its result to the reducer.
func (c *serviceCall) runAttempt(cmd forwardCommand) {
	defer c.server.releaseAttempt(serviceAttemptID(cmd.attempt))
	id := fmt.Sprintf("%s-s%d", c.server.name, cmd.attempt)
	request := upstream.NewRequest(cmd.address, id, c.method, c.pathAndQuery, c.header, c.body).WithNotAfter(cmd.notAfter)
	if c.idempotent {
		request = request.WithIdempotent()
	}
	c.reply = c.server.upstreams.Forward(cmd.ctx, request)
	if c.reply.Delivery() == upstream.Answered {
		contentType := c.reply.Header().Get("Content-Type")
		c.server.report(service.NewReplied(cmd.attempt, service.NewAnswer(c.reply.Status(), contentType, c.reply.Body())))
		return
	}
	c.server.report(service.NewFailed(cmd.attempt, failureOf(cmd.ctx, c.reply.Delivery())))
}

func failureOf(ctx context.Context, delivery upstream.DeliveryStatus) service.Failure {
	switch {
	case delivery == upstream.NotSent:
		return service.NotSent
	case errors.Is(ctx.Err(), context.Canceled):
		return service.Halted
	case delivery == upstream.IdentityMismatch:
		return service.IdentityMismatch
	}
	return service.AnswerIncomplete
}

// finish writes the answer of the service, or the reason why there is none.
func (c *serviceCall) finish(outcome caller.Outcome) {
	if _, isAnswered := outcome.(caller.Answered); !isAnswered {
		outcomeProblem(outcome).write(c.w)
		return
	}
	header := c.w.Header()
	for name, values := range c.reply.Header() {
		header[name] = values
	}
	header.Set(outcomeHeader, outcomeAnswered)
	c.w.WriteHeader(c.reply.Status())
	_, _ = c.w.Write(c.reply.Body())
}

// replay writes the stored answer to an earlier call with the same idempotency key.
func (c *serviceCall) replay(answer service.Answer) {
	header := c.w.Header()
	header.Set("Content-Type", answer.ContentType())
	header.Set(outcomeHeader, outcomeAnswered)
	header.Set(replayHeader, "true")
	c.w.WriteHeader(answer.Status())
	_, _ = c.w.Write(answer.Body())
}
