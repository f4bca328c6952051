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

// forwardOrder runs one attempt of a call to a plain service.
type forwardOrder struct {
	ctx      context.Context
	attempt  service.AttemptID
	address  string
	notAfter time.Time
}

// replayOrder ends the call with an earlier answer.
type replayOrder struct{ answer service.Answer }

func (forwardOrder) isOrder() {}

func (replayOrder) isOrder() {}

// ExecuteService carries out what the reducer decided about a call to a plain service: service.Send, Cancel, Finish or Replay.
func (s *Server) ExecuteService(effect service.Effect) {
	switch effect := effect.(type) {
	case service.Send:
		s.forward(effect)
	case service.Cancel:
		s.cancel(serviceAttempt(effect.Attempt()))
	case service.Finish:
		s.finish(effect.ID(), effect.Outcome())
	case service.Replay:
		if x := s.exchange(effect.ID()); x != nil {
			x.watch.end(s.recorder, caller.Answered{}, s.clock())
			x.orders <- replayOrder{effect.Answer()}
		}
	}
}

// serviceAttempt returns the name of an attempt at a service among all attempts of this daemon.
func serviceAttempt(a service.AttemptID) attemptID { return attemptID{caller.Service, uint64(a)} }

// forward hands an attempt to its call's handler; if the caller has gone meanwhile, the attempt was never sent.
func (s *Server) forward(effect service.Send) {
	x := s.exchange(effect.Call().ID())
	if x == nil {
		go s.report(service.NewFailed(effect.Attempt(), service.NotSent))
		return
	}
	id := serviceAttempt(effect.Attempt())
	s.track(id, x)
	x.watch.try(s.recorder)
	x.orders <- forwardOrder{x.begin(id), effect.Attempt(), effect.Address(), effect.NotAfter()}
}

func (s *Server) report(e service.Event) { _ = s.daemon.Feed(reducer.NewServiceEvent(e)) }

// serviceCall is one call to a plain service on its way.
type serviceCall struct {
	*exchange
	server     *Server
	w          http.ResponseWriter
	method     string
	path       string
	target     string
	header     http.Header
	body       []byte
	idempotent bool
	reply      upstream.Reply
}

// serve answers one request for a plain service.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	asked, isFit := s.take(w, r)
	if !isFit {
		return
	}
	key, err := idempotencyKey(r)
	if err != nil {
		bodyProblem(err).write(w)
		return
	}
	x := s.open()
	defer s.close(x)
	defer s.watchCaller(r, x)()
	c := &serviceCall{
		exchange: x,
		server:   s,
		w:        w,
		method:   r.Method,
		path:     "/" + r.PathValue("path"),
		target:   servicePath(r),
		header:   r.Header.Clone(),
		body:     asked.body,
	}
	call := c.describe(s.daemon.Fleet(), r.PathValue("service"), asked).WithKey(key)
	c.idempotent = call.Idempotent()
	if err := s.arrive(call); err != nil {
		outcomeOf(caller.NewNotRun(caller.DaemonStopping, 0)).write(w)
		return
	}
	c.run()
}

// servicePath returns the path and query that the service sees.
func servicePath(r *http.Request) string {
	target := "/" + r.PathValue("path")
	if r.URL.RawQuery != "" {
		target += "?" + r.URL.RawQuery
	}
	return target
}

// describe returns the call as the decisions see it.
func (c *serviceCall) describe(fleet operator.Fleet, name string, asked request) caller.Call {
	content := append([]byte(c.method+" "+c.target+"\n"), c.body...)
	call := caller.NewCall(c.id, caller.Service, name, asked.organisation.Name(), asked.until).
		WithPriority(asked.organisation.Priority()).
		WithHashes(fingerprint(content), nil)
	for _, known := range fleet.Services() {
		if known.Name() == name && known.Idempotent(c.method, c.path) {
			return call.WithIdempotent()
		}
	}
	return call
}

// run carries out the reducer's orders until the call has ended; an attempt may outlast its call, whose caller is told
// at once.
func (c *serviceCall) run() {
	for next := range c.orders {
		switch next := next.(type) {
		case forwardOrder:
			go c.attempt(next)
		case replayOrder:
			c.replay(next.answer)
			return
		case finishOrder:
			c.finish(next.outcome)
			return
		}
	}
}

// attempt runs one attempt and reports on it.
func (c *serviceCall) attempt(o forwardOrder) {
	defer c.server.release(serviceAttempt(o.attempt))
	id := fmt.Sprintf("%s-s%d", c.server.name, o.attempt)
	request := upstream.NewRequest(o.address, id, c.method, c.target, c.header, c.body).WithNotAfter(o.notAfter)
	if c.idempotent {
		request = request.WithIdempotent()
	}
	c.reply = c.server.upstreams.Forward(o.ctx, request)
	if c.reply.Delivery() == upstream.Answered {
		kind := c.reply.Header().Get("Content-Type")
		c.server.report(service.NewReplied(o.attempt, service.NewAnswer(c.reply.Status(), kind, c.reply.Body())))
		return
	}
	c.server.report(service.NewFailed(o.attempt, failureOf(o.ctx, c.reply.Delivery())))
}

func failureOf(ctx context.Context, fate upstream.DeliveryStatus) service.Failure {
	switch {
	case fate == upstream.NotSent:
		return service.NotSent
	case errors.Is(ctx.Err(), context.Canceled):
		return service.Halted
	case fate == upstream.IdentityMismatch:
		return service.IdentityMismatch
	}
	return service.AnswerIncomplete
}

// finish passes on the answer that came, or says why there is none.
func (c *serviceCall) finish(outcome caller.Outcome) {
	if _, isAnswered := outcome.(caller.Answered); !isAnswered {
		outcomeOf(outcome).write(c.w)
		return
	}
	header := c.w.Header()
	for name, values := range c.reply.Header() {
		header[name] = values
	}
	header.Set(outcomeHeader, wordAnswered)
	c.w.WriteHeader(c.reply.Status())
	_, _ = c.w.Write(c.reply.Body())
}

// replay passes on the answer that an earlier call with the same key received.
func (c *serviceCall) replay(answer service.Answer) {
	header := c.w.Header()
	header.Set("Content-Type", answer.ContentType())
	header.Set(outcomeHeader, wordAnswered)
	header.Set(replayHeader, "true")
	c.w.WriteHeader(answer.Status())
	_, _ = c.w.Write(answer.Body())
}
