package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/azurepond/azurepond/internal/memory"
	hop "github.com/azurepond/azurepond/internal/relay"
	"github.com/azurepond/azurepond/internal/transport"
	"github.com/azurepond/azurepond/pkg/dispatch"
	"github.com/azurepond/azurepond/pkg/gateway"
	"github.com/azurepond/azurepond/pkg/relay"
	"github.com/azurepond/azurepond/pkg/replica"
	"github.com/azurepond/azurepond/pkg/route"
)

// bufferedAnswer is an answer that was read completely.
type bufferedAnswer struct {
	status int
	header http.Header
	body   *memory.Buffer
}

// writeTo writes the answer to the caller.
func (a *bufferedAnswer) writeTo(w http.ResponseWriter, r *http.Request) {
	copyHeader(w.Header(), a.header)
	if isUnframed(r) && r.Method != http.MethodHead {
		w.Header().Set("Content-Length", strconv.Itoa(a.body.Len()))
	}
	w.WriteHeader(a.status)
	_, _ = a.body.WriteTo(newCallerWriter(w)) // the request's context reports a disconnected caller to the reducer
}

// copyHeader copies the headers of an upstream's answer. net/http must not guess a media type that the upstream did not state.
func copyHeader(to, from http.Header) {
	to["Content-Type"] = nil
	for name, values := range from {
		to[name] = values
	}
}

// runAttempt sends the request to an upstream, and reports whether the caller received the complete answer.
func (e *exchange) runAttempt(send dispatch.Send) bool {
	ctx := e.daemon.attemptContext(send.Attempt())
	defer e.daemon.removeAttempt(send.Attempt())
	e.discardKept() // the reducer forwards only the failure of the last attempt
	if e.request.Context().Err() != nil {
		e.daemon.enqueueDispatch(dispatch.NewCallerLeft(e.id))
		e.reportFailure(ctx, dispatch.NewFailed(send.Attempt(), dispatch.NotSent))
		return false
	}
	answer, failure, err := e.sendAnyWay(ctx, send)
	if err != nil {
		e.reportNoAnswer(ctx, send, failure, err)
		return false
	}
	class := e.daemon.adapter.Headers.ClassifyAnswer(answer.Response)
	if class.RetryAfter > 0 {
		e.daemon.enqueueDispatch(dispatch.NewThrottled(send.Attempt(), class.RetryAfter))
	}
	if class.Leaving {
		e.daemon.enqueue(gateway.NewLeavingReported(replica.ID(send.Upstream())))
	}
	switch {
	case class.Failure == dispatch.Errored && class.Misleading:
		e.discardError(send, answer, class)
		return false
	case class.Failure == dispatch.Errored:
		return e.bufferError(ctx, send, answer, class)
	case class.Failure != dispatch.NoFailure:
		e.reportRejection(send, answer, class)
		return false
	case send.Kind() == route.Stream:
		return e.forwardStream(ctx, send, answer, class)
	}
	return e.forwardBuffered(ctx, send, answer, class)
}

// attemptWork is the context of an attempt.
type attemptWork struct {
	ctx    context.Context
	cancel context.CancelFunc
}

// addAttempt adds an attempt before it is delivered, so that it can be cancelled from then on.
func (d *Daemon) addAttempt(attempt dispatch.AttemptID) {
	ctx, cancel := context.WithCancel(d.ctx)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.attempts[attempt] = attemptWork{ctx, cancel}
}

// attemptContext returns the context of an attempt, which is cancelled already if the attempt was removed.
func (d *Daemon) attemptContext(attempt dispatch.AttemptID) context.Context {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if work, isKnown := d.attempts[attempt]; isKnown {
		return work.ctx
	}
	ctx, cancel := context.WithCancel(d.ctx)
	cancel()
	return ctx
}

func (d *Daemon) removeAttempt(attempt dispatch.AttemptID) {
	d.mutex.Lock()
	work := d.attempts[attempt]
	delete(d.attempts, attempt)
	d.mutex.Unlock()
	if work.cancel != nil {
		work.cancel()
	}
}

// upstreamMessage returns the request to the upstream.
func (e *exchange) upstreamMessage(send dispatch.Send) transport.RawRequest {
	header := e.request.Header.Clone()
	e.daemon.adapter.Headers.SetUpstreamHeaders(header, send)
	return transport.RawRequest{
		Method: e.request.Method, Target: e.request.RequestURI, Host: e.request.Host, Header: header, Body: e.body,
	}
}

// reportFailure reports a failed attempt to the reducer, as halted if its context was cancelled.
func (e *exchange) reportFailure(ctx context.Context, failed dispatch.Failed) {
	if ctx.Err() != nil {
		failed = failed.AsCancelled()
	}
	if e.headSent {
		failed = failed.WithProgress(e.lastEventID)
	}
	e.daemon.enqueueDispatch(failed)
}

func (e *exchange) reportNoAnswer(ctx context.Context, send dispatch.Send, failure dispatch.Failure, err error) {
	e.daemon.log.Info("upstream", "no answer",
		"id", e.name, "upstream", send.Upstream(), "relay", e.via.Name(), "failure", failure, "err", err.Error())
	e.reportFailure(ctx, dispatch.NewFailed(send.Attempt(), failure))
}

// The limits of the body of an answer that is discarded. A larger or later one costs the connection.
const (
	maxRejectionBytes = 64 << 10
	maxRejectionTime  = 50 * time.Millisecond // the retry waits for it
)

// reportRejection discards the body of an answer and reports why the attempt failed.
func (e *exchange) reportRejection(send dispatch.Send, answer *transport.Exchange, class Classification) {
	answer.Drain(maxRejectionBytes, maxRejectionTime)
	e.daemon.enqueueDispatch(dispatch.NewFailed(send.Attempt(), class.Failure).WithFault(class.FaultyUpstream, class.Load))
}

// discardError discards the body of an error answer that must not be forwarded, and reports it. The caller gets an answer of the daemon
// instead, which contains no part of this one.
func (e *exchange) discardError(send dispatch.Send, answer *transport.Exchange, class Classification) {
	e.daemon.log.Info("upstream", "error not forwarded, as its status says that the request did not run",
		"id", e.name, "upstream", send.Upstream(), "status", answer.Response.StatusCode)
	answer.Drain(maxRejectionBytes, maxRejectionTime)
	failed := dispatch.NewFailed(send.Attempt(), dispatch.Errored).WithFault(class.FaultyUpstream, class.Load)
	e.daemon.enqueueDispatch(failed.WithUnusableAnswer())
}

// bufferError buffers an error answer, which may be forwarded to the caller, and reports it.
func (e *exchange) bufferError(
	ctx context.Context, send dispatch.Send, answer *transport.Exchange, class Classification,
) bool {
	body, isWhole, err := e.readAnswer(answer.Response.Body)
	switch {
	case err != nil:
		body.Free()
		e.reportTruncated(ctx, send, answer, err)
	case !isWhole:
		body.Free()
		answer.Abort()
		e.daemon.log.Info("upstream", "error not forwarded, as it exceeds the memory for answers",
			"id", e.name, "upstream", send.Upstream(), "status", answer.Response.StatusCode, "length", answer.Response.ContentLength)
		failed := dispatch.NewFailed(send.Attempt(), dispatch.Errored).WithFault(class.FaultyUpstream, class.Load)
		e.daemon.enqueueDispatch(failed.WithUnusableAnswer())
	default:
		e.keepAnswer(answer, body)
		e.daemon.enqueueDispatch(dispatch.NewFailed(send.Attempt(), dispatch.Errored).WithFault(class.FaultyUpstream, class.Load))
	}
	return false
}

// forwardBuffered forwards an answer after it was read completely. An answer that exceeds the limits of what is buffered is forwarded
// as it arrives.
func (e *exchange) forwardBuffered(
	ctx context.Context, send dispatch.Send, answer *transport.Exchange, class Classification,
) bool {
	body, isWhole, err := e.readAnswer(answer.Response.Body)
	if err != nil {
		body.Free()
		e.reportTruncated(ctx, send, answer, err)
		return false
	}
	if !isWhole {
		return e.forwardLarge(ctx, send, answer, body, class)
	}
	e.keepAnswer(answer, body)
	e.daemon.enqueueDispatch(dispatch.NewStarted(send.Attempt(), class.Load))
	e.buffered.writeTo(e.answerWriter(), e.request)
	e.daemon.enqueueDispatch(dispatch.NewCompleted(send.Attempt()))
	return true
}

// forwardLarge forwards the first bytes of an answer, which were read already, and then the rest as it arrives. If it fails,
// the caller's connection is aborted, so that the answer does not look complete.
func (e *exchange) forwardLarge(
	ctx context.Context, send dispatch.Send, answer *transport.Exchange, first *memory.Buffer, class Classification,
) bool {
	e.daemon.enqueueDispatch(dispatch.NewStarted(send.Attempt(), class.Load))
	defer first.Free()
	e.writeHead(answer.Response)
	caller := newCallerWriter(e.writer)
	_, err := first.WriteTo(caller)
	if err == nil {
		_, err = io.Copy(caller, answer.Response.Body)
	}
	if err != nil {
		e.reportTruncated(ctx, send, answer, err)
		return false
	}
	answer.Close()
	e.endUnframed()
	e.daemon.enqueueDispatch(dispatch.NewCompleted(send.Attempt()))
	return true
}

// readAnswer reads a body until its end, or until it exceeds the memory for answers, and reports whether it was read completely.
func (e *exchange) readAnswer(body io.Reader) (held *memory.Buffer, isWhole bool, err error) {
	held = memory.NewBuffer(&e.daemon.memory.answers)
	isWhole, err = held.ReadAll(body, e.daemon.memory.maxAnswerBytes())
	return held, isWhole, err
}

// reportTruncated reports an attempt whose answer could not be read or forwarded completely.
func (e *exchange) reportTruncated(ctx context.Context, send dispatch.Send, answer *transport.Exchange, err error) {
	answer.Abort()
	e.daemon.log.Info("upstream", "answer truncated",
		"id", e.name, "upstream", send.Upstream(), "relay", e.via.Name(), "err", err.Error())
	e.reportBroken(ctx, send, err)
}

// reportBroken reports an attempt that ended with an error while its answer was forwarded. If the caller is gone, the upstream is not to
// blame.
func (e *exchange) reportBroken(ctx context.Context, send dispatch.Send, err error) {
	failed := dispatch.NewFailed(send.Attempt(), dispatch.Interrupted)
	switch {
	case errors.As(err, &callerError{}):
		e.daemon.enqueueDispatch(dispatch.NewCallerLeft(e.id))
		failed = failed.WithFailure(dispatch.Halted)
	case errors.Is(err, errEventMemory): // the upstream is not to blame
		failed = failed.WithFailure(dispatch.Halted)
	case ctx.Err() == nil && hop.IsLost(err):
		e.daemon.enqueueRelay(relay.NewFailed(e.via.Name(), send.Upstream(), relay.NoRelay))
		failed = failed.WithFailure(dispatch.RelayLost)
	}
	e.reportFailure(ctx, failed)
}

// keepAnswer keeps an answer whose body was read completely, and ends the exchange.
func (e *exchange) keepAnswer(answer *transport.Exchange, body *memory.Buffer) {
	header := answer.Response.Header.Clone()
	e.daemon.adapter.Headers.RemoveHopHeaders(header)
	e.discardKept()
	e.buffered = &bufferedAnswer{answer.Response.StatusCode, header, body}
	answer.Close()
}

// discardKept discards the answer that is kept, if there is one.
func (e *exchange) discardKept() {
	if e.buffered != nil {
		e.buffered.body.Free()
		e.buffered = nil
	}
}
