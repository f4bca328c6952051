package upstream

import (
	"context"
	"net/http"
	"time"

	"github.com/azurepond/azurepond/internal/transport"
)

// maxAnswer is the largest answer of a plain service, in bytes.
const maxAnswer = 8 << 20

// passedHeaders are the headers of a call that reach the service.
var passedHeaders = []string{
	"Accept", "Accept-Language", "Content-Type", "Idempotency-Key", "If-Match", "If-None-Match", "Traceparent",
}

// answeredHeaders are the headers of an answer that reach the caller.
var answeredHeaders = []string{
	"Content-Type", "Content-Language", "Cache-Control", "Etag", "Last-Modified", "Location", "Retry-After",
}

// Request is one attempt at a call of a plain service.
type Request struct {
	address    string
	id         string
	method     string
	target     string
	header     http.Header
	body       []byte
	idempotent bool
	notAfter   time.Time
}

// NewRequest returns an attempt called id (unique over all attempts of all daemons) at the service on address
// (host:port); target is the path with its query. Of header only what concerns the service is passed on.
func NewRequest(address, id, method, target string, header http.Header, body []byte) Request {
	return Request{address: address, id: id, method: method, target: target, header: header, body: body}
}

// WithIdempotent returns the attempt marked as safe to run more than once.
func (r Request) WithIdempotent() Request {
	r.idempotent = true
	return r
}

// WithNotAfter returns the attempt with the time after which it must not be sent any more.
func (r Request) WithNotAfter(limit time.Time) Request {
	r.notAfter = limit
	return r
}

// Reply is what came of an attempt: an answer, or how far the attempt got.
type Reply struct {
	status   int
	header   http.Header
	body     []byte
	delivery DeliveryStatus
}

// DeliveryStatus tells how far an attempt at a plain service got.
type DeliveryStatus uint8

// The fates of an attempt.
const (
	// Answered says that the whole answer came.
	Answered DeliveryStatus = iota
	// NotSent says that no byte of the call left this process, nor will.
	NotSent
	// Unknown says that the call may have run.
	OutcomeUnknown
	// Crossed says that the answer belongs to another call; this one may have run.
	IdentityMismatch
)

// Delivery returns how far the attempt got.
func (r Reply) Delivery() DeliveryStatus { return r.delivery }

// Status returns the HTTP status of the answer.
func (r Reply) Status() int { return r.status }

// Header returns those headers of the answer that concern the caller.
func (r Reply) Header() http.Header { return r.header }

// Body returns the whole answer.
func (r Reply) Body() []byte { return r.body }

// Forward sends one call to a plain service, at most once, and reads the whole answer. A call that is not idempotent
// goes over a connection of its own, since a server may close an old one at the moment of sending, which would leave
// the outcome unknown.
func (c *Client) Forward(ctx context.Context, r Request) Reply {
	if !r.notAfter.IsZero() && time.Now().After(r.notAfter) {
		return Reply{delivery: NotSent}
	}
	request, err := transport.NewRequest(ctx, r.method, "http://"+r.address+r.target, r.body)
	if err != nil {
		return Reply{delivery: NotSent}
	}
	copyHeaders(request.Header, r.header, passedHeaders)
	request.Header.Set(requestHeader, r.id)
	by := c.fresh
	if r.idempotent {
		by = c.reused
	}
	response, sent, err := transport.Send(by, request)
	if err != nil && !sent {
		return Reply{delivery: NotSent}
	}
	if err != nil {
		return Reply{delivery: OutcomeUnknown}
	}
	defer func() { _ = response.Body.Close() }()
	if echoed := response.Header.Get(requestHeader); echoed != "" && echoed != r.id {
		return Reply{delivery: IdentityMismatch}
	}
	body, err := readAll(response.Body, maxAnswer)
	if err != nil {
		return Reply{delivery: OutcomeUnknown}
	}
	reply := Reply{status: response.StatusCode, header: http.Header{}, body: body}
	copyHeaders(reply.header, response.Header, answeredHeaders)
	return reply
}

func copyHeaders(to, from http.Header, names []string) {
	for _, name := range names {
		if values := from.Values(name); len(values) > 0 {
			to[http.CanonicalHeaderKey(name)] = values
		}
	}
}
