package gateway

import (
	"context"
	"io"
	"net/http"

	"github.com/azurepond/azurepond/internal/transport"
	"github.com/azurepond/azurepond/pkg/dispatch"
	"github.com/azurepond/azurepond/pkg/route"
)

// maxAnswer bounds an answer that is read whole before it is passed on.
const maxAnswer = 16 << 20

// held is an answer that was read whole.
type held struct {
	status int
	header http.Header
	body   []byte
}

// pass writes the answer to the caller.
func (h *held) pass(w http.ResponseWriter) {
	copyHeader(w.Header(), h.header)
	w.WriteHeader(h.status)
	_, _ = w.Write(h.body) // a caller that is gone is told to the reducer by its context
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}

// attempt runs the request once at an upstream, and reports whether the caller has the whole answer.
func (e *exchange) attempt(send dispatch.Send) bool {
	ctx, cancel := context.WithCancel(e.daemon.work)
	defer cancel()
	e.daemon.begin(send.Attempt(), cancel)
	defer e.daemon.end(send.Attempt())
	if e.request.Context().Err() != nil {
		e.report(ctx, dispatch.NewFailed(send.Attempt(), dispatch.NotSent))
		return false
	}
	done, sent, err := e.daemon.pool.Do(ctx, send.Address(), send.Kind() == route.Once, e.message(send),
		func(h http.Header) bool { return e.daemon.adapter.Wire.Belongs(h, e.name) })
	if err != nil {
		e.lost(ctx, send, sent, err)
		return false
	}
	verdict := e.daemon.adapter.Wire.Judge(done.Response)
	switch {
	case verdict.Failure == dispatch.Errored:
		return e.errored(ctx, send, done, verdict)
	case verdict.Failure != dispatch.NoFailure:
		e.rejected(send, done, verdict)
		return false
	case send.Kind() == route.Stream:
		return e.stream(ctx, send, done, verdict)
	}
	return e.whole(ctx, send, done, verdict)
}

func (d *Daemon) begin(attempt dispatch.AttemptID, cancel context.CancelFunc) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.attempts[attempt] = cancel
}

func (d *Daemon) end(attempt dispatch.AttemptID) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.attempts, attempt)
}

// message returns the request as the upstream gets it.
func (e *exchange) message(send dispatch.Send) transport.Message {
	header := e.request.Header.Clone()
	e.daemon.adapter.Wire.Forward(header, send)
	return transport.Message{
		Method: e.request.Method, Target: e.request.RequestURI, Host: e.request.Host, Header: header, Body: e.body,
	}
}

// report tells the reducer how an attempt failed, or that it was cancelled if that came first.
func (e *exchange) report(ctx context.Context, failed dispatch.Failed) {
	if ctx.Err() != nil {
		failed = failed.WithFailure(dispatch.Halted)
	}
	if e.begun {
		failed = failed.WithProgress(e.last)
	}
	e.daemon.feedDispatch(failed)
}

func (e *exchange) lost(ctx context.Context, send dispatch.Send, sent bool, err error) {
	failure := dispatch.Interrupted
	if !sent {
		failure = dispatch.NotSent
	}
	e.daemon.log.Line("upstream", "no answer", "id", e.name, "upstream", send.Upstream(), "sent", sent, "err", err.Error())
	e.report(ctx, dispatch.NewFailed(send.Attempt(), failure))
}

// rejected takes in an answer by which the request did not run.
func (e *exchange) rejected(send dispatch.Send, done *transport.Exchange, v Verdict) {
	if _, err := io.Copy(io.Discard, io.LimitReader(done.Response.Body, maxAnswer)); err != nil {
		done.Abort()
	} else {
		done.Close()
	}
	e.daemon.feedDispatch(dispatch.NewFailed(send.Attempt(), v.Failure).WithFault(v.Fault, v.Load))
}

// errored holds the failure that the upstream answered with.
func (e *exchange) errored(ctx context.Context, send dispatch.Send, done *transport.Exchange, v Verdict) bool {
	if !e.read(ctx, send, done) {
		return false
	}
	e.daemon.feedDispatch(dispatch.NewFailed(send.Attempt(), dispatch.Errored).WithFault(v.Fault, v.Load))
	return false
}

// whole passes on an answer once it has been read whole.
func (e *exchange) whole(ctx context.Context, send dispatch.Send, done *transport.Exchange, v Verdict) bool {
	if !e.read(ctx, send, done) {
		return false
	}
	e.daemon.feedDispatch(dispatch.NewStarted(send.Attempt(), v.Load))
	e.held.pass(e.writer)
	e.daemon.feedDispatch(dispatch.NewCompleted(send.Attempt()))
	return true
}

// read reads an answer whole, and reports the attempt as failed if that is not possible.
func (e *exchange) read(ctx context.Context, send dispatch.Send, done *transport.Exchange) bool {
	body, err := io.ReadAll(io.LimitReader(done.Response.Body, maxAnswer))
	if err != nil {
		done.Abort()
		e.daemon.log.Line("upstream", "answer cut", "id", e.name, "upstream", send.Upstream(), "err", err.Error())
		e.report(ctx, dispatch.NewFailed(send.Attempt(), dispatch.Interrupted))
		return false
	}
	header := done.Response.Header.Clone()
	e.daemon.adapter.Wire.Return(header)
	e.held = &held{done.Response.StatusCode, header, body}
	done.Close()
	return true
}
