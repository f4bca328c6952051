package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	hop "github.com/azurepond/azurepond/internal/relay"
	"github.com/azurepond/azurepond/internal/transport"
	"github.com/azurepond/azurepond/pkg/dispatch"
	"github.com/azurepond/azurepond/pkg/gateway"
	"github.com/azurepond/azurepond/pkg/relay"
	"github.com/azurepond/azurepond/pkg/replica"
)

var errBodyTooLargeForRelay = errors.New("body exceeds the size limit of peers")

// sendAnyWay sends a request over the first way to its upstream that establishes a connection, unless a connection takes too long. If err is
// not nil, failure says what became of the request.
func (e *exchange) sendAnyWay(ctx context.Context, send dispatch.Send) (*transport.Exchange, dispatch.Failure, error) {
	began := time.Now()
	e.via = relay.Peer{}
	var lastErr error
	if send.Way().IsDirect() {
		answer, sent, err := e.daemon.pool.Do(ctx, send.Address(), e.needsNewConnection(send), e.upstreamMessage(send), e.match)
		switch {
		case err == nil:
			if answer.IsNewConnection() {
				e.daemon.connectEnded(send.Upstream(), nil)
			}
			return answer, dispatch.NoFailure, nil
		case errors.Is(err, transport.ErrUnidentified):
			return nil, dispatch.Unidentified, err
		case sent:
			return nil, dispatch.Interrupted, err
		case ctx.Err() != nil:
			return nil, dispatch.NotSent, err
		}
		e.daemon.connectEnded(send.Upstream(), err)
		if hop.IsTimeout(err) {
			return nil, dispatch.NotSent, err // another upstream is faster than another way
		}
		lastErr = err
	}
	relays := send.Way().Relays()
	if len(e.body) > hop.MaxBodyBytes && len(relays) > 0 {
		return nil, dispatch.NotSent, fmt.Errorf("%w: %d bytes, limit %d", errBodyTooLargeForRelay, len(e.body), hop.MaxBodyBytes)
	}
	for _, peer := range relays {
		answer, failure, err := e.sendThrough(ctx, peer, send.WithTimeLeft(send.TimeLeft()-time.Since(began)))
		isSilent := errors.Is(err, hop.OutcomeError{Outcome: hop.Unreachable})
		if err == nil || failure != dispatch.NotSent || ctx.Err() != nil || isSilent {
			return answer, failure, err
		}
		lastErr = err
	}
	return nil, dispatch.NotSent, lastErr
}

// needsNewConnection reports whether a request must not use a connection that was used before. There, an answer without an id, or with the
// id of an earlier attempt of the request, may be a second copy of an earlier one.
func (e *exchange) needsNewConnection(send dispatch.Send) bool {
	return !send.Retryable() || e.name == ""
}

func (e *exchange) match(answer http.Header) transport.Match {
	return e.daemon.adapter.Headers.MatchRequest(answer, e.name)
}

// matchHop returns how an answer of a peer relates to the request. A peer sends each answer once, so that it need not name the
// request.
func (e *exchange) matchHop(answer http.Header) transport.Match {
	if hop.OutcomeOf(answer) == "" || e.match(answer) == transport.Foreign {
		return transport.Foreign
	}
	return transport.Own
}

// relayFailures maps the outcomes of requests that were not sent to the failures of the peer.
var relayFailures = map[hop.Outcome]relay.Failure{
	hop.Busy: relay.NoRelay, hop.Unfit: relay.Unfit, hop.Refused: relay.NoPath, hop.Unreachable: relay.NoPath,
}

// sendThrough sends a request through a peer.
func (e *exchange) sendThrough(
	ctx context.Context, peer relay.Peer, send dispatch.Send,
) (*transport.Exchange, dispatch.Failure, error) {
	e.via = peer
	kind := hop.Call
	if e.needsNewConnection(send) {
		kind = hop.Once
	}
	message := e.upstreamMessage(send)
	hop.Prepare(message.Header, send.Upstream(), kind)
	answer, sent, err := e.daemon.pool.Do(ctx, peer.Address(), e.needsNewConnection(send), message, e.matchHop)
	if err != nil {
		failure := dispatch.NotSent
		if sent {
			failure = dispatch.RelayLost
		}
		if ctx.Err() == nil {
			e.daemon.enqueueRelay(relay.NewFailed(peer.Name(), send.Upstream(), relay.NoRelay))
		}
		return nil, failure, err
	}
	outcome := hop.OutcomeOf(answer.Response.Header)
	if outcome == hop.Answered {
		e.daemon.recorder.RequestRelayed(string(outcome))
		e.daemon.log.Info("relay", "answered", "id", e.name, "upstream", send.Upstream(), "relay", peer.Name())
		e.daemon.enqueueRelay(relay.NewAnswered(peer.Name(), send.Upstream()))
		hop.Unwrap(answer.Response)
		return answer, dispatch.NoFailure, nil
	}
	answer.Drain(maxRejectionBytes, maxRejectionTime)
	e.daemon.recorder.RequestRelayed(string(outcome))
	switch {
	case outcome == hop.Unidentified:
		return nil, dispatch.Unidentified, hop.OutcomeError{Outcome: outcome}
	case outcome.IsSent():
		return nil, dispatch.Interrupted, hop.OutcomeError{Outcome: outcome}
	}
	e.daemon.enqueueRelay(relay.NewFailed(peer.Name(), send.Upstream(), relayFailures[outcome]))
	return nil, dispatch.NotSent, hop.OutcomeError{Outcome: outcome}
}

func (d *Daemon) enqueueRelay(e relay.Event) { d.enqueue(gateway.NewRelayEvent(e)) }

// connectEnded reports a new connection to an upstream, or why it was not established.
func (d *Daemon) connectEnded(upstream string, err error) {
	switch {
	case err == nil:
		d.enqueueRelay(relay.NewConnected(upstream))
	case hop.IsTimeout(err):
		d.enqueueRelay(relay.NewConnectFailed(upstream, transport.DialTimeout))
	default:
		d.enqueueRelay(relay.NewConnectFailed(upstream, 0))
	}
}

// checkPath opens a connection to an upstream to find out whether there is a path.
func (d *Daemon) checkPath(check relay.Check) {
	err := d.pool.Check(d.ctx, check.Address())
	if d.ctx.Err() == nil {
		d.connectEnded(check.Upstream(), err)
	}
}

// relayDriver connects the server for requests of peers to the daemon.
type relayDriver struct{ *Daemon }

// relayOutcomes maps the reasons of refusals to the outcomes that the other daemon is told.
var relayOutcomes = map[gateway.RelayRefusal]hop.Outcome{gateway.RelayBusy: hop.Busy, gateway.RelayUnfit: hop.Unfit}

// Admit asks the reducer whether a request is passed on.
func (d relayDriver) Admit(ctx context.Context, upstream string, kind hop.Kind) (hop.Decision, func()) {
	id := gateway.RelayID(d.lastRelayID.Add(1))
	decided := make(chan gateway.RelayDecided, 1)
	d.mutex.Lock()
	d.relayed[id] = decided
	d.mutex.Unlock()
	end := func() {
		d.mutex.Lock()
		delete(d.relayed, id)
		d.mutex.Unlock()
		d.enqueue(gateway.NewRelayEnded(id))
	}
	d.enqueue(gateway.NewRelayRequested(id, upstream, kind != hop.Control))
	select {
	case decision := <-decided:
		if decision.Refusal() == gateway.NotRefused {
			return hop.Decision{Address: decision.Address()}, end
		}
		end()
		return hop.Decision{Refusal: relayOutcomes[decision.Refusal()]}, nil
	case <-ctx.Done():
	case <-d.ctx.Done():
	}
	end()
	return hop.Decision{Refusal: hop.Busy}, nil
}

// deliverRelay sends the decision on a request of a peer to the goroutine that serves it.
func (d *Daemon) deliverRelay(decision gateway.RelayDecided) {
	d.mutex.Lock()
	decided := d.relayed[decision.ID()]
	d.mutex.Unlock()
	if decided != nil {
		decided <- decision
	}
}

// Match returns how an answer relates to a request.
func (d relayDriver) Match(answer http.Header, r *http.Request) transport.Match {
	return d.adapter.Headers.MatchRequest(answer, d.adapter.Headers.ParseRequest(0, r, 0).Name())
}

// RemoveHopHeaders removes the hop-by-hop headers.
func (d relayDriver) RemoveHopHeaders(header http.Header) { d.adapter.Headers.RemoveHopHeaders(header) }

// Observe handles what an answer says about its upstream to this daemon, which sent the request.
func (d relayDriver) Observe(upstream string, answer *http.Response) {
	class := d.adapter.Headers.ClassifyAnswer(answer)
	d.observe(replica.ID(upstream), Notice{Leaving: class.Leaving, RetryAfter: class.RetryAfter})
}

// ConnectEnded reports a new connection to an upstream, or why it was not established.
func (d relayDriver) ConnectEnded(upstream string, err error) { d.connectEnded(upstream, err) }
