package upstream

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/azurepond/azurepond/internal/transport"
)

// maxAnswerBytes limits the answer of a plain service.
const maxAnswerBytes = 8 << 20

// forwardedRequestHeaders are the request headers that are sent to the service.
var forwardedRequestHeaders = []string{
	"Accept", "Accept-Language", "Content-Type", "Idempotency-Key", "If-Match", "If-None-Match", "Traceparent",
}

// forwardedResponseHeaders are the response headers that are sent to the caller.
var forwardedResponseHeaders = []string{
	"Content-Type", "Content-Language", "Cache-Control", "Etag", "Last-Modified", "Location", "Retry-After",
}

// Request is one attempt at a call to a plain service.
type Request struct {
	address      string
	id           string
	method       string
	pathAndQuery string
	header       http.Header
	body         []byte
	idempotent   bool
	notAfter     time.Time
}

// NewRequest returns an attempt at the service on address (host:port). The id is unique over all attempts of all
// daemons. Only the headers in forwardedRequestHeaders are sent.
func NewRequest(address, id, method, pathAndQuery string, header http.Header, body []byte) Request {
	return Request{address: address, id: id, method: method, pathAndQuery: pathAndQuery, header: header, body: body}
}

// WithIdempotent returns the attempt marked as safe to run more than once.
func (r Request) WithIdempotent() Request {
	r.idempotent = true
	return r
}

// WithNotAfter returns the attempt with the time after which it must not be sent.
func (r Request) WithNotAfter(notAfter time.Time) Request {
	r.notAfter = notAfter
	return r
}

// Reply is the result of an attempt: its delivery status, and the answer if the status is Answered.
type Reply struct {
	status   int
	header   http.Header
	body     []byte
	delivery DeliveryStatus
}

// DeliveryStatus tells whether an attempt at a plain service was sent and answered.
type DeliveryStatus uint8

// The delivery statuses.
const (
	// Answered says that the complete answer was received.
	Answered DeliveryStatus = iota
	// NotSent says that no byte of the call left this process, nor will.
	NotSent
	// OutcomeUnknown says that the call may have run.
	OutcomeUnknown
	// IdentityMismatch says that the answer has the ID of another call. This call may have run.
	IdentityMismatch
)

// Delivery returns the delivery status of the attempt.
func (r Reply) Delivery() DeliveryStatus { return r.delivery }

// Status returns the HTTP status of the answer.
func (r Reply) Status() int { return r.status }

// Header returns the headers of the answer that are sent to the caller.
func (r Reply) Header() http.Header { return r.header }

// Body returns the body of the answer.
func (r Reply) Body() []byte { return r.body }

// Forward sends a call to a plain service and reads the complete answer. A call that is not idempotent is sent at most
// once and over a new connection. The server might close a reused one while the call is sent, and the outcome would be
// unknown. An idempotent GET or HEAD without a body may be sent again by net/http.
func (c *Client) Forward(ctx context.Context, r Request) Reply {
	if !r.notAfter.IsZero() && time.Now().After(r.notAfter) {
		return Reply{delivery: NotSent}
	}
	newRequest := transport.NewRequest
	if r.idempotent {
		newRequest = transport.NewRepeatableRequest
	}
	request, err := newRequest(ctx, r.method, "http://"+r.address+r.pathAndQuery, r.body)
	if err != nil {
		return Reply{delivery: NotSent}
	}
	copyHeaders(request.Header, r.header, forwardedRequestHeaders)
	response, sent, err := c.send(request, r.id, r.idempotent)
	switch {
	case errors.Is(err, errIdentity):
		return Reply{delivery: IdentityMismatch}
	case err != nil && !sent:
		return Reply{delivery: NotSent}
	case err != nil:
		return Reply{delivery: OutcomeUnknown}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := readAll(response.Body, maxAnswerBytes)
	if err != nil {
		return Reply{delivery: OutcomeUnknown}
	}
	reply := Reply{status: response.StatusCode, header: http.Header{}, body: body}
	copyHeaders(reply.header, response.Header, forwardedResponseHeaders)
	return reply
}

func copyHeaders(to, from http.Header, names []string) {
	for _, name := range names {
		if values := from.Values(name); len(values) > 0 {
			to[http.CanonicalHeaderKey(name)] = values
		}
	}
}
